package overloadbench

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"curlewmux/internal/bench"
	"curlewmux/internal/bench/rig"
	"curlewmux/internal/standin/discovery"
)

// most is how many messages a run hands in at most.
const most = 1 << 20

// outcome is what became of the messages of a run.
type outcome struct {
	offered, noConn   int // messages that were to be handed in; those of them for which there was no connection left
	taken, refused    int // answered 202; 503
	silent            int // not answered within a client's patience
	other             int // answered otherwise
	delivered         int // in time, of those taken
	handedBack        int // ended by a notice in time
	late              int // ended late or not at all, of those taken
	goodput           float64
	p50, p99          time.Duration // from handing in to the partner, of those delivered
	conns             int64         // connections to partners
	cpu, starved      float64       // shares of the time: on the core, and waiting for it while others had it
	memory            float64       // MB at most
	again             time.Duration // least told Retry-After
	perMessage        float64       // CPU for each message delivered, us
	answer50, answer9 time.Duration // from handing in to the answer, p50 and p99
	refusal50         time.Duration // the same for 503
}

func (o *outcome) String() string {
	return fmt.Sprintf("offered %d taken %d refused %d silent %d other %d noconn %d delivered %d back %d late %d goodput %.0f (%.0f) p50 %v p99 %v answers %v %v refusals %v conns %d cpu %.2f starved %.2f mem %.0f again %v",
		o.offered, o.taken, o.refused, o.silent, o.other, o.noConn, o.delivered, o.handedBack, o.late, o.goodput, o.able(), o.p50.Round(time.Millisecond), o.p99.Round(time.Millisecond), o.answer50.Round(100*time.Microsecond), o.answer9.Round(100*time.Microsecond), o.refusal50.Round(100*time.Microsecond), o.conns, o.cpu, o.starved, o.memory, o.again)
}

// able is the goodput as it would be if nobody else had used the daemon's core: on a machine shared with other work a run
// says as much of that work as of the daemon.
func (o *outcome) able() float64 { return o.goodput / min(1, max(o.cpu, 1-o.starved)) }

func (o *outcome) write(r *bench.Report, name string) {
	r.Set(name+"_offered_per_s", math.Round(float64(o.offered)/loadTime.Seconds()))
	r.Set(name+"_taken", o.taken)
	r.Set(name+"_refused", o.refused)
	r.Set(name+"_unanswered", o.silent)
	r.Set(name+"_late", o.late)
	r.Set(name+"_goodput_per_s", math.Round(o.goodput))
	r.Set(name+"_goodput_core_per_s", math.Round(o.able()))
	r.Set(name+"_p50_ms", ms(o.p50))
	r.Set(name+"_p99_ms", ms(o.p99))
	r.Set(name+"_conns_to_partners", o.conns)
	r.Set(name+"_cpu_share", round(o.cpu))
	r.Set(name+"_starved_share", round(o.starved))
	r.Set(name+"_memory_mb", math.Round(o.memory))
}

func ms(d time.Duration) float64 { return math.Round(d.Seconds()*1e5) / 100 }

// record is one message, of its client's goroutine until the run is over.
type record struct {
	sent, answered time.Time
	status         int
	again          time.Duration
}

// world is what a daemon is measured with.
type world struct {
	agent    *discovery.Agent
	partners *rig.Partners
	daemon   *rig.Daemon
	records  []record
	next     atomic.Int64
	noConn   int
}

