// Command throng checks that 30 dispatchers together do not push over a destination that was shut for 10 s, has told
// them when it opens, and opens cold.
//
// Its arguments are the root of the project and the folder for record.txt. Without the disruption (TROUBLE=0) the
// destination is neither shut nor cold.
package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"curlewmux/review/standin"
)

const (
	dispatchers = 30
	// What the destination can do when it is warm, in calls a second. Its limit, which the list has as its size, is lower
	// by the site's "spare" (1.2 to 1.5). Full load is what the limit covers 0.98 times, and 1.15 times that comes.
	capacity = 11.0
	limit    = 9.1  // counted in windows of 2 s; what is refused does not count
	rate     = 10.7 // messages a second

	calm     = 15 * time.Second
	shut     = 10 * time.Second
	watched  = 6 * time.Second
	untold   = 20  // one of so many refusals above the limit or while it is shut tells no wait
	depth    = 0.5 // seconds of work that it queues
	coldFrom = 0.19
	warmUp   = 10 * time.Second
	tip      = 2.0
	span     = 2 * time.Second

	leastServed = 60 // calls answered 200, or the run has shown nothing
)

func main() { standin.Main(run) }

// share is what part of its calls the destination can take a time after its return.
func share(since time.Duration) float64 {
	if since >= warmUp {
		return 1
	}
	return coldFrom + (1-coldFrom)*since.Seconds()/warmUp.Seconds()
}

