package partner

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Request is a call as a script sees it, once its last byte has come.
type Request struct {
	Endpoint string
	Batch    bool
	Messages []Message
	Expires  time.Duration // how long the caller says that it will wait; 0 if it does not say
	At       time.Time     // when the last byte came
}

// Message is one message of a call.
type Message struct {
	ID, Key string
	Body    []byte
}

// Script says what becomes of a call. It is called from many goroutines at once and must not block: what takes time
// stands in the Reply.
type Script func(r *Request) Reply

// Reply is what becomes of a call. The zero value answers 200 without having run it; the scripts below set what goes
// together.
type Reply struct {
	Delay  time.Duration // before anything of the answer is written
	Status int           // of the answer; 0 is 200
	Wait   time.Duration // told by Retry-After; 0 tells none
	Header http.Header   // further fields
	Ran    bool          // the messages were carried out

	// States says for each message of a batch what becomes of it; an answer of 200 tells that. Nil says "delivered" for
	// all where Status is 200. It decides in place of Ran for each message: "delivered" ran, "failed" ran, others did
	// not.
	States func(id string) string

	Instead Instead       // what comes in place of the answer
	Raw     []byte        // written as they stand, for Spoil
	Gap     time.Duration // between the bytes, for Trickle

	// Handler, if set, answers in place of all else. The request's body can be read once more. The record says that the
	// call was answered, with no status, unless its connection has ended by then.
	Handler http.HandlerFunc
}

// Instead is what a caller gets in place of an answer.
type Instead uint8

// What a caller gets.
const (
	Answer  Instead = iota // the answer
	Hang                   // nothing, until it goes away
	Reset                  // a reset of the connection
	Close                  // the end of the connection
	Spoil                  // Raw, then the end of the connection
	Trickle                // the answer, byte by byte, then the end of the connection
)

// States of a message in the answer to a batch.
const (
	Delivered = "delivered"
	Failed    = "failed"  // it may have run
	Refused   = "refused" // it never ran
	Over      = "over"    // nothing more is owed
	Spent     = "spent"   // it has had all its attempts
)

func (r *Reply) status() int {
	if r.Status == 0 {
		return http.StatusOK
	}
	return r.Status
}

// state is what becomes of one message.
func (r *Reply) state(id string) (state string, ran bool) {
	if r.States != nil {
		s := r.States(id)
		return s, s == Delivered || s == Failed
	}
	switch r.status() {
	case http.StatusOK:
		return Delivered, r.Ran
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return Refused, r.Ran
	case http.StatusGone:
		return Over, r.Ran
	case http.StatusGatewayTimeout:
		return Spent, r.Ran
	}
	return Failed, r.Ran
}

// Same gives every call the same reply.
func Same(r Reply) Script { return func(*Request) Reply { return r } }

// OK carries each call out and answers 200 after a delay.
func OK(delay time.Duration) Script { return Same(Reply{Delay: delay, Ran: true}) }

// Refuse answers 429 or 503, with Retry-After if wait is over 0, and carries nothing out.
func Refuse(status int, wait time.Duration) Script { return Same(Reply{Status: status, Wait: wait}) }

// Fail answers 500. ran says whether the call was carried out all the same.
func Fail(ran bool) Script { return Same(Reply{Status: http.StatusInternalServerError, Ran: ran}) }

// Hangs takes calls and says nothing. ran says whether they are carried out.
func Hangs(ran bool) Script { return Same(Reply{Instead: Hang, Ran: ran}) }

// Resets resets the connection when the whole call has come. ran says whether it was carried out.
func Resets(ran bool) Script { return Same(Reply{Instead: Reset, Ran: ran}) }

// Slow carries calls out and answers 200, byte by byte with a gap between them.
func Slow(gap time.Duration) Script { return Same(Reply{Instead: Trickle, Gap: gap, Ran: true}) }

// Spoilt carries calls out and writes these bytes in place of an answer. status is what their first line says, if it
// can be read.
func Spoilt(raw []byte, status int) Script {
	return Same(Reply{Instead: Spoil, Raw: raw, Status: status, Ran: true})
}

// Handled leaves the answer to a handler. The calls count as carried out.
func Handled(h http.HandlerFunc) Script { return Same(Reply{Handler: h, Ran: true}) }

