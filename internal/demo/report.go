package demo

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Report is what became of a demo's messages.
type Report struct {
	TookSeconds  float64       `json:"took_s"`
	Classes      []Class       `json:"classes"`
	Destinations []Destination `json:"destinations"`
	Rules        []Rule        `json:"rules"`
	StallMS      int64         `json:"stall_ms"` // the machine gave the demo no time for so long at most: what is late by less counts as in time
}

// Class counts the messages of one class. HandedIn is the sum of Delivered, Refused, Failed and Missing.
type Class struct {
	Name      string `json:"name"`
	Effect    string `json:"effect"`
	HandedIn  int    `json:"handed_in"`
	Delivered int    `json:"delivered"`
	Refused   int    `json:"refused"` // at once, or by a notice: its client may hand it in again
	Told      int    `json:"told"`    // refused ones whose clients were told when to come again
	Failed    int    `json:"failed"`  // it may have taken effect, or was handed in wrong
	Missing   int    `json:"missing"` // taken on, and never ended
}

// Destination counts the calls to one destination.
type Destination struct {
	Number      int    `json:"number"`
	About       string `json:"about"`
	Calls       int    `json:"calls"`
	Messages    int    `json:"messages"` // in these calls
	Refused     int    `json:"refused"`  // calls answered 429 or 503
	Waits       int    `json:"waits"`    // of these, those that told a wait
	Unanswered  int    `json:"unanswered"`
	Connections int    `json:"connections"`
	Effects     int    `json:"effects"`
	Duplicates  int    `json:"duplicates"` // effects of keyed and unsafe messages that had taken effect before
}

// Verdicts on a rule.
const (
	Kept    = "kept"
	Broken  = "broken"
	Untried = "not tried" // nothing happened that the rule speaks of
)

// Rule is the verdict on one of the six rules.
type Rule struct {
	Name    string   `json:"name"`
	Verdict string   `json:"verdict"`
	Cases   int      `json:"cases"` // how often it came to the test
	Checked string   `json:"checked"`
	Faults  []string `json:"faults,omitempty"` // the first of them
	Broken  int      `json:"broken"`           // how many there are
}

const faultsMost = 5

func (r *Rule) fault(format string, args ...any) {
	if r.Broken++; len(r.Faults) < faultsMost {
		r.Faults = append(r.Faults, fmt.Sprintf(format, args...))
	}
}

// done settles the verdict.
func (r *Rule) done() Rule {
	switch {
	case r.Broken > 0:
		r.Verdict = Broken
	case r.Cases == 0:
		r.Verdict = Untried
	default:
		r.Verdict = Kept
	}
	return *r
}

// OK tells that no rule was broken and something of each class was delivered: a dispatcher that does nothing breaks no
// rule.
func (r *Report) OK() bool {
	for _, rule := range r.Rules {
		if rule.Verdict == Broken {
			return false
		}
	}
	for _, c := range r.Classes {
		if c.Delivered == 0 {
			return false
		}
	}
	return true
}

// Write prints the report for people.
func (r *Report) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(cells ...any) {
		text := make([]string, len(cells))
		for i, c := range cells {
			text[i] = fmt.Sprint(c)
		}
		fmt.Fprintln(t, strings.Join(text, "\t"))
	}
	row("class", "repeats", "handed in", "delivered", "refused", "told when to come back", "failed", "missing")
	for _, c := range r.Classes {
		row(c.Name, c.Effect, c.HandedIn, c.Delivered, c.Refused, c.Told, c.Failed, c.Missing)
	}
	fmt.Fprintln(t)
	row("destination", "", "calls", "messages", "refused", "told a wait", "no answer", "connections", "effects", "duplicates")
	for _, d := range r.Destinations {
		row(d.Number, d.About, d.Calls, d.Messages, d.Refused, d.Waits, d.Unanswered, d.Connections, d.Effects, d.Duplicates)
	}
	fmt.Fprintln(t)
	row("rule", "verdict", "cases")
	for _, rule := range r.Rules {
		row(rule.Name, rule.Verdict, rule.Cases)
	}
	fmt.Fprintln(t, "\nchecked by")
	for _, rule := range r.Rules {
		fmt.Fprintf(t, "- %s: %s\n", rule.Name, rule.Checked)
		for _, f := range rule.Faults {
			fmt.Fprintf(t, "  BROKEN: %s\n", f)
		}
	}
	fmt.Fprintln(t)
	verdict := "No rule was broken"
	if !r.OK() {
		verdict = "A rule was broken, or nothing was delivered"
	}
	fmt.Fprintf(t, "%s; %.1f s.\n", verdict, r.TookSeconds)
	if r.StallMS > 50 {
		fmt.Fprintf(t, "The machine was busy: it gave the demo no time for %d ms at most, and what was late by less counts as in time.\n", r.StallMS)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}
