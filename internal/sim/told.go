package sim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"curlewmux/internal/judge"
)

// tell tells the judge.
func (f *Farm) tell(e judge.Event) {
	if f.noting() {
		f.w.Note("* %T %+v", e, e)
	}
	f.account(e)
	found := f.judge.Handle(f.w.Now(), e)
	if c, ok := e.(judge.Call); ok && f.w.Now()-c.First > 100*ms {
		// It was begun before the wait was told, and its last byte waited for room: endpoints of the platform read.
		found = slices.DeleteFunc(found, func(v judge.Violation) bool { return v.Rule == judge.Waits })
	}
	f.broken(found)
}

// fate is what is known of a message beside what the judge keeps.
type fate struct {
	deadline time.Duration // as its dispatcher reckons it
	ended    bool          // delivered, or a notice came
	noticed  bool
	unread   bool // handed in once more, with no answer yet
	tied     bool // its answer came in the instant in which the connection was closed
	inBatch  bool // sent in a call with others
}

func (f *Farm) fate(id string) *fate {
	t := f.fates[id]
	if t == nil {
		t = &fate{}
		f.fates[id] = t
	}
	return t
}

// account notes which messages have ended.
func (f *Farm) account(e judge.Event) {
	f.reckon(e)
	status, states := 0, []judge.State(nil)
	var id judge.CallID
	switch e := e.(type) {
	case judge.Notice:
		t := f.fate(e.ID)
		t.noticed, t.ended = true, true
	case judge.Call:
		f.items[e.Call] = e.Items
	case judge.Line:
		id, status = e.Call, e.Status
	case judge.Answer:
		id, status, states = e.Call, e.Status, e.States
	}
	if status != 200 && status != 410 {
		return
	}
	for i, it := range f.items[id] {
		if i >= len(states) || states[i] == judge.Delivered || states[i] == judge.Over {
			f.fate(it.ID).ended = true
			f.tallyOf(it.ID).served = true
		}
	}
}

// mayHaveLost tells that a power failure may have taken a message from its dispatcher.
func (d *Dispatcher) mayHaveLost(m *Message) bool {
	return slices.ContainsFunc(d.losses, func(at time.Duration) bool { return m.Sent < at })
}

// late looks again once a message's end must have come in any case.
func (f *Farm) late(d *Dispatcher, m *Message) {
	until := m.Over + 2*time.Second + d.blind
	f.w.After(max(0, until-f.w.Now()), func() {
		if m.Over+2*time.Second+d.blind > until { // it was down once more
			f.late(d, m)
			return
		}
		if !f.fate(m.ID).ended && !d.mayHaveLost(m) && !d.mutedAt(m.Over) && d.ready && f.w.Now()-d.booted > 2*time.Second {
			f.violation(missing, "%s %s no end %v after its time was up, though the wall clock was stepped while it was down",
				d.name, m.ID, f.w.Now()-m.Over)
		}
	})
}

// heldUp looks again at a message that was held up on its way to its dispatcher: its time runs from when it was read.
func (f *Farm) heldUp(d *Dispatcher, m *Message, at time.Duration) {
	f.w.After(max(0, at-f.w.Now()), func() {
		switch {
		case f.fate(m.ID).ended || d.mayHaveLost(m):
		case d.mutedAt(m.Over) || !d.ready || f.w.Now()-d.booted < 2500*ms:
			f.heldUp(d, m, f.w.Now()+500*ms)
		default:
			f.violation(missing, "%s %s no end %v after its time was up, as it was read", d.name, m.ID, f.w.Now()-f.fate(m.ID).deadline)
		}
	})
}

// broken takes up what the judge found.
func (f *Farm) broken(list []judge.Violation) {
	for _, v := range list {
		if v.Rule == judge.Order && strings.HasPrefix(v.Text, "sent while ") && strings.HasSuffix(v.Text, "is unfinished") {
			f.outOfTurn(v)
			continue
		}
		if f.excused(&v) {
			f.count("excused")
			continue
		}
		f.violation(v.Rule.String(), "%s %s %s %s", v.Dispatcher, v.Message, v.Endpoint, v.Text)
	}
}

