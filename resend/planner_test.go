package resend

import (
	"math/rand/v2"
	"testing"

	"curlewmux/control"
)

// testPlanner is a planner with queued messages. A test sets the condition of each destination and their listed rate.
type testPlanner struct {
	*Planner
	conditions map[int]control.Condition
	rate       float64
	nodes      []*Node
}

func newTestPlanner(slots, dests, each int) *testPlanner {
	p := &testPlanner{Planner: NewPlanner(slots, 0.5, 60*second), conditions: map[int]control.Condition{}}
	for d := range dests {
		p.conditions[d] = control.Healthy
	}
	for i := range dests * each {
		n := &Node{Number: uint64(i)}
		n.SetDestination(i % dests)
		p.nodes = append(p.nodes, n)
		p.Schedule(n, now)
	}
	return p
}

func (p *testPlanner) pick(at Time) []*Node {
	return p.Pick(at, func(d int) (control.Condition, float64) { return p.conditions[d], p.rate })
}

func TestWindowGrowsWithEachSuccess(t *testing.T) {
	t.Parallel()
	p := newTestPlanner(4, 1, 20)
	for _, want := range []int{1, 2, 4} {
		got := p.pick(now)
		if len(got) != want || p.InFlight() != want {
			t.Fatalf("%d picked, %d in flight, want %d of both", len(got), p.InFlight(), want)
		}
		for range got {
			p.Completed(0, now, Success)
		}
	}
	if got := p.pick(now); len(got) != 4 {
		t.Fatalf("%d picked with 4 slots, want 4", len(got))
	}
	p.Completed(0, now, Failure)
	for range 3 {
		p.Completed(0, now, Inconclusive)
	}
	if got := p.pick(now + second - 1); len(got) != 0 {
		t.Errorf("%d picked during the pause after a failure, want none", len(got))
	}
	if got := p.pick(now + second); len(got) != 1 {
		t.Errorf("%d picked after the pause, want 1", len(got))
	}
}

func TestUnhealthyDestinationGetsOnlyTrials(t *testing.T) {
	t.Parallel()
	p := newTestPlanner(4, 3, 10)
	p.conditions[0], p.conditions[1], p.conditions[2] = control.Busy, control.Unavailable, control.Unhealthy
	got := p.pick(now)
	if len(got) != 1 || got[0].Destination() != 2 {
		t.Fatalf("picked %v, want one message for destination 2", got)
	}
	p.Completed(2, now, Inconclusive)
	for at := now; at < now+60*second; at += second {
		if got := p.pick(at); len(got) > 0 {
			t.Fatalf("another trial after only %d s", (at-now)/second)
		}
	}
	if got := p.pick(now + 61*second); len(got) != 1 {
		t.Errorf("%d trials after a minute, want 1", len(got))
	}
	if at, ok := p.NextDue(); !ok || at > now+63*second {
		t.Errorf("NextDue returns %v from now, %v", at-now, ok)
	}
	p.conditions[0] = control.Healthy
	if got := p.pick(now + 62*second); len(got) != 1 || got[0].Destination() != 0 {
		t.Errorf("picked %v once destination 0 is healthy, want one message for it", got)
	}
}

func TestListedRateIsKept(t *testing.T) {
	t.Parallel()
	p := newTestPlanner(8, 1, 1000)
	p.rate = 10
	sent := 0
	for at := now; at < now+60*second; at += 10 * control.Millisecond {
		for _, n := range p.pick(at) {
			sent++
			p.Completed(n.Destination(), at, Success)
		}
	}
	if sent > 301 || sent < 290 { // half of the listed 10/s
		t.Errorf("%d messages sent in a minute, want about 300", sent)
	}
}

func TestDestinationsAreServedRoundRobin(t *testing.T) {
	t.Parallel()
	p := newTestPlanner(2, 5, 40)
	count := map[int]int{}
	for range 50 {
		for _, n := range p.pick(now) {
			count[n.Destination()]++
			p.Completed(n.Destination(), now, Inconclusive)
		}
	}
	for d := range 5 {
		if count[d] < 15 || count[d] > 25 {
			t.Errorf("destination %d was picked %d times of 100, want about 20", d, count[d])
		}
	}
}

// TestPlannerLosesNoMessage makes random calls. No message may be picked twice or before it is due, none may be lost, and
// the limit of messages being resent must be kept.
func TestPlannerLosesNoMessage(t *testing.T) {
	t.Parallel()
	for seed := range uint64(200) {
		dice := rand.New(rand.NewPCG(seed, 1))
		p := newTestPlanner(1+dice.IntN(5), 1+dice.IntN(4), 20)
		queued, inFlight := map[*Node]bool{}, map[*Node]bool{}
		for _, n := range p.nodes {
			queued[n] = true
		}
		at := now
		for range 400 {
			at += Time(dice.IntN(int(5 * second)))
			switch dice.IntN(5) {
			case 0:
				n := p.nodes[dice.IntN(len(p.nodes))]
				if !inFlight[n] {
					p.Schedule(n, at+Time(dice.IntN(int(20*second))))
					queued[n] = true
				}
			case 1:
				n := p.nodes[dice.IntN(len(p.nodes))]
				if queued[n] {
					p.Remove(n)
					delete(queued, n)
				}
			case 2:
				p.conditions[dice.IntN(4)] = control.Condition(dice.IntN(4))
			case 3:
				for n := range inFlight {
					p.Completed(n.Destination(), at, SendResult(dice.IntN(3)))
					delete(inFlight, n)
					break
				}
			default:
				for _, n := range p.pick(at) {
					if !queued[n] || inFlight[n] || n.Due > at {
						t.Fatalf("seed %d: message %d picked before it was due, or twice", seed, n.Number)
					}
					delete(queued, n)
					inFlight[n] = true
				}
			}
			if p.InFlight() != len(inFlight) || p.InFlight() > p.slots {
				t.Fatalf("seed %d: %d in flight, want %d and no more than there are slots", seed, p.InFlight(), len(inFlight))
			}
			left := 0
			for _, l := range p.queues {
				left += len(l.messages)
			}
			if left != len(queued) {
				t.Fatalf("seed %d: %d messages queued, want %d", seed, left, len(queued))
			}
		}
	}
}
