package resend

import (
	"math/rand/v2"
	"testing"

	"curlewmux/control"
)

// bench is a planner with messages for destinations that do as told.
type bench struct {
	*Planner
	how   map[int]control.Condition
	rate  float64
	nodes []*Node
}

func newBench(slots, dests, each int) *bench {
	b := &bench{Planner: NewPlanner(slots, 0.5, 60*second), how: map[int]control.Condition{}}
	for d := range dests {
		b.how[d] = control.Healthy
	}
	for i := range dests * each {
		n := &Node{Number: uint64(i)}
		n.SetDestination(i % dests)
		b.nodes = append(b.nodes, n)
		b.Schedule(n, now)
	}
	return b
}

func (b *bench) pick(at Time) []*Node {
	return b.Pick(at, func(d int) (control.Condition, float64) { return b.how[d], b.rate })
}

func TestADestinationGetsOneMoreWithEachThatGoesWell(t *testing.T) {
	t.Parallel()
	b := newBench(4, 1, 20)
	for _, want := range []int{1, 2, 4} {
		got := b.pick(now)
		if len(got) != want || b.InFlight() != want {
			t.Fatalf("%d picked, %d out, want %d", len(got), b.InFlight(), want)
		}
		for range got {
			b.Completed(0, now, Success)
		}
	}
	if got := b.pick(now); len(got) != 4 {
		t.Fatalf("%d picked with a share of 4 slots", len(got))
	}
	b.Completed(0, now, Failure)
	for range 3 {
		b.Completed(0, now, Inconclusive)
	}
	if got := b.pick(now + second - 1); len(got) != 0 {
		t.Errorf("%d picked in the pause after a failure", len(got))
	}
	if got := b.pick(now + second); len(got) != 1 {
		t.Errorf("%d picked after a failure", len(got))
	}
}

func TestOnlyADestinationThatIsWellGetsMessages(t *testing.T) {
	t.Parallel()
	b := newBench(4, 3, 10)
	b.how[0], b.how[1], b.how[2] = control.Busy, control.Unavailable, control.Unhealthy
	got := b.pick(now)
	if len(got) != 1 || got[0].Destination() != 2 {
		t.Fatalf("picked %v", got)
	}
	b.Completed(2, now, Inconclusive)
	for at := now; at < now+60*second; at += second {
		if got := b.pick(at); len(got) > 0 {
			t.Fatalf("another trial after %d s", (at-now)/second)
		}
	}
	if got := b.pick(now + 61*second); len(got) != 1 {
		t.Errorf("%d trials after a minute", len(got))
	}
	if at, ok := b.NextDue(); !ok || at > now+63*second {
		t.Errorf("next look %v %v", at-now, ok)
	}
	b.how[0] = control.Healthy
	if got := b.pick(now + 62*second); len(got) != 1 || got[0].Destination() != 0 {
		t.Errorf("picked %v when destination 0 was well", got)
	}
}

func TestAListedRateIsKept(t *testing.T) {
	t.Parallel()
	b := newBench(8, 1, 1000)
	b.rate = 10
	sent := 0
	for at := now; at < now+60*second; at += 10 * control.Millisecond {
		for _, n := range b.pick(at) {
			sent++
			b.Completed(n.Destination(), at, Success)
		}
	}
	if sent > 301 || sent < 290 { // half of ten a second
		t.Errorf("%d sent in a minute", sent)
	}
}

func TestDestinationsTakeTurns(t *testing.T) {
	t.Parallel()
	b := newBench(2, 5, 40)
	count := map[int]int{}
	for range 50 {
		for _, n := range b.pick(now) {
			count[n.Destination()]++
			b.Completed(n.Destination(), now, Inconclusive)
		}
	}
	for d := range 5 {
		if count[d] < 15 || count[d] > 25 {
			t.Errorf("destination %d had %d turns of 100", d, count[d])
		}
	}
}

// Whatever comes in whatever order: no message is picked twice or before it is due, none is lost, and no more are out than
// may be.
func TestThePlannerLosesNothing(t *testing.T) {
	t.Parallel()
	for seed := range uint64(200) {
		dice := rand.New(rand.NewPCG(seed, 1))
		b := newBench(1+dice.IntN(5), 1+dice.IntN(4), 20)
		in, out := map[*Node]bool{}, map[*Node]bool{}
		for _, n := range b.nodes {
			in[n] = true
		}
		at := now
		for range 400 {
			at += Time(dice.IntN(int(5 * second)))
			switch dice.IntN(5) {
			case 0:
				n := b.nodes[dice.IntN(len(b.nodes))]
				if !out[n] {
					b.Schedule(n, at+Time(dice.IntN(int(20*second))))
					in[n] = true
				}
			case 1:
				n := b.nodes[dice.IntN(len(b.nodes))]
				if in[n] {
					b.Remove(n)
					delete(in, n)
				}
			case 2:
				b.how[dice.IntN(4)] = control.Condition(dice.IntN(4))
			case 3:
				for n := range out {
					b.Completed(n.Destination(), at, SendResult(dice.IntN(3)))
					delete(out, n)
					break
				}
			default:
				for _, n := range b.pick(at) {
					if !in[n] || out[n] || n.Due > at {
						t.Fatalf("seed %d: message %d picked when it could not be", seed, n.Number)
					}
					delete(in, n)
					out[n] = true
				}
			}
			if b.InFlight() != len(out) || b.InFlight() > b.slots {
				t.Fatalf("seed %d: %d out, %d known", seed, b.InFlight(), len(out))
			}
			left := 0
			for _, l := range b.lanes {
				left += len(l.nodes)
			}
			if left != len(in) {
				t.Fatalf("seed %d: %d in the lanes, %d known", seed, left, len(in))
			}
		}
	}
}