// outOfTurn looks again in a moment: an earlier message whose end was decided just before, and told just behind, was
// over for its dispatcher.
func (f *Farm) outOfTurn(v judge.Violation) {
	earlier := strings.TrimSuffix(strings.Fields(v.Text)[2], ",")
	wait := 100 * ms
	for _, d := range f.dispatchers {
		if d.name == v.Dispatcher && d.mutedAt(f.w.Now()) {
			wait = max(wait, f.heal+4*time.Second-f.w.Now()) // the notice has to come, though nobody can say when
		}
	}
	f.w.After(wait, func() {
		if !f.fate(earlier).noticed {
			f.violation(v.Rule.String(), "%s %s %s %s", v.Dispatcher, v.Message, v.Endpoint, v.Text)
		}
	})
}

// excused tells that something else than its dispatcher is to blame: notices could not come through, the disk took
// nothing, what the disk had not kept was lost with the power, or nobody could know how long a process was down since
// the wall clock was stepped meanwhile.
func (f *Farm) excused(v *judge.Violation) bool {
	m := f.byID[v.Message]
	for _, d := range f.dispatchers {
		if d.name == v.Dispatcher && m != nil {
			return f.excusedBy(d, m, v)
		}
	}
	return false
}

func (f *Farm) excusedBy(d *Dispatcher, m *Message, v *judge.Violation) bool {
	fate := f.fate(m.ID)
	if fate.unread { // it may be read late, and begin a further life
		return true
	}
	if d.mayHaveLost(m) {
		return true
	}
	for _, at := range d.losses {
		if v.Rule == judge.Order && f.w.Now()-at < 3*time.Second { // it can't know what was in doubt
			return true
		}
	}
	unknown := false
	for _, at := range d.unseen {
		unknown = unknown || m.Sent < at
	}
	if v.Rule == judge.Order && justBefore(v.Text) { // its end was decided before, and told just behind
		return true
	}
	afterwards := v.Rule == judge.Missing && strings.Contains(v.Text, "after the dispatcher heard that it is over")
	switch {
	case v.Rule == judge.Missing && strings.HasPrefix(v.Text, "no end") && (unknown || d.mutedAt(m.Over)):
		f.owed = append(f.owed, m)
		if unknown {
			f.late(d, m)
		}
		return true
	case v.Rule == judge.Missing && strings.HasPrefix(v.Text, "no end") && fate.deadline > m.Over+50*ms:
		f.owed = append(f.owed, m)
		f.heldUp(d, m, fate.deadline+350*ms)
		return true
	case v.Rule == judge.Twice && strings.Contains(v.Text, "it is keyed"):
		return unknown || d.pausedAt > 0 && f.w.Now()-d.pausedAt < 100*ms // it was stopped between its decision and the write
	case afterwards && (d.mutedAt(m.Over) || fate.tied): // it was written in time
		return true
	case afterwards && fate.inBatch:
		f.count("given up in a call that went on for others, and heard of later")
		return true
	}
	return false
}

// violation notes a rule that was broken.
func (f *Farm) violation(rule, format string, args ...any) {
	v := Violation{At: f.w.Now(), Rule: rule, Text: fmt.Sprintf(format, args...)}
	f.w.Note("VIOLATION %s: %s", v.Rule, v.Text)
	if len(f.found) < 20 || !slices.ContainsFunc(f.found, func(o Violation) bool { return o.Rule == rule }) {
		f.found = append(f.found, v)
	}
}

// justBefore tells that a message was sent no more than 100 ms before an earlier one of its key had ended ("sent from X on,
// while ..., was unfinished until Y").
func justBefore(text string) bool {
	f := strings.Fields(text)
	if len(f) < 4 || !strings.HasPrefix(text, "sent from ") || !strings.Contains(text, "was unfinished until") {
		return false
	}
	from, err := time.ParseDuration(f[2])
	until, err2 := time.ParseDuration(f[len(f)-1])
	return err == nil && err2 == nil && until-from <= 100*ms
}
