package figures

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"curlewmux/ledger"
)

// ledgerSource is a source whose ledger a test fills. A lock takes the place of the engine's goroutine.
type ledgerSource struct {
	mu        sync.Mutex
	ledger    *ledger.Ledger
	snapshots int
	err       error
}

func newLedgerSource(t testing.TB, most int) *ledgerSource {
	t.Helper()
	l, err := ledger.New(ledger.Settings{Instance: "n0", MaxAccounts: most}, ledger.NewEpoch(7, 1, ledger.ReasonNoLedger, ""))
	if err != nil {
		t.Fatal(err)
	}
	return &ledgerSource{ledger: l}
}

func (b *ledgerSource) Ledger(time.Duration) (*ledger.Snapshot, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.snapshots++
	if b.err != nil {
		return nil, b.err
	}
	return b.ledger.Snapshot(int64(b.snapshots)), nil
}

func (b *ledgerSource) post(k ledger.Key, list ...ledger.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range list {
		b.ledger.Post(b.ledger.Account(k), e)
	}
}

// clock is a clock that a test sets.
type clock struct{ ns atomic.Int64 }

func (c *clock) now() time.Time          { return time.Unix(0, c.ns.Load()) }
func (c *clock) advance(d time.Duration) { c.ns.Add(int64(d)) }

// However many scrapes there are, each page takes one snapshot per MaxAge.
func TestFrequentScrapesShareSnapshots(t *testing.T) {
	t.Parallel()
	b, c := newLedgerSource(t, 10), &clock{}
	c.advance(time.Hour)
	b.post(ledger.Key{Class: "free"}, ledger.Accepted)
	board := New(b, c.now)
	for range 3000 {
		for _, page := range []func() ([]byte, error){board.JSON, board.Metrics} {
			if text, err := page(); err != nil || len(text) == 0 {
				t.Fatal(err)
			}
		}
		b.post(ledger.Key{Class: "free"}, ledger.Accepted)
		c.advance(time.Millisecond)
	}
	if most := 2 * int(3*time.Second/MaxAge); b.snapshots > most || b.snapshots < most/2 {
		t.Errorf("%d snapshots in 3 s, want %d at most", b.snapshots, most)
	}
}

// A page that is MaxAge old must be replaced by one from a new snapshot.
func TestPagesAreNoOlderThanMaxAge(t *testing.T) {
	t.Parallel()
	b, c := newLedgerSource(t, 10), &clock{}
	board := New(b, c.now)
	for i := range 20 {
		b.post(ledger.Key{Class: "free"}, ledger.Accepted)
		c.advance(MaxAge)
		text, err := board.JSON()
		if err != nil {
			t.Fatal(err)
		}
		if s, err := ledger.ReadSnapshot(bytes.NewReader(text)); err != nil || s.Total.Accepted != ledger.Count(i+1) {
			t.Fatalf("%v %v, %d taken", s.Total, err, i+1)
		}
	}
}

// Scrapes during postings must show balanced snapshots, and counts must never go back.
func TestEachScrapeIsOneSnapshot(t *testing.T) {
	t.Parallel()
	b, c := newLedgerSource(t, 10), &clock{}
	board := New(b, c.now)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 20_000 {
			k := ledger.Key{Class: "free", Destination: i % 15}
			b.post(k, ledger.Accepted, ledger.AttemptSent, ledger.AttemptAnswered, ledger.Delivered)
			c.advance(10 * time.Microsecond)
		}
	}()
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			var last *ledger.Snapshot
			for ending := false; !ending; {
				select {
				case <-done:
					ending = true
				default:
				}
				text, err := board.JSON()
				if errors.Is(err, ErrBusy) {
					continue
				}
				s, err := ledger.ReadSnapshot(bytes.NewReader(text))
				if err != nil {
					t.Error(err)
					return
				}
				if bad := s.Check(); len(bad) > 0 {
					t.Errorf("%+v", bad)
					return
				}
				if last != nil {
					if d, err := ledger.Diff(last, s); err != nil || len(d.Decreases) > 0 && s.Wall >= last.Wall {
						t.Errorf("%v %+v", err, d)
						return
					}
				}
				last = s
			}
		})
	}
	readers.Wait()
}

