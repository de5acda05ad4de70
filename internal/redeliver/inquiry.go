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

// InquiryEndpoint is where a partner can be asked whether messages took effect. A POST to Path with
// {"ids":[...],"key":"..."} is answered with status 200 and {"effect":"yes"}, "no" or "unknown". Anything else is no
// answer.
type InquiryEndpoint struct {
	Addr    string // host:port
	Path    string
	Timeout time.Duration // from the dial to the last byte of the answer
}

const (
	maxAnswerBytes = 4 << 10
	maxRetryAfter  = 10 * time.Minute // limit on a Retry-After
)

// Inquirer asks partners whether messages took effect. Its methods may be called from any goroutine.
type Inquirer struct {
	host      host.Host
	endpoints map[int]InquiryEndpoint
	onAnswer  func(q *Question, a resend.Answer, why string) // called on any goroutine; must not block

	mu         sync.Mutex
	closed     bool
	active     map[*Question]*host.Abort
	retryAfter map[int]time.Time // by destination, the time before which no inquiry may be sent
	finished   host.Inbox        // once closed, gets a value for each inquiry that ends
}

// NewInquirer returns an Inquirer for these destinations.
func NewInquirer(h host.Host, where map[int]InquiryEndpoint, told func(*Question, resend.Answer, string)) *Inquirer {
	return &Inquirer{host: h, endpoints: where, onAnswer: told, active: map[*Question]*host.Abort{}, retryAfter: map[int]time.Time{}, finished: h.NewInbox()}
}

// Ask sends an inquiry on a goroutine of its own.
func (i *Inquirer) Ask(q *Question) {
	abort := &host.Abort{}
	i.mu.Lock()
	if i.closed {
		i.mu.Unlock()
		return
	}
	i.active[q] = abort
	i.mu.Unlock()
	i.host.Go(func() {
		a, why := i.inquire(q, abort)
		i.onAnswer(q, a, why)
		i.mu.Lock()
		delete(i.active, q)
		closed := i.closed
		i.mu.Unlock()
		if closed {
			i.finished.Put(nil)
		}
	})
}

func (i *Inquirer) inquire(q *Question, abort *host.Abort) (resend.Answer, string) {
	endpoint, ok := i.endpoints[q.Destination]
	if !ok {
		return resend.Unanswered, "nobody can be asked"
	}
	now := i.host.Now()
	i.mu.Lock()
	wait := i.retryAfter[q.Destination]
	i.mu.Unlock()
	if now.Before(wait) {
		return resend.Unanswered, "the partner told to wait"
	}
	until := now.Add(endpoint.Timeout)
	nc, err := i.host.Dial(endpoint.Addr, endpoint.Timeout, abort)
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
	b := http1.AppendRequest(nil, http.MethodPost, endpoint.Addr, endpoint.Path)
	b = http1.AppendField(b, "Content-Type", "application/json")
	b = http1.AppendField(b, "Connection", "close")
	if err := c.Write(http1.AppendBody(b, body), until); err != nil {
		return resend.Unanswered, err.Error()
	}
	response, err := c.Read(http1.Limits{Deadline: until, MaxBody: maxAnswerBytes})
	if err != nil {
		return resend.Unanswered, err.Error()
	}
	if s, err := strconv.ParseFloat(response.Get("Retry-After"), 64); err == nil && s > 0 {
		i.mu.Lock()
		i.retryAfter[q.Destination] = i.host.Now().Add(min(time.Duration(min(s, 1e6)*float64(time.Second)), maxRetryAfter))
		i.mu.Unlock()
	}
	return readAnswer(response.Status, response.Body)
}

// readAnswer reads a response. Only an explicit "yes", "no" or "unknown" counts as an answer.
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

// Close aborts the active inquiries and waits for them to end.
func (i *Inquirer) Close() {
	i.mu.Lock()
	i.closed = true
	list := slices.SortedFunc(maps.Keys(i.active), func(a, b *Question) int { return cmp.Compare(a.Number, b.Number) })
	aborts := make([]*host.Abort, len(list))
	for n, q := range list {
		aborts[n] = i.active[q]
	}
	i.mu.Unlock()
	for _, a := range aborts {
		a.Do()
	}
	for {
		i.mu.Lock()
		left := len(i.active)
		i.mu.Unlock()
		if left == 0 {
			return
		}
		i.finished.Take(nil, time.Time{})
	}
}
