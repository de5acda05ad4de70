// Package figures shows a dispatcher's ledger to operators: as JSON and in the OpenMetrics text format, each answer one
// consistent cut. Cuts and texts are kept for a moment, so that any number of readers costs no more than a few.
package figures

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"curlewmux/ledger"
)

// Source gives one consistent cut through the books, which nobody may change. A Board calls it, from any goroutine; it
// may block for the time given. Its error says that there is none now; asking again may help.
type Source interface {
	Ledger(wait time.Duration) (*ledger.Snapshot, error)
}

// ContentTypeJSON is the type of content of a snapshot.
const ContentTypeJSON = "application/json"

// Times.
const (
	// MaxAge is how long an answer is given again before a new cut is made: no reader sees older figures, and no number of
	// them costs more than a cut and a text each in such a span.
	MaxAge = 250 * time.Millisecond

	patience = 2 * time.Second // how long a cut is waited for: it must be in the store
	share    = 50              // making a text may take one part in so many of the time
	rate     = 64 << 20        // bytes of texts given out in a second: copying more would keep messages waiting
	burst    = MaxAge          // and of what time they may come at once
)

// Errors.
var (
	ErrUnavailable = errors.New("no figures")                      // to be shown now
	ErrBusy        = errors.New("figures are asked for too often") // in bytes a second; Keep later there is room
)

// Cache keeps the newest answers. Its methods are safe for concurrent use; they wait nowhere but in its source.
type Cache struct {
	source Source
	now    func() time.Time

	mu      sync.Mutex
	json    page
	metrics page
	series  Series
	paid    time.Time // when what was given out until now may have been given out, at its rate
}

// page is one text. It is never changed, only replaced.
type page struct {
	text []byte
	cut  *ledger.Snapshot // nil: there is none
	ask  time.Time        // when it was asked for
	till time.Time        // when it is too old
}

// New makes a board. now is a clock that never steps.
func New(source Source, now func() time.Time) *Cache {
	return &Cache{source: source, now: now}
}

// JSON is the ledger's snapshot as one line of JSON, at most Keep old, or longer where making a text takes long. Nobody
// may change it. The error wraps ErrUnavailable or ErrBusy.
func (b *Cache) JSON() ([]byte, error) {
	return b.page(&b.json, func(s *ledger.Snapshot) ([]byte, error) { return json.Marshal(s) })
}

// Metrics is the same in the OpenMetrics text format, of MaxSeries accounts at most. Figures are written to the last
// digit; a reader that makes floating-point numbers of them is exact up to 2^53.
func (b *Cache) Metrics() ([]byte, error) {
	return b.page(&b.metrics, func(s *ledger.Snapshot) ([]byte, error) {
		var text bytes.Buffer
		text.Grow(len(b.metrics.text) + len(b.metrics.text)/16)
		metrics(&text, s, b.series.Select(s))
		return text.Bytes(), nil
	})
}

func (b *Cache) page(p *page, write func(*ledger.Snapshot) ([]byte, error)) ([]byte, error) {
	b.mu.Lock()
	now := b.now()
	if b.paid.Sub(now) > burst {
		b.mu.Unlock()
		return nil, ErrBusy
	}
	text, fresh := p.text, p.cut != nil && now.Before(p.till)
	if fresh {
		b.pay(now, text)
	}
	b.mu.Unlock()
	if fresh {
		return text, nil
	}
	cut, err := b.source.Ledger(patience)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	began := b.now()
	// Others may have been here meanwhile; an older cut must not come behind a newer one.
	if p.cut != nil && (p.cut == cut || p.ask.After(now) || began.Before(p.till)) {
		b.pay(began, p.text)
		return p.text, nil
	}
	if text, err = write(cut); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	made := b.now()
	*p = page{text, cut, now, made.Add(max(MaxAge, share*made.Sub(began)))}
	b.pay(made, text)
	return text, nil
}

// pay notes that a text is given out; the lock is held.
func (b *Cache) pay(now time.Time, text []byte) {
	if b.paid.Before(now) {
		b.paid = now
	}
	b.paid = b.paid.Add(time.Duration(len(text)) * time.Second / rate)
}
