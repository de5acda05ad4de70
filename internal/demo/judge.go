package demo

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"curlewmux/internal/judge"
	"curlewmux/internal/standin/discovery"
	"curlewmux/internal/standin/partner"
)

// Margins of the rules on sockets: what was under way when a moment came is let through.
const (
	slack     = 50 * time.Millisecond
	endGrace  = 300*time.Millisecond + slack // a message has its end so long after its time is up
	callSlack = 100 * time.Millisecond       // calls that crossed an answer, or the close of a connection, on their way
)

// end is how a message that was taken on ended.
type end struct {
	delivered bool
	notices   []discovery.Notice
}

// ends are the ends so far, by id.
func (s *scene) ends() map[string]*end {
	out := map[string]*end{}
	of := func(id string) *end {
		if out[id] == nil {
			out[id] = &end{}
		}
		return out[id]
	}
	for _, d := range s.dests {
		for _, c := range d.partner.Calls() {
			for _, it := range c.Items {
				if c.Status == http.StatusOK && it.State == partner.Delivered { // and it was answered so
					of(it.ID).delivered = true
				}
			}
		}
	}
	for _, n := range s.agent.Notices() {
		e := of(n.ID)
		e.notices = append(e.notices, n)
	}
	return out
}

// trial judges a scene that is over.
type trial struct {
	*scene
	sent    []*message
	ends    map[string]*end
	calls   [][]partner.Call // by destination
	notices []discovery.Notice
	stall   time.Duration // by so much the machine itself may have been late
}

// judge reports what became of the messages, and on the rules.
func (s *scene) judge(sent []*message, stall time.Duration) *Report {
	t := &trial{scene: s, sent: sent, ends: s.ends(), notices: s.agent.Notices(), stall: stall}
	for _, d := range s.dests {
		t.calls = append(t.calls, d.partner.Calls())
	}
	r := &Report{StallMS: stall.Milliseconds()}
	for i := range classes() {
		r.Classes = append(r.Classes, t.class(i))
	}
	for i := range s.dests {
		r.Destinations = append(r.Destinations, t.destination(i))
	}
	r.Rules = t.rules()
	return r
}

