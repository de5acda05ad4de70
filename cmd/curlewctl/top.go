package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"curlewmux/internal/figures"
	"curlewmux/ledger"

	"golang.org/x/sys/unix"
)

// topCmd shows what a running dispatcher does.
type topCmd struct {
	books
	Interval time.Duration `default:"1s" help:"Between two looks, 250ms at least."`
	Count    int           `help:"So many looks; 0 goes on until it is ended."`
}

const leastInterval = figures.MaxAge // figures are no newer than that

// look is what is known at one moment.
type look struct {
	*ledger.Snapshot
	held figures.QueuesReply
	at   time.Time
}

func (c *topCmd) look() (*look, error) {
	s, err := c.cut()
	if err != nil {
		return nil, err
	}
	l := &look{Snapshot: s, at: time.Now()}
	return l, c.ask(figures.CommandQueues, func(text json.RawMessage) error { return json.Unmarshal(text, &l.held) })
}

func (c *topCmd) Run() error {
	if c.Interval < leastInterval {
		return usageError(fmt.Sprintf("--interval: %v is out of range, %v at least", c.Interval, leastInterval))
	}
	if c.Count < 0 {
		return usageError(fmt.Sprintf("--count: %d is out of range, 0 or more", c.Count))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	before, err := c.look()
	if err != nil {
		return err
	}
	ticks := time.NewTicker(c.Interval)
	defer ticks.Stop()
	for n := 0; c.Count == 0 || n < c.Count; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C:
		}
		now, err := c.look()
		if err != nil {
			return err
		}
		if rows, ok := height(os.Stdout); ok {
			err = now.table(os.Stdout, before, rows)
		} else {
			err = now.line(os.Stdout, before)
		}
		if err != nil {
			return err
		}
		before = now
	}
	return nil
}

// height is how many lines a terminal has.
func height(f *os.File) (int, bool) {
	size, err := unix.IoctlGetWinsize(int(f.Fd()), unix.TIOCGWINSZ)
	if err != nil {
		return 0, false
	}
	return max(int(size.Row), 10), true
}

// rate is a figure's growth a second, "-" where it began anew.
func (l *look) rate(before *look, now, was ledger.Count) string {
	if l.Epoch.ID != before.Epoch.ID || now < was {
		return "-"
	}
	span := time.Duration(l.Wall-before.Wall) * time.Microsecond
	if elapsed := l.at.Sub(before.at); span <= 0 || span > 2*elapsed+time.Second { // the clock was stepped
		span = elapsed
	}
	if span <= 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f", float64(now-was)/span.Seconds())
}

// dest is what is known of a destination.
type dest struct {
	name         string
	number       int
	now, was     ledger.Counts
	oldest, mood string
}

// dests are the destinations of the accounts, those with the oldest messages first.
func (l *look) dests(before *look) []*dest {
	list := map[string]*dest{}
	at := func(k ledger.Key) *dest {
		name := fmt.Sprint(k.Destination)
		if k.Other {
			name = "other"
		}
		d := list[name]
		if d == nil {
			d = &dest{name: name, number: k.Destination, oldest: "-", mood: "-"}
			list[name] = d
		}
		return d
	}
	for i := range l.Accounts {
		at(l.Accounts[i].Key).now.Add(&l.Accounts[i].Counts)
	}
	for i := range before.Accounts {
		at(before.Accounts[i].Key).was.Add(&before.Accounts[i].Counts)
	}
	age := map[string]float64{}
	for _, h := range l.held.Queues {
		d := at(ledger.Key{Destination: h.Destination})
		d.oldest, d.mood, age[d.name] = fmt.Sprintf("%.1fs", h.OldestSeconds), h.Condition, h.OldestSeconds
	}
	var out []*dest
	for _, d := range list {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b *dest) int {
		return cmp.Or(cmp.Compare(age[b.name], age[a.name]), cmp.Compare(b.now.Open, a.now.Open), cmp.Compare(a.number, b.number), cmp.Compare(a.name, b.name))
	})
	return out
}

func (l *look) standing() (n int) {
	for _, b := range l.Breaches {
		if b.ResolvedAt == 0 {
			n++
		}
	}
	return n
}

func (l *look) oldest() string {
	oldest := 0.0
	for _, h := range l.held.Queues {
		oldest = max(oldest, h.OldestSeconds)
	}
	return fmt.Sprintf("%.1fs", oldest)
}

// line prints one line.
func (l *look) line(w io.Writer, before *look) error {
	now, was := &l.Total, &before.Total
	var held strings.Builder
	for i, d := range l.dests(before) {
		if d.now.Open == 0 {
			continue
		}
		if held.Len() > 0 {
			held.WriteByte(',')
		}
		if i == 10 {
			held.WriteString("...")
			break
		}
		fmt.Fprintf(&held, "%s:%d(%s,%s)", d.name, d.now.Open, d.oldest, d.mood)
	}
	_, err := fmt.Fprintf(w, "%s taken=%s/s served=%s/s refused=%s/s failed=%s/s attempts=%s/s open=%d out=%d doubt=%d oldest=%s breaches=%d held=%s\n",
		micros(l.Wall), l.rate(before, now.Accepted, was.Accepted), l.rate(before, now.Delivered, was.Delivered), l.rate(before, now.Refused, was.Refused),
		l.rate(before, now.Failed, was.Failed), l.rate(before, now.Attempts.Sent, was.Attempts.Sent), now.Open, now.Attempts.Out,
		now.Doubt.Open, l.oldest(), l.standing(), cmp.Or(held.String(), "-"))
	return err
}

// table prints a screen of so many lines.
func (l *look) table(w io.Writer, before *look, rows int) error {
	var b strings.Builder
	b.WriteString("\x1b[H\x1b[J")
	fmt.Fprintf(&b, "%q  %s  epoch %s  oldest %s  breaches %d\n", l.Instance, micros(l.Wall), l.Epoch.ID, l.oldest(), l.standing())
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "DEST\tTAKEN/s\tSERVED/s\tREFUSED/s\tFAILED/s\tATTEMPTS/s\tOPEN\tOUT\tDOUBT\tOLDEST\tCONDITION\t")
	row := func(name string, now, was *ledger.Counts, oldest, mood string) {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t\n", name, l.rate(before, now.Accepted, was.Accepted), l.rate(before, now.Delivered, was.Delivered),
			l.rate(before, now.Refused, was.Refused), l.rate(before, now.Failed, was.Failed), l.rate(before, now.Attempts.Sent, was.Attempts.Sent),
			now.Open, now.Attempts.Out, now.Doubt.Open, oldest, mood)
	}
	row("total", &l.Total, &before.Total, l.oldest(), "")
	list := l.dests(before)
	for _, d := range list[:min(len(list), rows-5)] {
		row(d.name, &d.now, &d.was, d.oldest, d.mood)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if left := len(list) - (rows - 5); left > 0 {
		fmt.Fprintf(&b, "and %d destinations more\n", left)
	}
	if l.held.Incomplete {
		fmt.Fprintln(&b, "the oldest are those of the first messages that were looked at")
	}
	_, err := io.WriteString(w, b.String())
	return err
}
