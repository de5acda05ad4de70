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

// books are a ledger that a test fills by hand, behind a lock in the engine's place.
type books struct {
	mu   sync.Mutex
	l    *ledger.Ledger
	cuts int
	none error
}

func newBooks(t testing.TB, most int) *books {
	t.Helper()
	l, err := ledger.New(ledger.Settings{Instance: "n0", MaxAccounts: most}, ledger.NewEpoch(7, 1, ledger.ReasonNoLedger, ""))
	if err != nil {
		t.Fatal(err)
	}
	return &books{l: l}
}

func (b *books) Ledger(time.Duration) (*ledger.Snapshot, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cuts++
	if b.none != nil {
		return nil, b.none
	}
	return b.l.Snapshot(int64(b.cuts)), nil
}

func (b *books) post(k ledger.Key, list ...ledger.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range list {
		b.l.Post(b.l.Account(k), e)
	}
}

// clock is a time that a test sets.
type clock struct{ ns atomic.Int64 }

func (c *clock) now() time.Time          { return time.Unix(0, c.ns.Load()) }
func (c *clock) advance(d time.Duration) { c.ns.Add(int64(d)) }

// Any number of scrapes within Keep costs one cut, and each is given the same text.
func TestAThousandScrapesASecondCostAFewCuts(t *testing.T) {
	t.Parallel()
	b, c := newBooks(t, 10), &clock{}
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
	if most := 2 * int(3*time.Second/MaxAge); b.cuts > most || b.cuts < most/2 {
		t.Errorf("%d cuts in 3 s, %d at most", b.cuts, most)
	}
}

