package engine

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"curlewmux/control"
)

// The scripts in testdata list events, each with the effects that it must have, in plain text. A line is
//
//	+5ms hand-in a class=unsafe dest=1
//
// the time since the line before, the event and its fields. The following lines that begin with > are the effects.
// "quiet" names effects that the script leaves out: "quiet append". "clock -1h" steps the wall clock. "restart 2s"
// ends the process and starts another one 2 s later from the batches that were reported as stored; with "restart 2s
// landed=7" the store has the batches up to 7, reported or not. With -update the files are rewritten: read the
// difference before you commit it.
var update = flag.Bool("update", false, "write the effects that came into the scripts")

func TestScripts(t *testing.T) {
	t.Parallel()
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, name := range files {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			got, err := play(string(text))
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			if got == string(text) {
				return
			}
			if *update {
				if err := os.WriteFile(name, []byte(got), 0o600); err != nil {
					t.Fatal(err)
				}
				return
			}
			want := strings.Split(string(text), "\n")
			for i, line := range strings.Split(got, "\n") {
				if i >= len(want) || want[i] != line {
					t.Fatalf("%s:%d: got\n%s\nwant\n%s", name, i+1, line, append(want, "", "")[i])
				}
			}
			t.Fatalf("%s: effects are missing", name)
		})
	}
}

// testSettings returns settings with a class of each effect and an ordered one.
func testSettings() Settings {
	const s, ms = control.Second, control.Millisecond
	class := func(name string, effect control.Effect) control.Class {
		return control.Class{Name: name, Effect: effect, Window: 5 * s, Aim: 2 * s, Deadline: 20 * s, Worth: 1, LateWorth: 0.5}
	}
	ordered := class("ordered", control.Free)
	ordered.InOrder = true
	return Settings{
		Seed: 1, HasStore: true,
		Control: control.Settings{
			Instances: 2, Zone: 0, Tick: 5 * ms, OverShare: 0.05, ReportLeft: -1, ReportLimit: -1,
			Classes: []control.Class{
				class("keyed", control.Guarded), class("free", control.Free), class("unsafe", control.SingleShot), ordered,
			},
			Kinds:   []control.Kind{{Name: "archives", Batch: 3}, {Name: "hooks", Batch: 1}},
			Weights: control.WeightNominal,
			Slots:   8, MaxOpen: 16, MaxTries: 6, MayCancel: true, RetryAfter: true, MaxRetryAfter: 2 * s,
			ConnIdle: 5 * s, ConnectTimeout: s, StreamsPerConn: 1, StopSendingWithin: s, ColdFrom: 0.2, WarmUp: 10 * s,
			TipMultiple: 2, OverloadFor: 2 * s, SettleAfterDoubt: 500 * ms,
		},
	}
}

// testWall is the wall time at the engine's Epoch in tests.
const testWall = Timestamp(1_700_000_000_000_000)