// class counts what became of one class's messages.
func (t *trial) class(i int) Class {
	c := Class{Name: classes()[i].name, Effect: classes()[i].about}
	for _, m := range t.sent {
		if m.class != i {
			continue
		}
		c.HandedIn++
		e := t.ends[m.id]
		switch {
		case m.refused():
			c.Refused++
			c.Told += count(m.told)
		case !m.taken():
			c.Failed++
		case e == nil:
			c.Missing++
		case e.delivered:
			c.Delivered++
		case e.notices[0].Status == discovery.Deferred:
			c.Refused++
			c.Told += count(e.notices[0].AgainMS > 0)
		default:
			c.Failed++
		}
	}
	return c
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// destination counts what one destination got.
func (t *trial) destination(i int) Destination {
	d := t.dests[i]
	total := d.partner.Totals()
	out := Destination{
		Number: d.number, About: d.about, Calls: total.Calls, Messages: total.Items, Connections: total.Conns, Effects: total.Effects,
	}
	for _, c := range t.calls[i] {
		switch {
		case c.Ending == partner.Answered && (c.Status == http.StatusTooManyRequests || c.Status == http.StatusServiceUnavailable):
			out.Refused++
			out.Waits += count(c.Wait > 0)
		case c.Ending != partner.Answered:
			out.Unanswered++
		}
	}
	effects := map[string]int{}
	for _, c := range t.calls[i] {
		for _, it := range c.Items {
			effects[it.ID] += count(it.Effect)
		}
	}
	for _, m := range t.sent {
		if classes()[m.class].effect != "free" {
			out.Duplicates += max(effects[m.id]-1, 0)
		}
	}
	return out
}

// name is the dispatcher's in the history.
const name = "demo"

// moment is an event of the history.
type moment struct {
	at    time.Time
	event judge.Event
}

// history is what the partners and discovery recorded, in the order of its times. Nothing here is on its way for long: what
// one side wrote counts as come.
func (t *trial) history() (list []moment) {
	add := func(at time.Time, e judge.Event) { list = append(list, moment{at, e}) }
	for _, m := range t.sent {
		add(m.sent, judge.HandIn{ID: m.id, Dispatcher: name, Class: m.class, Dest: m.dest, Key: m.key, Expires: m.over().Sub(m.sent)})
		if m.answer == 0 {
			add(m.answered, judge.ClientCut{ID: m.id, Dispatcher: name})
		} else {
			add(m.answered, judge.ClientAnswer{ID: m.id, Dispatcher: name, Status: m.answer})
		}
	}
	number := judge.CallID(0)
	for _, calls := range t.calls {
		for _, c := range calls {
			if c.Ending != partner.Broken { // which is none: its last byte never came
				number++
				t.call(add, number, &c)
			}
		}
	}
	for _, n := range t.notices {
		add(n.At, judge.Notice{ID: n.ID, Dispatcher: name, Deferred: n.Status == discovery.Deferred})
	}
	if at, ok := t.toldDrain(); ok {
		e := t.dests[0].endpoints[0]
		add(at, judge.Listed{Dispatcher: name, Members: []judge.Member{{ID: e.ID(), Addr: e.Addr(), Dest: t.dests[0].number, Phase: judge.Leaving}}})
	}
	if !t.outage.IsZero() {
		add(t.outage, judge.Outage{Place: place(3)})
	}
	if !t.back.IsZero() {
		add(t.back, judge.Cold{Place: place(3), Rate: outageCalls, From: coldFrom, WarmUp: warmUp})
		if at, fell := t.dests[2].limit.PushedOver(); fell {
			add(at, judge.Fell{Place: place(3)})
		}
	}
	slices.SortStableFunc(list, func(a, b moment) int { return a.at.Compare(b.at) })
	return list
}

func place(number int) string { return fmt.Sprint("destination ", number) }

// toldDrain is when discovery told of the drain.
func (s *scene) toldDrain() (time.Time, bool) {
	if s.drained == 0 {
		return time.Time{}, false
	}
	return s.agent.Told(s.drained)
}

// addr is where an endpoint was listed.
func (s *scene) addr(id string) string {
	for _, m := range s.listed {
		if m.ID == id {
			return m.HostPort
		}
	}
	return ""
}

// call adds the events of one call.
func (t *trial) call(add func(time.Time, judge.Event), id judge.CallID, c *partner.Call) {
	e := judge.Call{
		Call: id, Dispatcher: name, Endpoint: c.Endpoint, Addr: t.addr(c.Endpoint), First: c.First.Sub(t.begun), Batch: true,
	}
	states := make([]judge.State, 0, len(c.Items))
	for _, it := range c.Items {
		e.Items = append(e.Items, judge.Item{ID: it.ID, Key: it.Key})
		states = append(states, map[string]judge.State{
			partner.Delivered: judge.Delivered, partner.Failed: judge.Failed, partner.Refused: judge.Refused, partner.Over: judge.Over,
			partner.Spent: judge.Spent,
		}[it.State])
	}
	add(c.Last, e)
	for _, it := range c.Items {
		if it.Ran {
			add(c.Last, judge.Ran{Call: id, ID: it.ID, Dropped: !it.Effect})
		}
	}
	switch c.Ending {
	case partner.Answered:
		add(c.End, judge.Answer{Call: id, Status: c.Status, States: states, Wait: c.Wait})
	case partner.Dropped: // it is seen somewhat late that a caller has gone
		at := c.End.Add(-callSlack)
		if at.Before(c.Last) {
			at = c.Last
		}
		add(at, judge.Cut{Call: id})
	case partner.Cut:
		add(c.End, judge.Cut{Call: id})
	}
}

// rules are the verdicts on the six rules.
func (t *trial) rules() []Rule {
	set := judge.Settings{
		Drain: drainGrace, TipMultiple: tipMultiple, OverloadFor: overloadFor, End: endGrace - slack, Cross: callSlack + t.stall, Slack: slack + t.stall,
	}
	for _, c := range classes() {
		set.Classes = append(set.Classes, judge.Class{
			Effect: map[string]judge.Effect{"free": judge.Safe, "guarded": judge.Keyed, "single_shot": judge.Unsafe}[c.effect], Window: keyMemory,
		})
	}
	j := judge.New(set)
	var found []judge.Violation
	tell := func(at time.Duration, e judge.Event) { found = append(found, j.Handle(at, e)...) }
	begin := judge.Listed{Dispatcher: name, Whole: true}
	for _, m := range t.listed {
		tell(0, judge.Endpoint{ID: m.ID, Dest: m.Cell, Place: place(m.Cell)})
		begin.Members = append(begin.Members, judge.Member{ID: m.ID, Addr: m.HostPort, Dest: m.Cell})
	}
	for _, e := range []judge.Event{judge.Started{Dispatcher: name}, begin, judge.Ready{Dispatcher: name}} {
		tell(0, e)
	}
	last := time.Duration(0)
	for _, m := range t.history() {
		last = m.at.Sub(t.begun)
		tell(last, m.event)
	}
	found = append(found, j.Finish(last+expires+2*endGrace+t.stall)...) // all that was taken is due by then
	rules := t.checked(j.Coverage())
	for _, v := range found {
		about := v.Message
		if about == "" {
			about = v.Endpoint
		}
		rules[ruleOf(v.Rule)].fault("%s: %s", about, v.Text)
	}
	if n := t.spoilt.Load(); n > 0 {
		rules[0].fault("%d bodies were changed on the way", n)
	}
	for i := range rules {
		rules[i].done()
	}
	return rules
}

// ruleOf is the place of a judge's rule among the six. What is none of them is a message that went astray.
func ruleOf(r judge.Rule) int {
	switch r {
	case judge.Twice:
		return 1
	case judge.Drains:
		return 2
	case judge.Returning:
		return 3
	case judge.Order:
		return 4
	case judge.Waits:
		return 5
	}
	return 0
}

// checked are the six rules, with what was checked for each and how often it came to the test.
func (t *trial) checked(seen judge.Coverage) []Rule {
	drain := Rule{Name: judge.Drains.String(), Checked: "discovery had not told of the drain before the end"}
	if told, ok := t.toldDrain(); ok {
		id := t.dests[0].endpoints[0].ID()
		for _, c := range t.calls[0] {
			drain.Cases += count(c.Endpoint == id && c.First.Before(told))
		}
		drain.Checked = fmt.Sprintf("%s got %d calls before discovery told of its drain, and none that began later than %v after that",
			id, drain.Cases, drainGrace+slack)
	}
	unanswered := 0
	if len(t.dests) > 2 {
		unanswered = t.destination(2).Unanswered
	}
	return []Rule{
		{Name: judge.Missing.String(), Cases: seen[judge.MessagesTaken], Checked: fmt.Sprintf(
			"each id answered 202 is delivered, or ended by one notice at most %v after its time and not sent again; "+
				"a notice that crosses an answer does no harm", endGrace)},
		{Name: judge.Twice.String(), Cases: seen[judge.Attempts], Checked: fmt.Sprintf(
			"the partners' records: one effect for each keyed and unsafe id, no unsafe one sent again or refused "+
				"after an attempt that may have run, no keyed one after %v, no two attempts out", keyMemory)},
		drain,
		{Name: judge.Returning.String(), Cases: unanswered, Checked: fmt.Sprintf(
			"destination 3 comes back at %.0f %%, warm after %v; more than %g times what it can take, for %v, "+
				"would push it over", 100*coldFrom, warmUp, tipMultiple, overloadFor)},
		{Name: judge.Order.String(), Checked: "no class of the demo asks for it"},
		{Name: judge.Waits.String(), Cases: seen[judge.WaitsTold], Checked: fmt.Sprintf(
			"no call to a destination from %v after it told a wait until that wait is over", callSlack)},
	}
}