func (b *overload) world(ctx context.Context, dir string, h hold, dests int) (*world, error) {
	w := &world{partners: rig.NewPartners(most, partner), records: make([]record, most)}
	var err error
	if w.agent, err = discovery.Start(); err != nil {
		return nil, err
	}
	var members []discovery.Member
	for dest := 1; dest <= dests; dest++ {
		for n := range perDest {
			addr, err := w.partners.Endpoint(dest)
			if err != nil {
				w.close()
				return nil, err
			}
			members = append(members, discovery.Member{
				ID: fmt.Sprintf("e%d-%d", dest, n), HostPort: addr, Locality: "east", Flavor: "hooks", Cell: dest, Phase: discovery.Active,
			})
		}
	}
	w.agent.Tell(members...)
	w.daemon, err = b.cores.Start(ctx, b.program, dir, rig.Options{
		Discovery: w.agent.Addr(), Slots: h.slots, MaxOpen: h.held, Sockets: 16_384, MemoryMB: 1024, DiskMB: 400,
	})
	if err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

func (w *world) close() {
	if w.daemon != nil {
		w.daemon.Kill()
	}
	w.partners.Close()
	w.agent.Close()
}

// one hands the next message in.
func (w *world) one(c *rig.Client) {
	i := int(w.next.Add(1)) - 1
	if i >= most {
		return
	}
	r := &w.records[i]
	r.sent = time.Now()
	r.status, r.again = c.Submit("free", i, 1+i%dests, expires)
	r.answered = time.Now()
}

// closed lets so many clients hand in one message after the other, whatever they are answered, until the time given.
func (w *world) closed(clients int, until time.Time) {
	var all sync.WaitGroup
	for range clients {
		all.Go(func() {
			c := rig.NewClient(w.daemon.Addr, bodySize)
			defer c.Close()
			for time.Now().Before(until) {
				w.one(c)
			}
		})
	}
	all.Wait()
}

// open hands in at a rate, whatever becomes of that, over so many connections at most, until the time given.
func (w *world) open(clients int, rate float64, until time.Time) {
	idle := make(chan *rig.Client, clients)
	made := 0
	random := rand.New(rand.NewPCG(1, 2))
	var all sync.WaitGroup
	for at := time.Now(); at.Before(until); {
		now := time.Now()
		for ; at.Before(now) && at.Before(until); at = at.Add(time.Duration(random.ExpFloat64() / rate * 1e9)) {
			var c *rig.Client
			select {
			case c = <-idle:
			default:
				if made == clients {
					w.noConn++
					continue
				}
				made++
				c = rig.NewClient(w.daemon.Addr, bodySize)
			}
			all.Go(func() {
				w.one(c)
				idle <- c
			})
		}
		time.Sleep(500 * time.Microsecond) // the next arrivals
	}
	all.Wait()
	for range made {
		(<-idle).Close()
	}
}

// trial is one run: a daemon of its own, clients at full speed or a rate, and then what became of each message.
func (b *overload) trial(ctx context.Context, dir string, h hold, clients int, rate float64) (*outcome, error) {
	w, err := b.world(ctx, dir, h, dests)
	if err != nil {
		return nil, err
	}
	defer w.close()
	before, err := w.daemon.CPU()
	if err != nil {
		return nil, err
	}
	starvedBefore := w.daemon.Starved()
	begun := time.Now()
	until := begun.Add(loadTime)
	if rate > 0 {
		w.open(clients, rate, until)
	} else {
		w.closed(clients, until)
	}
	after, err := w.daemon.CPU()
	if err != nil {
		return nil, err
	}
	load, starved := time.Since(begun), w.daemon.Starved()-starvedBefore
	w.drain(ctx)
	_, memory, err := w.daemon.Memory()
	if err != nil {
		return nil, err
	}
	o := w.judge(begun, until)
	o.cpu, o.starved, o.memory = (after-before).Seconds()/load.Seconds(), starved.Seconds()/load.Seconds(), float64(memory)/(1<<20)
	return o, nil
}

// drain waits until every message that was taken has its end, or should have long had it.
func (w *world) drain(ctx context.Context) {
	limit := time.Now().Add(expires + 2*spare)
	for time.Now().Before(limit) && ctx.Err() == nil {
		changed, open := w.agent.Changed(), 0
		told := w.told()
		for i := range w.records[:w.handed()] {
			if r := &w.records[i]; r.status == 202 && w.partners.At(i).IsZero() && told[i].IsZero() {
				open++
			}
		}
		if open == 0 {
			return
		}
		select {
		case <-changed:
		case <-time.After(20 * time.Millisecond): // what comes at partners is not told here
		case <-ctx.Done():
		}
	}
}

func (w *world) handed() int { return min(int(w.next.Load()), most) }

// told is when each message's end was told by a notice.
func (w *world) told() map[int]time.Time {
	at := map[int]time.Time{}
	for _, n := range w.agent.Notices() {
		if i, err := strconv.Atoi(strings.TrimPrefix(n.ID, "m")); err == nil && at[i].IsZero() {
			at[i] = n.At
		}
	}
	return at
}

func (w *world) judge(begun, until time.Time) *outcome {
	o := &outcome{noConn: w.noConn, conns: w.partners.Conns.Load()}
	told := w.told()
	var lags, answers, refusals []time.Duration
	inTime := 0
	for i := range w.records[:w.handed()] {
		r := &w.records[i]
		o.offered++
		switch r.status {
		case 0:
			o.silent++
			continue
		case 202:
			o.taken++
			answers = append(answers, r.answered.Sub(r.sent))
		case 503:
			o.refused++
			refusals = append(refusals, r.answered.Sub(r.sent))
			if o.again == 0 || r.again < o.again {
				o.again = r.again
			}
			continue
		default:
			o.other++
			continue
		}
		due := r.sent.Add(expires)
		effect, notice := w.partners.At(i), told[i]
		switch {
		case !effect.IsZero() && effect.Before(due.Add(spare)):
			o.delivered++
			lags = append(lags, effect.Sub(r.sent))
			if effect.Before(until) {
				inTime++
			}
		case !notice.IsZero() && notice.Before(due.Add(spare)):
			o.handedBack++
		default:
			o.late++
		}
	}
	o.offered += w.noConn
	o.goodput = float64(inTime) / until.Sub(begun).Seconds()
	o.p50, o.p99 = at(lags, 0.5), at(lags, 0.99)
	o.answer50, o.answer9 = at(answers, 0.5), at(answers, 0.99)
	o.refusal50 = at(refusals, 0.5)
	return o
}

// at is the share of the spans that are no longer than it.
func at(s []time.Duration, share float64) time.Duration {
	if len(s) == 0 {
		return 0
	}
	slices.Sort(s)
	return s[min(int(math.Ceil(share*float64(len(s))))-1, len(s)-1)]
}