func TestCountsBeyondFloatPrecisionAreExact(t *testing.T) {
	t.Parallel()
	s := &ledger.Snapshot{Format: ledger.Format, Epoch: ledger.NewEpoch(1, math.MaxInt64, ledger.ReasonNoLedger, "")}
	f := ledger.Counts{Accepted: 1<<53 + 1, Open: math.MaxUint64}
	s.Accounts, s.Total = []ledger.AccountCounts{{Key: ledger.Key{Class: "free"}, Counts: f}}, f
	board := New(fixedSource{s}, time.Now)
	text, err := board.JSON()
	if err != nil {
		t.Fatal(err)
	}
	if back, err := ledger.ReadSnapshot(bytes.NewReader(text)); err != nil || back.Total != f || back.Accounts[0].Counts != f || back.Epoch != s.Epoch {
		t.Errorf("%+v %v", back, err)
	}
	var loose struct{ Total map[string]any } // as a reader that converts all numbers to float64
	if err := json.Unmarshal(text, &loose); err != nil || loose.Total["taken"] != "9007199254740993" {
		t.Errorf("%v %v", loose.Total["taken"], err)
	}
	if text, err = board.Metrics(); err != nil || !bytes.Contains(text, []byte(" 9007199254740993\n")) || !bytes.Contains(text, []byte(" 18446744073709551615\n")) {
		t.Errorf("%v\n%s", err, text)
	}
}

type fixedSource struct{ *ledger.Snapshot }

func (g fixedSource) Ledger(time.Duration) (*ledger.Snapshot, error) { return g.Snapshot, nil }

// The number of series is bounded, accounts keep their series over scrapes, and the sum over all series is the total.
func TestSeriesAreBoundedAndAddUp(t *testing.T) {
	t.Parallel()
	b := newLedgerSource(t, 5000)
	var series Series
	first := map[[3]string]bool{}
	for round := range 3 {
		for i := range 1000 {
			b.post(ledger.Key{Class: fmt.Sprintf("%03d-\xff%d", 999-i, round), Tenant: "\xfe"}, ledger.Accepted)
		}
		s := b.ledger.Snapshot(0)
		var sum ledger.Counts
		list := series.Select(s)
		for _, one := range list {
			sum.Add(&one.Counts)
			if round == 0 {
				first[one.Labels] = true
			} else if !first[one.Labels] {
				t.Errorf("new series %q", one.Labels)
			}
			if strings.ContainsRune(one.Labels[0], '\xff') && one.Labels[0] != ValidLabel(one.Labels[0]) {
				t.Errorf("%q", one.Labels)
			}
		}
		if len(list) > MaxSeries+1 || sum != s.Total {
			t.Errorf("%d series, sum %+v, total of the ledger %+v", len(list), sum, s.Total)
		}
	}
}

// The bytes served per second are bounded. After a pause of MaxAge pages are served again.
func TestBytesServedPerSecondAreBounded(t *testing.T) {
	t.Parallel()
	b, c := newLedgerSource(t, 1000), &clock{}
	for i := range 1000 {
		b.post(ledger.Key{Class: fmt.Sprint(i)}, ledger.Accepted)
	}
	board := New(b, c.now)
	given, turned := 0, 0
	for range 10_000 {
		text, err := board.JSON()
		if errors.Is(err, ErrBusy) {
			turned++
		} else if err != nil {
			t.Fatal(err)
		}
		given += len(text)
		c.advance(100 * time.Microsecond)
	}
	if most := bytesPerSecond + bytesPerSecond/4 + len(board.json.text); given > most || turned == 0 || given < bytesPerSecond/2 {
		t.Errorf("%d bytes served in a second, want %d at most; %d requests were rejected", given, most, turned)
	}
	c.advance(MaxAge)
	if _, err := board.JSON(); err != nil {
		t.Error(err)
	}
}

