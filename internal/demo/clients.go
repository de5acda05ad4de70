package demo

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// class is one of the three that differ in what a repeat does.
type class struct{ name, effect, about string }

func classes() []class {
	return []class{
		{"status", "free", "safe to repeat"},
		{"sync", "guarded", "keyed"},
		{"upload", "single_shot", "unsafe to repeat"},
	}
}

// message is one that was handed in, and what its client was answered.
type message struct {
	id, key  string
	class    int
	dest     int
	sent     time.Time
	answer   int       // status; 0 if none came
	answered time.Time // when it came, or the client no longer waited
	told     bool      // a refusal said when to come again
}

func (m *message) body() string { return "body of " + m.id }
func (m *message) taken() bool  { return m.answer == http.StatusAccepted || m.answer == http.StatusOK }
func (m *message) refused() bool {
	return m.answer == http.StatusTooManyRequests || m.answer == http.StatusServiceUnavailable
}
func (m *message) over() time.Time { return m.sent.Add(expires) }

// answerLimit is how long a client waits for its answer: far longer than those in service, so that a machine with other
// work does not spoil the demo.
const answerLimit = 5 * time.Second

// handIn hands in messages of all classes for all destinations, evenly over the time of traffic, each by a client of its
// own, and returns when all are answered. Clients here do not come again.
func handIn(ctx context.Context, addr string, n int) []*message {
	client := &http.Client{Timeout: answerLimit, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	defer client.CloseIdleConnections()
	list := make([]*message, 0, n)
	var wg sync.WaitGroup
	begun := time.Now()
	for i := range n {
		if !until(ctx, begun.Add(traffic*time.Duration(i)/time.Duration(n))) {
			break
		}
		m := &message{id: fmt.Sprintf("m%04d", i), class: i % 3, dest: 1 + i/3%3, sent: time.Now()}
		if classes()[m.class].effect == "guarded" {
			m.key = "key-" + m.id
		}
		list = append(list, m)
		wg.Go(func() { m.handIn(ctx, client, addr) })
	}
	wg.Wait()
	return list
}

// until waits for a moment and tells whether ctx let it come.
func until(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (m *message) handIn(ctx context.Context, client *http.Client, addr string) {
	name := classes()[m.class].name
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/"+name, strings.NewReader(m.body()))
	if err != nil {
		return
	}
	r.Header.Set("X-Trace-Id", m.id)
	r.Header.Set("X-Qos", name)
	r.Header.Set("X-Customer", tenant)
	r.Header.Set("X-Expires-In-Ms", strconv.FormatInt(expires.Milliseconds(), 10))
	r.Header.Set("Envelope", "dest="+strconv.Itoa(m.dest))
	if m.key != "" {
		r.Header.Set("Idempotency-Key", m.key)
	}
	res, err := client.Do(r)
	m.answered = time.Now()
	if err != nil {
		return
	}
	res.Body.Close()
	m.answer, m.told = res.StatusCode, res.Header.Get("Retry-After") != ""
}