// allowed is how many calls a span may bring for an N: with the slack for chance.
func allowed(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// overSpan is the N of a whole span that begins a time after the return, by what the destination can do in the course of it.
func overSpan(begin time.Duration) (n float64) {
	const steps = 1000
	for i := range steps {
		n += tip * capacity * share(begin+span*time.Duration(2*i+1)/(2*steps)) * span.Seconds() / steps
	}
	return n
}

// atOnce is the N of a span that ends a time after the return, by what the destination can do at its end.
func atOnce(end time.Duration) float64 { return tip * capacity * share(end) * span.Seconds() }

// destination is the one destination, with one endpoint.
type destination struct {
	mu        sync.Mutex
	random    *rand.Rand
	opens     time.Time // when it opens, if it is or was shut
	isShut    bool
	busyUntil time.Time         // when it will have done all that it has taken
	window    time.Time         // when the window of the limit began
	used      float64           // calls taken in it
	told      map[string]string // by dispatcher: when it was first refused, for the record
	arrivals  []arrival         // since it opened
	refusals  int
	served    int // calls answered 200
}

type arrival struct {
	at         time.Time
	dispatcher string
}

// tells reports whether the next refusal tells a wait.
func (d *destination) tells() bool {
	d.refusals++
	return d.refusals%untold != untold/2
}

// take decides what becomes of a call.
func (d *destination) take(dispatcher string, now time.Time) (status int, wait, work time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isShut && now.Before(d.opens) {
		if len(d.told) == 0 {
			d.refusals = 0
		}
		if d.told[dispatcher] == "" {
			d.told[dispatcher] = now.Format(time.StampMilli)
		}
		if d.tells() {
			return http.StatusTooManyRequests, d.opens.Sub(now), 5 * time.Millisecond
		}
		return http.StatusServiceUnavailable, 0, 5 * time.Millisecond
	}
	rate := capacity
	if d.isShut {
		rate *= share(now.Sub(d.opens))
		d.arrivals = append(d.arrivals, arrival{now, dispatcher})
	}
	if d.busyUntil.Before(now) {
		d.busyUntil = now
	}
	queue := d.busyUntil.Sub(now)
	if queue.Seconds() > depth {
		return http.StatusServiceUnavailable, 0, 5 * time.Millisecond
	}
	if now.Sub(d.window) >= span {
		d.window, d.used = now, 0
	}
	if d.used >= limit*span.Seconds() {
		if d.tells() {
			return http.StatusTooManyRequests, d.window.Add(span).Sub(now), 5 * time.Millisecond
		}
		return http.StatusServiceUnavailable, 0, 5 * time.Millisecond
	}
	d.used++
	d.served++
	d.busyUntil = d.busyUntil.Add(time.Duration(float64(time.Second) / rate))
	return http.StatusOK, 0, queue + 120*time.Millisecond + time.Duration(d.random.Int64N(int64(90*time.Millisecond)))
}

// clients are those of one dispatcher. They hand a message in again after a refusal, up to retries times after a pause.
type clients struct {
	k      int
	client *standin.Client
	source *rand.Rand // used by run alone
	again  chan *message

	mu       sync.Mutex
	handedIn map[string]*message // by id
}

// message is what a client wants to be delivered.
type message struct {
	standin.Submission
	until time.Time
	tries int
}

const (
	retries    = 3
	leastPause = 570 * time.Millisecond
	mostPause  = 1400 * time.Millisecond
)

// refused has a message come again.
func (c *clients) refused(m *message) {
	if m.tries++; m.tries <= retries {
		time.AfterFunc(leastPause+time.Duration(rand.Int64N(int64(mostPause-leastPause))), func() { c.again <- m })
	}
}

// notice handles a notice.
func (c *clients) notice(n standin.Notice) {
	c.mu.Lock()
	m := c.handedIn[n.ID]
	delete(c.handedIn, n.ID)
	c.mu.Unlock()
	if m != nil && n.Status == "deferred" {
		c.refused(m)
	}
}

func (c *clients) run(stop chan struct{}) {
	defer c.client.Close()
	gap := func() time.Duration {
		return time.Duration((0.25 + 1.5*c.source.Float64()) * dispatchers / rate * float64(time.Second))
	}
	next := time.NewTimer(gap())
	for n := 1; ; n++ {
		m := &message{}
		select {
		case <-stop:
			return
		case m = <-c.again:
		case <-next.C:
			next.Reset(gap())
			m.Dest, m.Body = 1, []byte("signed")
			if m.Class, m.Expires = "release-upload", 28*time.Second; c.source.Float64() < 0.5 {
				m.Class, m.Expires, m.Key = "sync-request", 24*time.Second, fmt.Sprintf("key%04x%012x", c.k, n)
			}
			m.until = time.Now().Add(m.Expires)
		}
		if m.Expires = time.Until(m.until); m.Expires < 10*time.Millisecond {
			continue
		}
		m.ID = fmt.Sprintf("%04x%012x", c.k, n)
		c.mu.Lock()
		c.handedIn[m.ID] = m
		c.mu.Unlock()
		if status := c.client.Submit(m.Submission); status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			c.refused(m)
		}
	}
}

// fullest finds the span, or what of it lies behind the return, that brought most calls for what it may bring, among those
// with over two thirds of the calls from dispatchers that had been refused there. from is when the first span begins.
func (d *destination) fullest(opens, from time.Time, budget func(begin time.Duration) (time.Duration, float64)) (worst float64, line string) {
	begins := []time.Time{from}
	for _, a := range d.arrivals {
		if from.Before(opens) { // spans that end with a call
			begins = append(begins, a.at.Add(time.Microsecond-span))
		} else { // spans that begin with one
			begins = append(begins, a.at)
		}
	}
	for _, begin := range begins {
		if begin.After(opens.Add(watched - span)) {
			break
		}
		calls, had := 0, 0
		for _, a := range d.arrivals {
			if !a.at.Before(begin) && a.at.Before(begin.Add(span)) {
				calls++
				if d.told[a.dispatcher] != "" {
					had++
				}
			}
		}
		at, n := budget(begin.Sub(opens))
		if ratio := float64(calls) / allowed(n); ratio > worst && 3*had > 2*calls {
			worst = ratio
			line = fmt.Sprintf("%d calls in %v (%.3f s), %d of them from dispatchers that had been refused there; N = %.1f, at most %.1f",
				calls, span, at.Seconds(), had, n, allowed(n))
		}
	}
	return worst, line
}