// InTurn gives the first call to the first script, the next to the next, and all further ones to the last.
func InTurn(list ...Script) Script {
	var n atomic.Int64
	return func(r *Request) Reply { return list[min(n.Add(1), int64(len(list)))-1](r) }
}

// Limit is what a partner takes from all its callers together: a count of calls in each span of time. Endpoints share
// it by having the same one. While it is cold it takes less, and it can be pushed over.
type Limit struct {
	set LimitSettings

	mu       sync.Mutex
	begun    time.Time // when the span at hand began
	used     int       // calls taken in it
	cold     time.Time // when the partner came back; zero: it is warm
	arrivals []time.Time
	fallen   time.Time // when it was pushed over; zero: it was not
}

// LimitSettings are a limit's figures.
type LimitSettings struct {
	Calls int           // taken in each span
	Span  time.Duration // counted from the first call; over 0
	Tell  bool          // refusals tell the wait to the end of the span

	// After Cold it takes this share of its calls, growing evenly to all of them in WarmUp. More than TipMultiple times
	// what it can take then, over a time of OverloadFor, pushes it over: it refuses all from then on. TipMultiple 0 is a
	// partner that can't be pushed over.
	ColdFrom    float64
	WarmUp      time.Duration
	TipMultiple float64
	OverloadFor time.Duration
}

// NewLimit makes a limit that is warm.
func NewLimit(s LimitSettings) *Limit { return &Limit{set: s} }

// Cold begins the warm-up: the partner is back after an outage.
func (l *Limit) Cold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold, l.begun, l.arrivals = time.Now(), time.Time{}, nil
}

// PushedOver tells since when the partner is down for having got too much while cold.
func (l *Limit) PushedOver() (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fallen, !l.fallen.IsZero()
}

// Then gives calls within the limit to a script and refuses the others: 429 with a wait where that is told, else 503.
func (l *Limit) Then(next Script) Script {
	return func(r *Request) Reply {
		ok, wait := l.take(r.At)
		switch {
		case ok:
			return next(r)
		case wait > 0:
			return Reply{Status: http.StatusTooManyRequests, Wait: wait}
		}
		return Reply{Status: http.StatusServiceUnavailable}
	}
}

// take counts a call and tells whether it is within the limit, and if not, the wait that is told.
func (l *Limit) take(now time.Time) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.fallen.IsZero() || l.pushed(now) {
		return false, 0
	}
	if l.begun.IsZero() {
		l.begun = now
	}
	if past := now.Sub(l.begun); past >= l.set.Span {
		l.begun, l.used = l.begun.Add(past/l.set.Span*l.set.Span), 0
	}
	if float64(l.used) < float64(l.set.Calls)*l.share(now) {
		l.used++
		return true, 0
	}
	if !l.set.Tell {
		return false, 0
	}
	return false, max(l.begun.Add(l.set.Span).Sub(now), time.Millisecond)
}

// share is how much of its calls the partner takes at a moment; the lock is held.
func (l *Limit) share(now time.Time) float64 {
	since := now.Sub(l.cold)
	if l.cold.IsZero() || since >= l.set.WarmUp {
		return 1
	}
	return l.set.ColdFrom + (1-l.set.ColdFrom)*since.Seconds()/l.set.WarmUp.Seconds()
}

// pushed counts an arrival and tells whether it is the one that pushes a cold partner over; the lock is held.
func (l *Limit) pushed(now time.Time) bool {
	if l.cold.IsZero() || l.set.TipMultiple <= 0 || now.Sub(l.cold) >= l.set.WarmUp+l.set.OverloadFor {
		l.arrivals = nil
		return false
	}
	for len(l.arrivals) > 0 && now.Sub(l.arrivals[0]) > l.set.OverloadFor {
		l.arrivals = l.arrivals[1:]
	}
	l.arrivals = append(l.arrivals, now)
	if now.Sub(l.cold) < l.set.OverloadFor {
		return false
	}
	// What it could take over that time, at the share that it had in the middle of it.
	can := float64(l.set.Calls) * l.share(now.Add(-l.set.OverloadFor/2)) * l.set.OverloadFor.Seconds() / l.set.Span.Seconds()
	if float64(len(l.arrivals)) > l.set.TipMultiple*can {
		l.fallen, l.arrivals = now, nil
		return true
	}
	return false
}
