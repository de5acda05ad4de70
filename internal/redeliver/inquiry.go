package redeliver

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"curlewmux/internal/host"
	"curlewmux/internal/http1"
	"curlewmux/resend"
)

// InquiryEndpoint is where a partner can be asked whether messages took effect: POST Path with {"ids":[...],"key":"..."} is
// answered 200 with {"effect":"yes"}, "no" or "unknown". All else is no answer.
type InquiryEndpoint struct {
	Addr    string // host:port
	Path    string
	Timeout time.Duration // from the dial to the last byte of the answer
}

const (
	answerMost = 4 << 10
	waitMost   = 10 * time.Minute // a told wait counts for no longer
)

// Inquirer asks partners. Its methods may be called from any goroutine.
type Inquirer struct {
	host  host.Host
	where map[int]InquiryEndpoint
	told  func(q *Question, a resend.Answer, why string) // from any goroutine; it must not block

	mu     sync.Mutex
	closed bool
	out    map[*Question]*host.Abort
	waits  map[int]time.Time // destinations that told to wait
	idle   host.Inbox        // gets a value for each inquiry that ended, once closed
}

// NewInquirer makes an inquirer for these destinations.
func NewInquirer(h host.Host, where map[int]InquiryEndpoint, told func(*Question, resend.Answer, string)) *Inquirer {
	return &Inquirer{host: h, where: where, told: told, out: map[*Question]*host.Abort{}, waits: map[int]time.Time{}, idle: h.NewInbox()}
}

// Inquire asks, on a goroutine of its own.
func (i *Inquirer) Ask(q *Question) {
	abort := &host.Abort{}
	i.mu.Lock()
	if i.closed {
		i.mu.Unlock()
		return
	}
	i.out[q] = abort
	i.mu.Unlock()
	i.host.Go(func() {
		a, why := i.ask(q, abort)
		i.told(q, a, why)
		i.mu.Lock()
		delete(i.out, q)
		closed := i.closed
		i.mu.Unlock()
		if closed {
			i.idle.Put(nil)
		}
	})
}

func (i *Inquirer) ask(q *Question, abort *host.Abort) (resend.Answer, string) {
	at, ok := i.where[q.Destination]
	if !ok {
		return resend.Unanswered, "nobody can be asked"
	}
	now := i.host.Now()
	i.mu.Lock()
	wait := i.waits[q.Destination]
	i.mu.Unlock()
	if now.Before(wait) {
		return resend.Unanswered, "the partner told to wait"
	}
	until := now.Add(at.Timeout)
	nc, err := i.host.Dial(at.Addr, at.Timeout, abort)
	if err != nil {
		return resend.Unanswered, err.Error()
	}
	c := http1.NewConn(i.host, nc)
	abort.On(func() { c.Close() })
	defer c.Close()
	defer abort.On(nil)
	body, err := json.Marshal(struct {
		IDs []string `json:"ids"`
		Key string   `json:"key,omitempty"`
	}{q.IDs, q.Key})
	if err != nil {
		return resend.Unanswered, err.Error()
	}
	b := http1.AppendRequest(nil, http.MethodPost, at.Addr, at.Path)
	b = http1.AppendField(b, "Content-Type", "application/json")
	b = http1.AppendField(b, "Connection", "close")
	if err := c.Write(http1.AppendBody(b, body), until); err != nil {
		return resend.Unanswered, err.Error()
	}
	ans, err := c.Read(http1.Limits{Deadline: until, MaxBody: answerMost})
	if err != nil {
		return resend.Unanswered, err.Error()
	}
	if s, err := strconv.ParseFloat(ans.Get("Retry-After"), 64); err == nil && s > 0 {
		i.mu.Lock()
		i.waits[q.Destination] = i.host.Now().Add(min(time.Duration(min(s, 1e6)*float64(time.Second)), waitMost))
		i.mu.Unlock()
	}
	return readAnswer(ans.Status, ans.Body)
}

// readAnswer reads what came back. Only what is said in so many words counts.
func readAnswer(status int, body []byte) (resend.Answer, string) {
	if status != http.StatusOK {
		return resend.Unanswered, fmt.Sprintf("status %d", status)
	}
	var got struct {
		Effect *string `json:"effect"`
		Why    string  `json:"why"`
	}
	if err := json.Unmarshal(body, &got); err != nil || got.Effect == nil {
		return resend.Unanswered, "the answer can't be read"
	}
	if len(got.Why) > 200 {
		got.Why = got.Why[:200]
	}
	switch *got.Effect {
	case "yes":
		return resend.Yes, got.Why
	case "no":
		return resend.No, got.Why
	case "unknown":
		return resend.Unknown, got.Why
	}
	return resend.Unanswered, fmt.Sprintf("effect %.20q", *got.Effect)
}

// Close ends what is out and waits for it.
func (i *Inquirer) Close() {
	i.mu.Lock()
	i.closed = true
	list := slices.SortedFunc(maps.Keys(i.out), func(a, b *Question) int { return cmp.Compare(a.Number, b.Number) })
	aborts := make([]*host.Abort, len(list))
	for n, q := range list {
		aborts[n] = i.out[q]
	}
	i.mu.Unlock()
	for _, a := range aborts {
		a.Do()
	}
	for {
		i.mu.Lock()
		left := len(i.out)
		i.mu.Unlock()
		if left == 0 {
			return
		}
		i.idle.Take(nil, time.Time{})
	}
}
