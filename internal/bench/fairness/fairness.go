// Package fairnessbench measures the thesis's own figures: how evenly a shared bottleneck is divided by weight, and what
// a message waits, beside a sender that sends each message as it comes.
package fairnessbench

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"curlewmux/internal/bench"
	"curlewmux/internal/bench/rig"
	"curlewmux/internal/standin/discovery"
)

// Measurement is what curlewbench offers as "fairness".
func Measurement() bench.Measurement {
	return bench.Measurement{
		Name:  "fairness",
		About: "a shared bottleneck by weight, and latency beside an unlimited first-come sender",
		Run:   run,
	}
}

const (
	speed    = 100.0                 // calls of mean length a second that the bottleneck takes
	delay    = 20 * time.Millisecond // of each call beside that
	offered  = 1.5                   // times the speed
	slots    = 16
	expires  = 4 * time.Second // what a message has
	runTime  = 24 * time.Second
	silentAt = 8 * time.Second // the destination with the greatest weight says nothing from here ...
	backAt   = 16 * time.Second
	interval = 4 * slots // completions between two looks: the design's F times a window of all slots

	indexAim      = ">= 0.97"
	latencyAim    = "<= 0.7"
	throughputAim = ">= 0.98"
)

// weights of the destinations, 1 to 3.
var weights = [...]float64{4, 2, 1}

// message is one that is handed in.
type message struct {
	at     time.Duration // since the start
	dest   int           // from 0
	length float64

	taken     bool
	handed    time.Time
	begun     time.Time // at the partner
	ended     time.Time
	unlimited time.Duration // what it took with the other sender; 0: it was not through in its time
}

// arrivals are the same for both senders: each destination is offered its part by weight, as even as chance makes it.
func arrivals(random *rand.Rand) []*message {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	var list []*message
	for d, w := range weights {
		rate := speed * offered * w / total
		for at := time.Duration(0); ; {
			at += time.Duration(random.ExpFloat64() / rate * 1e9)
			if at >= runTime {
				break
			}
			if d == 0 && at >= silentAt && at < backAt {
				continue
			}
			list = append(list, &message{at: at, dest: d})
		}
	}
	slices.SortFunc(list, func(a, b *message) int { return int(a.at - b.at) })
	for i, l := range lengths(random, len(list)) {
		list[i].length = l
	}
	return list
}

func run(ctx context.Context, progress io.Writer) (*bench.Report, error) {
	dir, err := os.MkdirTemp("", "curlewbench-fairness-")
	if err != nil {
		return nil, fmt.Errorf("fairness: %w", err)
	}
	defer os.RemoveAll(dir)
	program, err := rig.Build(ctx, dir)
	if err != nil {
		return nil, fmt.Errorf("fairness: %w", err)
	}
	cores, err := rig.Split()
	if err != nil {
		return nil, fmt.Errorf("fairness: %w", err)
	}
	list := arrivals(rand.New(rand.NewPCG(4, 21)))
	partners := rig.NewPartners(len(list), 0)
	defer partners.Close()
	agent, err := discovery.Start()
	if err != nil {
		return nil, fmt.Errorf("fairness: %w", err)
	}
	defer agent.Close()
	var members []discovery.Member
	for d, w := range weights {
		addr, err := partners.Endpoint(d)
		if err != nil {
			return nil, fmt.Errorf("fairness: %w", err)
		}
		members = append(members, discovery.Member{
			ID: fmt.Sprint("e", d+1), HostPort: addr, Locality: "east", Flavor: "hooks", Cell: d + 1, Phase: discovery.Active,
			Size: 1000 * w, // far more than comes: it weighs and does not limit
		})
	}
	agent.Tell(members...)
	d, err := cores.Start(ctx, program, dir, rig.Options{
		Discovery: agent.Addr(), Slots: slots, MaxOpen: 2000, Sockets: 4096, MemoryMB: 256, DiskMB: 50, Weights: "nominal",
	})
	if err != nil {
		return nil, fmt.Errorf("fairness: %w", err)
	}
	defer d.Kill()
	return measure(ctx, progress, d, partners, list)
}