// What is shown is never older than Keep: whoever asks later has a later cut.
func TestWhatIsShownIsNoOlderThanSaid(t *testing.T) {
	t.Parallel()
	b, c := newBooks(t, 10), &clock{}
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

// Scrapes at any moment, while messages are posted, show cuts that add up; figures never step back.
func TestEachScrapeIsOneCut(t *testing.T) {
	t.Parallel()
	b, c := newBooks(t, 10), &clock{}
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

func TestFiguresBeyondTheReachOfFloatsAreExact(t *testing.T) {
	t.Parallel()
	s := &ledger.Snapshot{Format: ledger.Format, Epoch: ledger.NewEpoch(1, math.MaxInt64, ledger.ReasonNoLedger, "")}
	f := ledger.Counts{Accepted: 1<<53 + 1, Open: math.MaxUint64}
	s.Accounts, s.Total = []ledger.AccountCounts{{Key: ledger.Key{Class: "free"}, Counts: f}}, f
	board := New(given{s}, time.Now)
	text, err := board.JSON()
	if err != nil {
		t.Fatal(err)
	}
	if back, err := ledger.ReadSnapshot(bytes.NewReader(text)); err != nil || back.Total != f || back.Accounts[0].Counts != f || back.Epoch != s.Epoch {
		t.Errorf("%+v %v", back, err)
	}
	var loose struct{ Total map[string]any } // as a reader would that holds all numbers as floats
	if err := json.Unmarshal(text, &loose); err != nil || loose.Total["taken"] != "9007199254740993" {
		t.Errorf("%v %v", loose.Total["taken"], err)
	}
	if text, err = board.Metrics(); err != nil || !bytes.Contains(text, []byte(" 9007199254740993\n")) || !bytes.Contains(text, []byte(" 18446744073709551615\n")) {
		t.Errorf("%v\n%s", err, text)
	}
}

type given struct{ *ledger.Snapshot }

func (g given) Ledger(time.Duration) (*ledger.Snapshot, error) { return g.Snapshot, nil }

// Series are bounded whatever is asked for, stay the same accounts' over scrapes, and their sums are the ledger's.
func TestSeriesAreBoundedAndAddUp(t *testing.T) {
	t.Parallel()
	b := newBooks(t, 5000)
	var series Series
	first := map[[3]string]bool{}
	for round := range 3 {
		for i := range 1000 {
			b.post(ledger.Key{Class: fmt.Sprintf("%03d-\xff%d", 999-i, round), Tenant: "\xfe"}, ledger.Accepted)
		}
		s := b.l.Snapshot(0)
		var sum ledger.Counts
		list := series.Select(s)
		for _, one := range list {
			sum.Add(&one.Counts)
			if round == 0 {
				first[one.Labels] = true
			} else if !first[one.Labels] {
				t.Errorf("series %q are new", one.Labels)
			}
			if strings.ContainsRune(one.Labels[0], '\xff') && one.Labels[0] != ValidLabel(one.Labels[0]) {
				t.Errorf("%q", one.Labels)
			}
		}
		if len(list) > MaxSeries+1 || sum != s.Total {
			t.Errorf("%d series, %+v in all, the ledger has %+v", len(list), sum, s.Total)
		}
	}
}

// Bytes given out are bounded in a second, and behind a pause there is room again.
func TestWhoAsksTooOftenIsTurnedAway(t *testing.T) {
	t.Parallel()
	b, c := newBooks(t, 1000), &clock{}
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
	if most := rate + rate/4 + len(board.json.text); given > most || turned == 0 || given < rate/2 {
		t.Errorf("%d bytes given in a second, %d at most; %d were turned away", given, most, turned)
	}
	c.advance(MaxAge)
	if _, err := board.JSON(); err != nil {
		t.Error(err)
	}
}

func TestWithoutACutThereIsNoText(t *testing.T) {
	t.Parallel()
	b, c := newBooks(t, 10), &clock{}
	b.none = errors.New("the store does not answer")
	board := New(b, c.now)
	if text, err := board.Metrics(); !errors.Is(err, ErrUnavailable) || !errors.Is(err, b.none) || text != nil {
		t.Errorf("%q %v", text, err)
	}
	b.none = nil
	if _, err := board.Metrics(); err != nil {
		t.Error(err)
	}
}

// slow gives its first caller a cut that is old by the time it comes.
type slow struct {
	*books
	first chan struct{} // closed when the first caller may have its answer
	asked chan struct{} // closed when it has its cut
	later atomic.Bool
}

func (s *slow) Ledger(wait time.Duration) (*ledger.Snapshot, error) {
	cut, err := s.books.Ledger(wait)
	if !s.later.Swap(true) {
		close(s.asked)
		<-s.first
	}
	return cut, err
}

// A cut that was long under way does not take the place of a newer one.
func TestNoOlderCutComesBehindANewerOne(t *testing.T) {
	t.Parallel()
	b, c := &slow{books: newBooks(t, 10), first: make(chan struct{}), asked: make(chan struct{})}, &clock{}
	board := New(b, c.now)
	late := make(chan []byte)
	go func() {
		text, err := board.JSON()
		if err != nil {
			t.Error(err)
		}
		late <- text
	}()
	<-b.asked
	b.post(ledger.Key{Class: "free"}, ledger.Accepted)
	c.advance(time.Second)
	newer, err := board.JSON()
	if err != nil {
		t.Fatal(err)
	}
	c.advance(2 * MaxAge) // even where the newer one would be made anew
	close(b.first)
	if text := <-late; !bytes.Equal(text, newer) {
		t.Errorf("%s behind %s", text, newer)
	}
}

// crowd lets nobody have a cut until so many have asked.
type crowd struct {
	*books
	all sync.WaitGroup
}

func (c *crowd) Ledger(wait time.Duration) (*ledger.Snapshot, error) {
	c.all.Done()
	c.all.Wait()
	return c.books.Ledger(wait)
}

// Those who ask at one time share one text, whatever cuts they were given.
func TestThoseWhoAskTogetherShareOneText(t *testing.T) {
	t.Parallel()
	const n = 20
	b, c := &crowd{books: newBooks(t, 10)}, &clock{}
	b.all.Add(n)
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
			t.Error("another text was made")
		}
	}
}

// Where making a text takes long it is made the more seldom: a fiftieth of the time is the most.
func TestTextsThatTakeLongAreMadeSeldom(t *testing.T) {
	t.Parallel()
	b, c := newBooks(t, 10), &clock{}
	board := New(b, func() time.Time { // each look at the clock takes 20 ms
		c.advance(20 * time.Millisecond)
		return c.now()
	})
	for c.now().Before(time.Unix(10, 0)) {
		if _, err := board.JSON(); err != nil {
			t.Fatal(err)
		}
	}
	if b.cuts > 11 {
		t.Errorf("%d texts in 10 s, at 20 ms each", b.cuts)
	}
}