func TestNoPageWithoutSnapshot(t *testing.T) {
	t.Parallel()
	b, c := newLedgerSource(t, 10), &clock{}
	b.err = errors.New("the store does not answer")
	board := New(b, c.now)
	if text, err := board.Metrics(); !errors.Is(err, ErrUnavailable) || !errors.Is(err, b.err) || text != nil {
		t.Errorf("%q %v", text, err)
	}
	b.err = nil
	if _, err := board.Metrics(); err != nil {
		t.Error(err)
	}
}

// delayedSource is a source that delays the snapshot of its first caller, so that it is old when it is returned.
type delayedSource struct {
	*ledgerSource
	release chan struct{} // closed when the first caller may get its snapshot
	taken   chan struct{} // closed when the snapshot of the first caller was taken
	delayed atomic.Bool
}

func (s *delayedSource) Ledger(wait time.Duration) (*ledger.Snapshot, error) {
	cut, err := s.ledgerSource.Ledger(wait)
	if !s.delayed.Swap(true) {
		close(s.taken)
		<-s.release
	}
	return cut, err
}

// A snapshot that was delayed must not replace a newer one.
func TestDelayedSnapshotDoesNotReplaceNewerPage(t *testing.T) {
	t.Parallel()
	b, c := &delayedSource{ledgerSource: newLedgerSource(t, 10), release: make(chan struct{}), taken: make(chan struct{})}, &clock{}
	board := New(b, c.now)
	late := make(chan []byte)
	go func() {
		text, err := board.JSON()
		if err != nil {
			t.Error(err)
		}
		late <- text
	}()
	<-b.taken
	b.post(ledger.Key{Class: "free"}, ledger.Accepted)
	c.advance(time.Second)
	newer, err := board.JSON()
	if err != nil {
		t.Fatal(err)
	}
	c.advance(2 * MaxAge) // even if the newer page has expired
	close(b.release)
	if text := <-late; !bytes.Equal(text, newer) {
		t.Errorf("%s after %s", text, newer)
	}
}

// crowdSource is a source that returns no snapshot before all expected callers have asked.
type crowdSource struct {
	*ledgerSource
	callers sync.WaitGroup
}

func (c *crowdSource) Ledger(wait time.Duration) (*ledger.Snapshot, error) {
	c.callers.Done()
	c.callers.Wait()
	return c.ledgerSource.Ledger(wait)
}

// Readers that ask at the same time share one page, even if they got different snapshots.
func TestConcurrentReadersShareOnePage(t *testing.T) {
	t.Parallel()
	const n = 20
	b, c := &crowdSource{ledgerSource: newLedgerSource(t, 10)}, &clock{}
	b.callers.Add(n)
	board := New(b, c.now)
	texts := make(chan *byte, n)
	for range n {
		go func() {
			text, err := board.Metrics()
			if err != nil {
				t.Error(err)
				texts <- nil
				return
			}
			texts <- &text[0]
		}()
	}
	first := <-texts
	for range n - 1 {
		if <-texts != first {
			t.Error("a second page was made")
		}
	}
}

// Making pages must take at most a fiftieth of the time, so a page that takes longer is made less often.
func TestSlowPagesAreMadeLessOften(t *testing.T) {
	t.Parallel()
	b, c := newLedgerSource(t, 10), &clock{}
	board := New(b, func() time.Time { // each reading of the clock takes 20 ms
		c.advance(20 * time.Millisecond)
		return c.now()
	})
	for c.now().Before(time.Unix(10, 0)) {
		if _, err := board.JSON(); err != nil {
			t.Fatal(err)
		}
	}
	if b.snapshots > 11 {
		t.Errorf("%d pages in 10 s, at 20 ms each", b.snapshots)
	}
}
