package control

import "testing"

func pause(on bool) Event { return Event{Kind: Pause, On: on} }

// While sending is paused, messages still expire and are shed. Sending continues afterwards.
func TestPaused(t *testing.T) {
	set := testSettings()
	set.MaxOpen = 32
	r := newRig(t, set, entry(1, 0, 0))
	e, late := r.msg(free, 1), r.msg(free, 1)
	late.Grace = s
	r.want(r.at(0, pause(true), e, late))
	acts := r.wait(2 * s)
	r.want(acts)
	r.wantEnd(r.at(0, Event{Kind: Tick, Mark: uint64(late.Message) + 1}), Refuse, late.Message)
	var many []Event
	for range 40 {
		many = append(many, r.msg(free, 1))
	}
	acts = r.at(s, many...)
	r.want(acts)
	shed := 0
	for _, a := range acts {
		if a.Kind == Refuse || a.Kind == Fail {
			shed++
		}
	}
	if shed < 9 {
		t.Errorf("%d of 41 messages were shed with room for 32", shed)
	}
	if got := sent(r.at(s, pause(false))); len(got) == 0 {
		t.Error("sending does not continue after the pause")
	}
}

// An attempt that ends as Unsent uses up neither an attempt nor a slot, and changes no statistics, however often that
// happens.
func TestUnsentIsNoAttempt(t *testing.T) {
	for _, class := range []int{free, guarded, single} {
		set, one, two := testSettings(), entry(1, 0, 0), entry(2, 0, 1)
		set.Weights, one.Weight, two.Weight = WeightNominal, 1, 1 // a call a second: each Unsent has to return its token
		r := newRig(t, set, one, two)
		var batch []Event
		for range 3 {
			e := r.msg(class, 2)
			batch = append(batch, e)
		}
		e := r.msg(class, 1)
		acts := r.at(0, append(batch, e)...)
		for range 20 {
			if got := sent(acts); len(got) != 4 {
				t.Fatalf("class %d: sent %v, want four", class, got)
			}
			var outs []Event
			for _, id := range sent(acts) {
				outs = append(outs, done(id, 0, Unsent))
			}
			outs = append(outs, pause(true))
			r.want(r.at(5*Millisecond, outs...))
			if r.d.busy != 0 {
				t.Fatalf("class %d: %d slots are taken", class, r.d.busy)
			}
			acts = r.at(5*Millisecond, pause(false))
		}
		for _, ep := range r.d.byID {
			if ep.suspect || ep.bad > 0 || ep.limit.streak > 0 || ep.limit.allow != unfelt || ep.dest.ends > 0 {
				t.Errorf("class %d: statistics were changed: %+v %+v", class, ep, ep.limit)
			}
		}
		r.at(5*Millisecond, done(e.Message, 0, Full))
		r.want(r.wait(2*s), e.Message) // the second attempt
	}
}