func run(root, dir string, trouble bool) (broken bool, err error) {
	record, err := standin.NewRecord(dir)
	if err != nil {
		return false, err
	}
	record.Add("TROUBLE=%v", trouble)
	dest := &destination{random: rand.New(rand.NewPCG(7, 8)), told: map[string]string{}}
	e, err := standin.NewEndpoint("s-1", 1, standin.BatchKind, func(c *standin.Call) bool {
		dispatcher := c.Messages[0].ID[:4]
		status, wait, work := dest.take(dispatcher, c.Last)
		header := http.Header{}
		if wait > 0 {
			header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
		}
		time.Sleep(work)
		record.AddAt(c.Last, "s-1 got a call of %s with %d messages (%s), answered %d, wait %.3f s", dispatcher, len(c.Messages), c.IDs(), status, wait.Seconds())
		return c.Reply(status, header, nil)
	})
	if err != nil {
		return false, err
	}
	defer e.Close()

	var agents []*standin.Agent
	var list []*standin.Dispatcher
	defer func() {
		for _, d := range list {
			d.Remove()
		}
		for _, a := range agents {
			a.Close()
		}
	}()
	var crowd []*clients
	for k := range dispatchers {
		agent, err := standin.NewAgent(record)
		if err != nil {
			return false, err
		}
		agents = append(agents, agent)
		agent.Set(e.Member("active", limit))
		c := &clients{k: k, source: rand.New(rand.NewPCG(9, uint64(k))), handedIn: map[string]*message{}, again: make(chan *message, 10_000)}
		agent.OnNotice = c.notice
		crowd = append(crowd, c)
		settings := standin.Settings()
		settings["instances"], settings["me"] = dispatchers, k
		settings["extra"].(map[string]any)["slots"] = 2
		settings["limits"].(map[string]any)["max-open"] = 8
		d, err := standin.NewDispatcher(root, record, standin.Config{
			Name: fmt.Sprint("n", k), Discovery: agent.Addr(), Settings: settings, MemoryMB: 192, Sockets: 1024, DiskMB: 3,
		})
		if err != nil {
			return false, err
		}
		list = append(list, d)
		c.client = &standin.Client{Addr: d.Config.Listen, Record: record}
		if err := d.Start(); err != nil {
			return false, err
		}
	}

	stop := make(chan struct{})
	var wg sync.WaitGroup
	for k := range list {
		wg.Go(func() { crowd[k].run(stop) })
	}
	time.Sleep(calm)
	dest.mu.Lock()
	dest.isShut, dest.opens = trouble, time.Now().Add(shut)
	opens := dest.opens
	dest.mu.Unlock()
	record.Add("the destination shuts: %v", trouble)
	time.Sleep(time.Until(opens))
	record.Add("the destination opens, cold: %v", trouble)
	time.Sleep(watched)
	close(stop)
	wg.Wait()

	dest.mu.Lock()
	defer dest.mu.Unlock()
	if dest.served < leastServed {
		return false, fmt.Errorf("only %d calls were answered 200", dest.served)
	}
	sort.Slice(dest.arrivals, func(i, j int) bool { return dest.arrivals[i].at.Before(dest.arrivals[j].at) })
	// The pages don't say whether N goes by what the destination can do over the whole span or at its end. The rule counts as
	// broken only if it is in both readings.
	spans, line := dest.fullest(opens, opens, func(begin time.Duration) (time.Duration, float64) { return begin, overSpan(begin) })
	ends, second := dest.fullest(opens, opens.Add(-span), func(begin time.Duration) (time.Duration, float64) { return begin + span, atOnce(begin + span) })
	broken = trouble && spans > 1 && ends > 1
	if broken {
		record.Add("BROKEN: %s; and %s", line, second)
	}
	record.Add("fullest span: %s; %d of %d dispatchers had been refused", line, len(dest.told), dispatchers)
	fmt.Printf("pushed over: %v; fullest span: %s\n", broken, line)
	return broken, nil
}