// play runs a script and returns it with the actual effects.
func play(text string) (string, error) {
	var out strings.Builder
	set := testSettings()
	var e *Engine
	now := Now{At: Epoch, Wall: testWall}
	quiet := map[string]bool{}
	var disk []*Append // of this process; nil for those that failed
	var old []Record   // of earlier processes
	stored := 0
	handle := func(ev Event) {
		for _, f := range e.Handle(now, ev) {
			if a, ok := f.(*Append); ok {
				disk = append(disk, a)
			}
			if s := format(f, now); !quiet[strings.Fields(s)[0]] {
				out.WriteString("> " + s + "\n")
			}
		}
	}
	restart := func(words []string) error {
		d, err := time.ParseDuration(words[0])
		if err != nil {
			return err
		}
		for _, w := range words[1:] {
			if stored, err = strconv.Atoi(strings.TrimPrefix(w, "landed=")); err != nil {
				return err
			}
		}
		for _, a := range disk[:min(stored, len(disk))] {
			if a != nil {
				old = append(old, a.Records...)
			}
		}
		disk, stored = nil, 0
		now.Wall += Timestamp(d.Microseconds())
		now.At = Epoch
		if e, err = New(set); err != nil {
			return err
		}
		state := replay(old)
		for _, r := range state.live {
			out.WriteString("> " + formatEvent(r, now) + "\n")
			handle(r)
		}
		for _, r := range state.ended {
			out.WriteString("> " + formatEvent(r, now) + "\n")
			handle(r)
		}
		handle(&RestoreComplete{LatestTimestamp: state.written})
		return nil
	}
	for no, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		if strings.HasPrefix(line, ">") {
			continue
		}
		out.WriteString(line + "\n")
		words := strings.Fields(line)
		fail := func(err error) (string, error) { return "", fmt.Errorf("line %d: %q: %w", no+1, line, err) }
		switch {
		case len(words) == 0 || strings.HasPrefix(line, "#"):
			continue
		case words[0] == "quiet":
			for _, w := range words[1:] {
				quiet[w] = true
			}
			continue
		case words[0] == "set":
			if err := setting(&set, words[1:]); err != nil {
				return fail(err)
			}
			continue
		case words[0] == "clock": // a step of the wall clock
			d, err := time.ParseDuration(words[1])
			if err != nil {
				return fail(err)
			}
			now.Wall += Timestamp(d.Microseconds())
			continue
		case words[0] == "restart":
			if err := restart(words[1:]); err != nil {
				return fail(err)
			}
			continue
		}
		d, err := time.ParseDuration(strings.TrimPrefix(words[0], "+"))
		if err != nil {
			return fail(err)
		}
		now.At, now.Wall = now.At+Time(d.Microseconds()), now.Wall+Timestamp(d.Microseconds())
		ev, err := parseEvent(words[1], words[2:], now)
		if err != nil {
			return fail(err)
		}
		if e == nil {
			if e, err = New(set); err != nil {
				return fail(err)
			}
		}
		switch ev := ev.(type) {
		case *Stored:
			stored = max(stored, int(ev.Batch))
		case *StoreFailed:
			if n := int(ev.Batch); n > 0 && n <= len(disk) {
				disk[n-1] = nil
			}
		case *StoreLost:
			clear(disk[min(int(ev.LastKept), len(disk)):])
		}
		handle(ev)
	}
	return out.String(), nil
}

func setting(s *Settings, words []string) error {
	for _, w := range words {
		name, value, _ := strings.Cut(w, "=")
		n, err := strconv.Atoi(value)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		switch name {
		case "slots":
			s.Control.Slots = n
		case "max-open":
			s.Control.MaxOpen = n
		case "may-cancel":
			s.Control.MayCancel = n == 1
		case "max-ids":
			s.MaxIDs = n
		case "max-bytes":
			s.MaxBytes = n
		case "call-bytes":
			s.CallBytes = n
		case "remember-unsafe": // seconds
			s.ClassRemember = []Time{0, 0, Time(n) * control.Second}
		case "kind-bytes": // of the kind archives
			s.KindBytes = []int{n}
		case "stored":
			s.HasStore = n == 1
		case "hold-until-listed":
			s.HoldUntilListed = n == 1
		case "apart":
			s.Control.Kinds[1].RoutesApart = n == 1
		case "max-endpoints":
			s.MaxEndpoints = n
		case "max-tries":
			s.Control.MaxTries = n
		default:
			return fmt.Errorf("%s is no setting here", name)
		}
	}
	return nil
}

var (
	phases       = []string{"gone", "leaving", "active"}
	dispositions = []string{"", "delivered", "refused", "failed", "over", "withdrawn"}
	verdictKinds = []string{"", "taken", "busy", "unnamed", "conflict", "spent", "unsure", "invalid"}
	results      = []string{"ok", "errored", "full", "timed-out", "connect-failed", "reset", "cancelled", "moot", "unsent", "unreadable"}
)