// measure plays the messages through both senders at once, each with a bottleneck of its own.
func measure(ctx context.Context, progress io.Writer, d *rig.Daemon, partners *rig.Partners, list []*message) (*bench.Report, error) {
	fmt.Fprintf(progress, "fairness: %d messages in %v\n", len(list), runTime)
	ours, other := newLink(speed, delay), newLink(speed, delay)
	var mu sync.Mutex
	partners.Answer = func(_, i int) (int, time.Duration) {
		m := list[i]
		mu.Lock()
		m.begun = time.Now()
		mu.Unlock()
		ours.take(m.length)
		mu.Lock()
		m.ended = time.Now()
		mu.Unlock()
		return 200, 0
	}
	var work, otherWork float64
	time.AfterFunc(silentAt, func() {
		a, b := ours.carried(), other.carried()
		mu.Lock()
		defer mu.Unlock()
		work, otherWork = a, b
	})
	clients := sync.Pool{New: func() any { return rig.NewClient(d.Addr, 200) }}
	start := time.Now()
	var all sync.WaitGroup
	for i, m := range list {
		select {
		case <-time.After(time.Until(start.Add(m.at))): // the message's time has come
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		all.Go(func() {
			c := clients.Get().(*rig.Client)
			defer clients.Put(c)
			at := time.Now()
			status, _ := c.Submit("free", i, 1+m.dest, expires)
			mu.Lock()
			defer mu.Unlock()
			m.handed, m.taken = at, status == 202
		})
		all.Go(func() {
			at := time.Now()
			other.take(m.length)
			mu.Lock()
			defer mu.Unlock()
			m.unlimited = time.Since(at)
		})
	}
	until := start.Add(runTime)
	time.Sleep(time.Until(until)) // the end of the last phase
	mu.Lock()
	defer mu.Unlock()
	return judge(list, start, until, work, otherWork), nil
}

// judge tells the figures, as they stand at the end of the last phase.
func judge(list []*message, start, until time.Time, work, otherWork float64) *bench.Report {
	r := &bench.Report{}
	var waits, others []float64
	for _, m := range list {
		if m.at >= silentAt { // latency and throughput are of the first phase, as the thesis has them
			continue
		}
		if !m.ended.IsZero() {
			waits = append(waits, m.ended.Sub(m.handed).Seconds()*1e3)
		}
		if m.unlimited > 0 {
			others = append(others, m.unlimited.Seconds()*1e3)
		}
	}
	share, index := indices(list, start, until, interval)
	_, longer := indices(list, start, until, 2*interval)
	r.Set("index_F8_mean", round(mean(longer)))
	r.Set("messages", len(list))
	r.Set("delivered", len(waits))
	r.Set("first_come_delivered", len(others))
	r.Set("latency_mean_ms", round(mean(waits)))
	r.Set("first_come_latency_mean_ms", round(mean(others)))
	r.Set("throughput_mean_lengths_per_s", round(work/silentAt.Seconds()))
	r.Set("first_come_throughput_mean_lengths_per_s", round(otherWork/silentAt.Seconds()))
	r.Set("intervals", len(index))
	r.Set("index_least", round(slices.Min(append(index, 1))))
	r.Set("index_of_the_whole_first_phase", round(share))
	r.Aim("Jain's index of slot-time by weight, mean over intervals", indexAim, round(mean(index)))
	r.Aim("mean latency over that of the first-come sender", latencyAim, round(mean(waits)/mean(others)))
	r.Aim("throughput over that of the first-come sender", throughputAim, round(work/otherWork))
	return r
}

// indices are Jain's index of the slot-time by weight that the destinations which hold something had, in the whole first
// phase, and in each interval with two of them or more.
func indices(list []*message, start, until time.Time, interval int) (whole float64, each []float64) {
	var ends []time.Time
	for _, m := range list {
		if !m.ended.IsZero() && m.ended.Before(until) {
			ends = append(ends, m.ended)
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	for i := interval; i < len(ends); i += interval {
		if x := shares(list, ends[i-interval], ends[i]); len(x) > 1 {
			each = append(each, jain(x))
		}
	}
	return jain(shares(list, start.Add(time.Second), start.Add(silentAt))), each
}

// shares are the slot-times by weight, within a span, of the destinations that held something all through.
func shares(list []*message, from, to time.Time) (x []float64) {
	for d, w := range weights {
		type step struct {
			at time.Time
			by int
		}
		var held []step // messages that wait, as it changes
		before, had := 0, 0.0
		for _, m := range list {
			if m.dest != d || !m.taken {
				continue
			}
			end := m.begun
			if end.IsZero() { // it never was sent: handed back when its time was up
				end = m.handed.Add(expires)
			}
			for _, s := range [2]step{{m.handed, 1}, {end, -1}} {
				if !s.at.After(from) {
					before += s.by
				} else if s.at.Before(to) {
					held = append(held, s)
				}
			}
			if over := m.ended; !m.begun.IsZero() {
				if over.IsZero() || over.After(to) {
					over = to
				}
				since := m.begun
				if since.Before(from) {
					since = from
				}
				had += max(over.Sub(since).Seconds(), 0)
			}
		}
		slices.SortStableFunc(held, func(a, b step) int { return a.at.Compare(b.at) })
		holds := before > 0
		for _, s := range held {
			before += s.by
			holds = holds && before > 0
		}
		if holds {
			x = append(x, had/w)
		}
	}
	return x
}

// jain is Jain's index of fairness, from 1/n to 1.
func jain(x []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range x {
		sum += v
		squares += v * v
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(x)) * squares)
}

func mean(x []float64) float64 {
	sum := 0.0
	for _, v := range x {
		sum += v
	}
	return sum / float64(max(len(x), 1))
}

func round(v float64) float64 { return math.Round(v*1000) / 1000 }
