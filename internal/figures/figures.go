// Package figures shows a dispatcher's ledger to operators, as JSON and in the OpenMetrics text format. Each page is made
// from one consistent snapshot. Pages are cached for a moment, so that many readers cost no more than a few.
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

// Source provides snapshots of a ledger, which must not be modified. Ledger is called from any goroutine and may block for
// up to wait. An error means that there is no snapshot now. A later call may succeed.
type Source interface {
	Ledger(wait time.Duration) (*ledger.Snapshot, error)
}

// ContentTypeJSON is the media type of a snapshot.
const ContentTypeJSON = "application/json"

// Limits of a Cache.
const (
	// MaxAge is how long a page is served before a new one is made from a new snapshot. It bounds both the age of what
	// readers see and the number of snapshots and pages that are made.
	MaxAge = 250 * time.Millisecond

	snapshotTimeout = 2 * time.Second // limit of the wait for a snapshot, whose postings must be stored first
	idlePerWork     = 50              // making pages takes at most 1/idlePerWork of the time
	bytesPerSecond  = 64 << 20        // bytes served per second; copying more would delay messages
	maxBurst        = MaxAge          // span whose share of bytesPerSecond may be used at once
)

// Errors.
var (
	ErrUnavailable = errors.New("no figures")                      // there is no snapshot or page now
	ErrBusy        = errors.New("figures are asked for too often") // the limit of bytes per second is used up; retry after MaxAge
)

// Cache makes pages and caches the newest ones. Its methods are safe for concurrent use. They block only in the source.
type Cache struct {
	// Counters returns the counters that Metrics shows beside the ledger; may be nil. It must be set before the first call.
	Counters func() []Counter

	source Source
	now    func() time.Time

	mu        sync.Mutex
	json      page
	metrics   page
	series    Series
	paidUntil time.Time // when the bytes served so far will have used up the rate limit; ahead of now during a burst
}

// page is a cached page. Its text is never modified, only replaced.
type page struct {
	text        []byte
	snapshot    *ledger.Snapshot // from which the text was made; nil if there is no page yet
	requestedAt time.Time        // when the snapshot was requested
	expiresAt   time.Time        // when the page expires
}

// New returns a cache of pages about source. now is a monotonic clock.
func New(source Source, now func() time.Time) *Cache {
	return &Cache{source: source, now: now}
}

// JSON returns a snapshot of the ledger as one line of JSON, which must not be modified. It is at most MaxAge old, or older
// if making a page takes long. The error wraps ErrUnavailable or ErrBusy.
func (b *Cache) JSON() ([]byte, error) {
	return b.page(&b.json, func(s *ledger.Snapshot) ([]byte, error) { return json.Marshal(s) })
}

// Metrics is like JSON in the OpenMetrics text format, with series for at most MaxSeries accounts and the rest. Counts are
// written with all digits. A reader that converts them to floating-point numbers is exact up to 2^53.
func (b *Cache) Metrics() ([]byte, error) {
	return b.page(&b.metrics, func(s *ledger.Snapshot) ([]byte, error) {
		var text bytes.Buffer
		text.Grow(len(b.metrics.text) + len(b.metrics.text)/16)
		var counters []Counter
		if b.Counters != nil {
			counters = b.Counters()
		}
		writeMetrics(&text, s, b.series.Select(s), counters)
		return text.Bytes(), nil
	})
}

func (b *Cache) page(cached *page, render func(*ledger.Snapshot) ([]byte, error)) ([]byte, error) {
	b.mu.Lock()
	now := b.now()
	if b.paidUntil.Sub(now) > maxBurst {
		b.mu.Unlock()
		return nil, ErrBusy
	}
	text, valid := cached.text, cached.snapshot != nil && now.Before(cached.expiresAt)
	if valid {
		b.charge(now, text)
	}
	b.mu.Unlock()
	if valid {
		return text, nil
	}
	snapshot, err := b.source.Ledger(snapshotTimeout)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	started := b.now()
	// Another reader may have replaced the page meanwhile. An older snapshot must not follow a newer one.
	if cached.snapshot != nil && (cached.snapshot == snapshot || cached.requestedAt.After(now) || started.Before(cached.expiresAt)) {
		b.charge(started, cached.text)
		return cached.text, nil
	}
	if text, err = render(snapshot); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	finished := b.now()
	*cached = page{text, snapshot, now, finished.Add(max(MaxAge, idlePerWork*finished.Sub(started)))}
	b.charge(finished, text)
	return text, nil
}

// charge charges a served text to the rate limit. The caller holds the lock.
func (b *Cache) charge(now time.Time, text []byte) {
	if b.paidUntil.Before(now) {
		b.paidUntil = now
	}
	b.paidUntil = b.paidUntil.Add(time.Duration(len(text)) * time.Second / bytesPerSecond)
}