func index(list []string, s string) (int, error) {
	for i, l := range list {
		if l == s {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%q is none of %v", s, list)
}

// parseEvent reads an event as the scripts write it.
func parseEvent(name string, words []string, now Now) (Event, error) {
	field := map[string]string{}
	var plain []string
	for _, w := range words {
		if k, v, ok := strings.Cut(w, "="); ok {
			field[k] = v
		} else {
			plain = append(plain, w)
		}
	}
	var first error
	num := func(s string) int {
		if s == "" {
			return 0
		}
		n, err := strconv.Atoi(s)
		if err != nil && first == nil {
			first = err
		}
		return n
	}
	span := func(s string) Time {
		if s == "" {
			return 0
		}
		d, err := time.ParseDuration(s)
		if err != nil && first == nil {
			first = err
		}
		return Time(d.Microseconds())
	}
	at := func(list []string, s string) int {
		n, err := index(list, s)
		if err != nil && first == nil {
			first = err
		}
		return n
	}
	wall := func(s string) Timestamp { // this long ago, or in the future if negative
		if s == "" {
			return 0
		}
		return now.Wall - Timestamp(span(s))
	}
	arg := func(i int) string {
		if i < len(plain) {
			return plain[i]
		}
		if first == nil {
			first = fmt.Errorf("a word is missing")
		}
		return ""
	}
	message := func() Message {
		m := Message{ID: arg(0), Class: "free", Destination: 1, Key: "k-" + arg(0), Body: []byte("body of " + arg(0))}
		if c, ok := field["class"]; ok {
			m.Class = c
		}
		if d, ok := field["dest"]; ok {
			m.Destination = num(d)
		}
		if k, ok := field["key"]; ok {
			m.Key = k
		}
		if b, ok := field["body"]; ok {
			m.Body = []byte(b)
		}
		if n, ok := field["size"]; ok {
			m.Body = make([]byte, num(n))
		}
		return m
	}
	var ev Event
	switch name {
	case "hand-in":
		h := &Submit{Ticket: Ticket(num(field["ticket"])), Message: message(), ExpiresIn: 10 * control.Second}
		if x, ok := field["expires"]; ok {
			h.ExpiresIn = span(x)
		}
		ev = h
	case "hand-in-all": // hand-in-all id[:dest[:body]] ...
		h := &SubmitAll{Ticket: Ticket(num(field["ticket"]))}
		all := message()
		for _, w := range plain {
			p := append(strings.Split(w, ":"), "", "")
			m := all
			m.ID, m.Key, m.Body = p[0], "k-"+p[0], []byte("body of "+p[0])
			if p[1] != "" {
				m.Destination = num(p[1])
			}
			if p[2] != "" {
				m.Body = []byte(p[2])
			}
			h.Submissions = append(h.Submissions, Submit{Message: m, ExpiresIn: 10 * control.Second})
		}
		ev = h
	case "withdraw":
		ev = &Withdraw{ID: arg(0)}
	case "restored":
		r := &RestoredMessage{
			Message: message(), Deadline: wall(field["deadline"]), Tries: num(field["tries"]), DoubtAt: wall(field["doubt"]),
		}
		if h, ok := field["owed"]; ok {
			r.Pending = &PendingResult{Disposition: Disposition(at(dispositions, h)), Fingerprint: r.Message.Fingerprint()}
		}
		ev = r
	case "restored-end":
		m := message()
		ev = &RestoredEnd{ID: m.ID, Disposition: Disposition(at(dispositions, field["how"])), Until: wall(field["until"]), Fingerprint: m.Fingerprint()}
	case "restored-last":
		ev = &RestoreComplete{LatestTimestamp: wall(field["written"])}
	case "members": // members source [whole] [cached] [failed] [unconfirmed] id:dest[:phase[:addr[:started]]] ...
		l := &Members{Source: arg(0)}
		for _, w := range plain[min(1, len(plain)):] {
			switch w {
			case "whole":
				l.FullList = true
			case "cached":
				l.Cached = true
			case "failed":
				l.Failed = true
			case "unconfirmed":
				l.Unconfirmed = true
			default:
				p := append(strings.Split(w, ":"), "", "", "", "0")
				m := Member{ID: p[0], Destination: num(p[1]), Addr: "host-" + p[0], Phase: Active, Kind: num(field["kind"])}
				if p[2] != "" {
					m.Phase = Phase(at(phases, p[2]))
				}
				if p[3] != "" {
					m.Addr = p[3]
				}
				if p[4] != "" {
					m.Started = int64(num(p[4]))
				}
				l.List = append(l.List, m)
			}
		}
		ev = l
	case "stored":
		ev = &Stored{Batch: Batch(num(arg(0)))}
	case "store-failed":
		ev = &StoreFailed{Batch: Batch(num(arg(0))), Full: len(plain) > 1 && plain[1] == "full"}
	case "store-lost":
		ev = &StoreLost{LastKept: Batch(num(arg(0)))}
	case "may-write":
		ev = &MayWrite{Call: CallID(num(arg(0)))}
	case "first-line":
		ev = &FirstLine{Call: CallID(num(arg(0)))}
	case "ended": // ended call item:result[:open|:over|:never] ...
		x := &Ended{Call: CallID(num(arg(0)))}
		for _, w := range plain[min(1, len(plain)):] {
			p := append(strings.Split(w, ":"), "", "")
			o := Outcome{
				Item: num(p[0]), Result: control.Result(at(results, p[1])),
				CallOpen: p[2] == "open", Closed: p[2] == "over", Permanent: p[2] == "never",
			}
			if o.Permanent {
				o.Reason = "it says so"
			}
			o.RetryAfter = Duration(span(field["wait"]))
			x.Outcomes = append(x.Outcomes, o)
		}
		ev = x
	case "through":
		ev = &Notified{IDs: plain}
	case "stop":
		ev = &Stop{}
	case "wake":
		ev = &Wake{}
	default:
		return nil, fmt.Errorf("%q is no event", name)
	}
	return ev, first
}

// formatEvent formats an event as in the scripts, with the fields that these have.
func formatEvent(ev Event, now Now) string {
	ago := func(s Timestamp) string { return Duration(Time(now.Wall - s)).String() }
	message := func(m *Message) string {
		return fmt.Sprintf("%s class=%s dest=%d key=%s size=%d", m.ID, m.Class, m.Destination, m.Key, len(m.Body))
	}
	switch ev := ev.(type) {
	case *Submit:
		return fmt.Sprintf("hand-in %s ticket=%d expires=%v", message(&ev.Message), ev.Ticket, Duration(ev.ExpiresIn))
	case *SubmitAll:
		s := fmt.Sprintf("hand-in-all ticket=%d", ev.Ticket)
		for i := range ev.Submissions {
			s += " " + message(&ev.Submissions[i].Message)
		}
		return s
	case *Withdraw:
		return "withdraw " + ev.ID
	case *RestoredMessage:
		s := fmt.Sprintf("restored %s deadline=%s tries=%d", message(&ev.Message), ago(ev.Deadline), ev.Tries)
		if ev.DoubtAt != 0 {
			s += " doubt=" + ago(ev.DoubtAt)
		}
		if ev.Pending != nil {
			s += " owed=" + dispositions[ev.Pending.Disposition]
		}
		return s
	case *RestoredEnd:
		return fmt.Sprintf("restored-end %s how=%s until=%s", ev.ID, dispositions[ev.Disposition], ago(ev.Until))
	case *RestoreComplete:
		return "restored-last written=" + ago(ev.LatestTimestamp)
	case *Members:
		s := "members " + ev.Source
		for _, w := range []struct {
			on   bool
			word string
		}{{ev.FullList, " whole"}, {ev.Cached, " cached"}, {ev.Failed, " failed"}, {ev.Unconfirmed, " unconfirmed"}} {
			if w.on {
				s += w.word
			}
		}
		for _, m := range ev.List {
			s += fmt.Sprintf(" %s:%d:%s:%s", m.ID, m.Destination, phases[m.Phase], m.Addr)
		}
		return s
	case *Stored:
		return fmt.Sprintf("stored %d", ev.Batch)
	case *StoreFailed:
		if ev.Full {
			return fmt.Sprintf("store-failed %d full", ev.Batch)
		}
		return fmt.Sprintf("store-failed %d", ev.Batch)
	case *StoreLost:
		return fmt.Sprintf("store-lost %d", ev.LastKept)
	case *MayWrite:
		return fmt.Sprintf("may-write %d", ev.Call)
	case *FirstLine:
		return fmt.Sprintf("first-line %d", ev.Call)
	case *Ended:
		s := fmt.Sprintf("ended %d", ev.Call)
		for _, o := range ev.Outcomes {
			s += fmt.Sprintf(" %d:%s", o.Item, results[o.Result])
			if o.CallOpen {
				s += ":open"
			}
			if o.Closed {
				s += ":over"
			}
			if o.Permanent {
				s += ":never"
			}
			if o.RetryAfter > 0 {
				s += " wait=" + o.RetryAfter.String()
			}
		}
		return s
	case *Notified:
		return "through " + strings.Join(ev.IDs, " ")
	case *Stop:
		return "stop"
	case *Wake:
		return "wake"
	}
	return fmt.Sprintf("%T", ev)
}

// format formats an effect as in the scripts.
func format(f Effect, now Now) string {
	needs := ""
	if b := f.RequiredBatch(); b > 0 {
		needs = fmt.Sprintf(" needs=%d", b)
	}
	switch f := f.(type) {
	case *Append:
		s := fmt.Sprintf("append %d:", f.Batch)
		for i, r := range f.Records {
			if i > 0 {
				s += ","
			}
			s += " " + formatRecord(r, now)
		}
		return s
	case *Discard:
		return fmt.Sprintf("void %d", f.Batch)
	case *Answer:
		s := fmt.Sprintf("answer %d %s", f.Ticket, verdictKinds[f.Kind])
		if f.RetryAfter > 0 {
			s += " again=" + f.RetryAfter.String()
		}
		if f.Reason != "" {
			s += " (" + f.Reason + ")"
		}
		return s + needs
	case *Call:
		s := fmt.Sprintf("call %d %s@%s", f.ID, f.EndpointID, f.Addr)
		for _, it := range f.Items {
			s += fmt.Sprintf(" %s<%v", it.ID, Duration(it.Deadline-now.At))
		}
		return s + needs
	case *Permit:
		return fmt.Sprintf("permit %d %v", f.Call, f.Items)
	case *Abort:
		return fmt.Sprintf("abort %d", f.Call)
	case *CloseIdle:
		return fmt.Sprintf("close-idle %d %s", f.Endpoint, f.Addr)
	case *RemoveEndpoint:
		return fmt.Sprintf("leave %d %s", f.Endpoint, f.Addr)
	case *Done:
		s := fmt.Sprintf("done %s %s", f.ID, dispositions[f.Disposition])
		if f.InDoubt {
			s += " doubt"
		}
		if f.RetryAfter > 0 {
			s += " again=" + f.RetryAfter.String()
		}
		if f.Reason != "" {
			s += " (" + f.Reason + ")"
		}
		return s + needs
	case *Note:
		s := "note " + f.Text
		if f.Message != "" {
			s += fmt.Sprintf(" message=%s class=%q", f.Message, f.Class)
		}
		return s
	}
	return fmt.Sprintf("%T", f)
}

func formatRecord(r Record, now Now) string {
	ago := func(s Timestamp) string { return Duration(Time(now.Wall - s)).String() }
	switch r := r.(type) {
	case *RecAccepted:
		return fmt.Sprintf("taken %s until=%s", r.Message.ID, Duration(Time(r.Deadline-now.Wall)))
	case *RecAttempts:
		s := "attempts"
		for _, a := range r.List {
			s += fmt.Sprintf(" %s/%d", a.ID, a.Zone)
		}
		return s
	case *RecNeverRan:
		return "never-ran " + r.ID
	case *RecState:
		s := fmt.Sprintf("state %s tries=%d", r.ID, r.Tries)
		if r.DoubtAt != 0 {
			s += " doubt=" + ago(r.DoubtAt)
		}
		if r.Settled {
			s += " settled"
		}
		return s
	case *RecPendingResult:
		return fmt.Sprintf("owed %s %s", r.ID, dispositions[r.Disposition])
	case *RecEnded:
		s := fmt.Sprintf("ended %s %s", r.ID, dispositions[r.Disposition])
		if r.Until != 0 {
			s += " until=" + Duration(Time(r.Until-now.Wall)).String()
		}
		return s
	case *RecClockStep:
		return fmt.Sprintf("shift %s", Duration(Time(r.By)))
	case *RecNoop:
		return "mark"
	}
	return fmt.Sprintf("%T", r)
}
