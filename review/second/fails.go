package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["fails"] = fails }

const (
	failsFleet  = 28               // dispatchers
	failsLimit  = 10.0             // calls a second that the destination takes from all dispatchers, as listed
	failsCan    = 13.0             // calls a second that it can do when it is warm
	failsDemand = 9.0              // messages a second, all dispatchers together
	failsShare  = 0.7              // of the calls that fail during the outage
	failsLength = 10 * time.Second // of the outage
	failsClump  = 26               // messages that come together: what the destination takes in 2.6 s
	failsTells  = 0.1              // share of the refusals that tell a wait
)

// returning is a destination as its endpoint sees it, whatever address a dispatcher reaches it at.
type returning struct {
	l *lab

	mu       sync.Mutex
	rnd      *rand.Rand
	failing  bool
	back     time.Time // when the outage ended, zero before
	told     []bool    // by dispatcher: a call of it was answered with an error during the outage
	arrivals []arrival // since the return
	tokens   float64
	at       time.Time // of tokens
	calls    int
	errors   int
	worst    float64 // largest part of the budget that arrived
	fell     bool
}

type arrival struct {
	at   time.Time
	told bool
}

// warmth is the share of what the destination can do when it is warm.
func (d *returning) warmth(t time.Time) float64 {
	const from, warmUp = 0.19, 10.0 // rules.cold-from, rules.warm-up
	if d.back.IsZero() {
		return 1
	}
	return min(1, from+(1-from)*t.Sub(d.back).Seconds()/warmUp)
}

// budget is what may come in the two seconds up to a time: N is twice what the destination can do in them.
func (d *returning) budget(end time.Time) float64 {
	begin := end.Add(-2 * time.Second)
	if begin.Before(d.back) {
		begin, end = d.back, d.back.Add(2*time.Second)
	}
	n := 2 * failsCan * 2 * (d.warmth(begin) + d.warmth(end)) / 2
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// take answers a call of a dispatcher.
func (d *returning) take(who int) answer {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.calls++
	work := time.Duration((120 + 90*d.rnd.Float64()) * float64(time.Millisecond))
	if d.failing {
		if d.rnd.Float64() < failsShare {
			d.told[who] = true
			d.errors++
			return answer{status: 500, after: 10 * time.Millisecond}
		}
		return answer{status: 200, after: work}
	}
	if !d.back.IsZero() && d.warmth(now) < 1 {
		d.push(now, who)
	}
	rate := min(failsLimit, failsCan*d.warmth(now))
	d.tokens, d.at = min(d.tokens+rate*now.Sub(d.at).Seconds(), max(1, rate/2)), now
	if d.tokens < 1 { // above what it can do
		if d.rnd.Float64() < failsTells {
			return answer{status: 503, wait: time.Duration((250 + 690*d.rnd.Float64()) * float64(time.Millisecond))}
		}
		return answer{status: 503}
	}
	d.tokens--
	return answer{status: 200, after: work}
}

// push counts a call that comes while the destination is cold.
func (d *returning) push(now time.Time, who int) {
	d.arrivals = append(d.arrivals, arrival{now, d.told[who]})
	n, told := 0, 0
	for i := len(d.arrivals) - 1; i >= 0 && now.Sub(d.arrivals[i].at) <= 2*time.Second; i-- {
		if n++; d.arrivals[i].told {
			told++
		}
	}
	budget := d.budget(now)
	d.worst = max(d.worst, float64(n)/budget)
	if !d.fell && float64(n) > budget && 3*told > 2*n {
		d.fell = true
		d.l.broke("%d calls within 2 s, %v after the return; allowed: %.1f; %d of them from dispatchers that had seen a call fail during the outage",
			n, now.Sub(d.back).Round(time.Millisecond), budget, told)
	}
}

func fails(l *lab) {
	dest := &returning{l: l, rnd: rand.New(rand.NewPCG(1, 2)), told: make([]bool, failsFleet), at: time.Now()}
	var fleet []*dispatcher
	for i := range failsFleet {
		a := startAgent(l.rec)
		e := startEndpoint(l.rec, fmt.Sprintf("s-1 for n%d", i), func(*call) answer { return dest.take(i) })
		a.set(member{ID: "s-1", HostPort: e.addr, Locality: "east-hall", Flavor: "small-hooks", Cell: 1, Phase: "active", Size: failsLimit})
		d := newDispatcher(l.rec, l.root, fmt.Sprintf("%s/n%d", l.folder, i), a)
		d.settings["instances"], d.settings["me"] = failsFleet, i
		d.settings["extra"].(map[string]any)["slots"] = 2 // the least: each has little traffic
		d.settings["limits"].(map[string]any)["max-open"] = 8
		l.start(d)
		fleet = append(fleet, d)
	}
	over := make(chan struct{})
	var all sync.WaitGroup
	hand := func(i int, id string) {
		k := &clientConn{to: fleet[i].addr}
		defer k.close()
		m := &request{id: id, class: "build-status", tenant: "core", dest: 1, expires: 5 * time.Second, body: []byte("built")}
		o := k.send(m.text())
		l.rec.line("request", id, "dispatcher", i, "status", o.status)
	}
	for i := range fleet {
		all.Go(func() {
			r := rand.New(rand.NewPCG(uint64(i), 7))
			for n := 0; ; n++ {
				select {
				case <-over:
					return
				case <-time.After(time.Duration(r.ExpFloat64() * failsFleet / failsDemand * float64(time.Second))):
					hand(i, fmt.Sprintf("c%d-%d", i, n))
				}
			}
		})
	}
	time.Sleep(6 * time.Second)
	if l.trouble {
		l.rec.line("the destination fails")
		dest.set(true, time.Time{})
	}
	time.Sleep(failsLength)
	if l.trouble {
		l.rec.line("the destination is back")
		dest.set(false, time.Now())
	}
	for n := range failsClump {
		all.Go(func() { hand(n%failsFleet, fmt.Sprintf("clump-%d", n)) })
	}
	time.Sleep(8 * time.Second)
	close(over)
	all.Wait()
	dest.mu.Lock()
	defer dest.mu.Unlock()
	told := 0
	for _, t := range dest.told {
		if t {
			told++
		}
	}
	fmt.Printf("calls %d, failed %d; dispatchers that saw one fail: %d of %d; most calls in 2 s after the return: %.2f of what is allowed\n",
		dest.calls, dest.errors, told, failsFleet, dest.worst)
	l.rec.line("calls", dest.calls, "failed", dest.errors, "told", told, "worst", dest.worst)
	if dest.calls == 0 || l.trouble && dest.errors == 0 {
		cannot("no call came")
	}
}

func (d *returning) set(failing bool, back time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failing, d.back = failing, back
}
