package journal_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"curlewmux/engine"
	"curlewmux/internal/journal"
	"curlewmux/internal/journal/memdir"
)

// stream is a load of messages that are accepted, attempted, and ended after a number of later messages.
type stream struct {
	*store
	body, life int // bytes in a body; number of live messages above which the oldest one is ended
	keep       int // the id of an ended message is kept while this many more messages are accepted
	from, to   int // range of the numbers of live messages
	refused    int
	appended   int // approximate bytes appended in the last round
	largest    int // approximate size of the largest record so far
}

// round runs one round of the load and flushes it.
func (s *stream) round(t testing.TB, messages int) {
	t.Helper()
	s.appended = 0
	put := func(n int, records ...engine.Record) bool {
		s.batch++
		err := s.Append(s.batch, records)
		if err != nil && !errors.Is(err, engine.ErrFull) {
			t.Fatal(err)
		}
		if err == nil {
			s.appended += n
		}
		return err == nil
	}
	for range messages {
		id := fmt.Sprintf("message-%08d", s.to)
		if put(s.body+120, acceptedOfSize(id, s.body)) {
			s.to++
			s.largest = max(s.largest, s.body+150)
		} else {
			s.refused++
		}
		if !put(40, attempt(now+engine.Timestamp(s.to)*1000, id, 1)) {
			t.Fatal("an attempt is refused")
		}
		if s.to-s.from > s.life || s.refused > 0 && s.from < s.to {
			id := fmt.Sprintf("message-%08d", s.from)
			if !put(100, &engine.RecEnded{ID: id, Disposition: engine.Delivered, Until: now + engine.Timestamp(s.to+s.keep)*1000, Fingerprint: 1}) {
				t.Fatal("an end is refused")
			}
			s.from++
		}
	}
	if _, err := s.Flush(); err != nil {
		t.Fatal(err)
	}
}

// At three times the usual rate, with each message living its full time, a Flush writes no more than its bound and
// removes two segments at most, whatever is live. The disk limit is never exceeded, and only new messages are refused,
// not attempts or ends.
func TestCompactionKeepsItsBoundUnderAnyLoad(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		disk       int64
		body, life int
		keep       int
		messages   int // per round
	}{
		{1e6, 200, 700, 700, 1}, {3e6, 200, 2500, 500, 8}, {3e6, 200, 1 << 20, 500, 3}, {3e6, 4000, 200, 200, 2},
		{3e6, 1, 3, 3000, 5}, {256 << 10, 600, 100, 100, 2}, {journal.MinDisk, 30, 20, 20, 1}, {4e6, 200, 4000, 1000, 10},
	} {
		d := memdir.New()
		s := &stream{store: open(t, d.Dir(), c.disk), body: c.body, life: c.life, keep: c.keep}
		removed, wrote, worst := 0, 0, 0.0
		d.Fault = func(op memdir.Op) memdir.Fault {
			switch op.Kind {
			case memdir.Remove:
				removed++
			case memdir.Write:
				wrote += op.Size
			}
			return memdir.Fault{}
		}
		rounds, total, peak := int(c.disk)/(c.messages*(c.body+200))*2, 0, int64(0)
		for i := range rounds {
			removed, wrote = 0, 0
			s.round(t, c.messages)
			// What was appended, four times that and 8 KiB in copies, twice the facts, a message and a header.
			if bound := 7*s.appended + 8<<10 + s.largest + 2048; wrote > bound || removed > 2 {
				t.Fatalf("%+v, round %d: %d bytes written and %d segments removed, for %d appended", c, i, wrote, removed, s.appended)
			}
			worst = max(worst, float64(wrote)/float64(s.appended+1))
			total += wrote
			if peak = max(peak, d.Used()); peak > c.disk {
				t.Fatalf("%+v, round %d: %d bytes on disk, more than the limit", c, i, peak)
			}
			if removed > 0 && i%50 == 0 {
				if why := s.CheckTable(); why != "" {
					t.Fatalf("%+v, round %d: %s", c, i, why)
				}
			}
		}
		if c.life > 1<<19 != (s.refused > 0) {
			t.Errorf("%+v: %d messages refused, %d live", c, s.refused, s.to-s.from)
		}
		t.Logf("%+v: %d rounds, %d bytes a message, at most %d on disk, %d live, %d refused", c, rounds, total/max(s.to, 1), peak, s.to-s.from, s.refused)
		if k := reopen(t, d, c.disk); len(k.Live) != s.to-s.from {
			t.Errorf("%+v: %d live, want %d", c, len(k.Live), s.to-s.from)
		}
	}
}

// A message with a body of any size that fits is kept through compactions. A larger one is always refused.
func TestMessageLargerThanSegment(t *testing.T) {
	t.Parallel()
	d := memdir.New()
	const disk = 1 << 20 // segments of 32 KiB
	j := open(t, d.Dir(), disk)
	must(t, j.put(acceptedOfSize("large", 200<<10)))
	for _, size := range []int{400 << 10, 600 << 10, 1 << 20, 4 << 20} {
		if err := j.put(acceptedOfSize("too large", size)); !errors.Is(err, engine.ErrFull) {
			t.Fatalf("a message of %d bytes: error %v, want ErrFull", size, err)
		}
	}
	for i := range 3000 {
		id := fmt.Sprint("m", i)
		if err := j.put(acceptedOfSize(id, 1000)); err != nil {
			t.Fatal(i, err, j.Sizes())
		}
		must(t, j.put(ended(id)))
		if n := d.Used(); n > disk {
			t.Fatalf("%d bytes on disk, more than the limit", n)
		}
	}
	if j = reopen(t, d, disk); j.ids() != "large" || len(j.message("large").Message.Body) != 200<<10 {
		t.Errorf("live %s", j.ids())
	}
	must(t, j.put(ended("large")))
	must(t, j.put(acceptedOfSize("again", 200<<10)))
}

// A batch that does not fit is refused before it is written. One without new messages is refused only if it exceeds
// the disk limit. One with new messages is also refused if the records that must follow them would have no room.
func TestBatchesWithoutRoomAreRefused(t *testing.T) {
	t.Parallel()
	d := memdir.New()
	j := open(t, d.Dir(), journal.MinDisk)
	must(t, j.put(accepted("a")))
	large := &engine.RecAttempts{At: now}
	for range 30_000 {
		large.List = append(large.List, engine.RecAttempt{ID: "a", Zone: 1})
	}
	if err := j.put(large); !errors.Is(err, engine.ErrFull) {
		t.Fatalf("a batch larger than the disk: error %v, want ErrFull", err)
	}
	for round := range 40 { // much is obsolete already, and each round appends far more than there is room for
		refused := 0
		var ends []engine.Record
		for i := range 30 {
			id := fmt.Sprintf("m%d-%d", round, i)
			j.batch++
			switch err := j.Append(j.batch, []engine.Record{acceptedOfSize(id, 1000), ended(id)}); {
			case errors.Is(err, engine.ErrFull):
				refused++
			case err != nil:
				t.Fatal(err)
			}
			ends = append(ends, attempt(now, "a", 1))
		}
		j.batch++
		must(t, j.Append(j.batch, ends))
		if b, err := j.Flush(); err != nil || b != j.batch {
			t.Fatalf("round %d: stored up to %d of %d: %v", round, b, j.batch, err)
		}
		if n := d.Used(); n > journal.MinDisk || refused == 0 || refused == 30 && round == 0 {
			t.Fatalf("round %d: %d refused, %d bytes on disk", round, refused, n)
		}
	}
	if j = reopen(t, d, journal.MinDisk); j.ids() != "a" || j.message("a").Tries != 40*30 {
		t.Errorf("live %s, %+v", j.ids(), j.message("a"))
	}
}

// An id can be accepted again after its message has ended, whether or not the ended id is kept.
func TestIDIsReusableAfterEnd(t *testing.T) {
	t.Parallel()
	for _, until := range []engine.Timestamp{0, now + 1000} {
		d := memdir.New()
		j := open(t, d.Dir(), 256<<10)
		for life := range 3 {
			r := accepted("id")
			r.Message.Destination = life
			must(t, j.put(r))
			must(t, j.put(attempt(now, "id", life)))
			if life < 2 {
				must(t, j.put(&engine.RecEnded{ID: "id", Disposition: engine.Delivered, Until: until, Fingerprint: uint64(life)}))
				if until != 0 {
					must(t, j.put(attempt(until+1, "none", 0))) // the kept id expires
				}
			}
			if life == 1 {
				turnOver(t, j, d)
			}
			k := open(t, d.Clone().Dir(), 256<<10)
			if r := k.message("id"); (r != nil) != (life == 2) || r != nil && (r.Message.Destination != 2 || r.Tries != 1 || len(k.Ended) != 0) {
				t.Errorf("until %d, life %d: %+v, ended %+v", until, life, r, k.Ended)
			}
		}
	}
}

// Ends of messages in older segments, many at once, and of messages that do not exist.
func TestEndsOfMessagesInOlderSegments(t *testing.T) {
	t.Parallel()
	d := memdir.New()
	j := open(t, d.Dir(), 256<<10)
	var ends []engine.Record
	for i := range 200 {
		id := fmt.Sprint("m", i)
		must(t, j.put(acceptedOfSize(id, 300)))
		ends = append(ends, &engine.RecEnded{ID: id, Disposition: engine.Closed, Until: now + engine.Timestamp(i%2)*1e9})
	}
	must(t, j.put(attempt(now+1, "none", 0)))
	if len(segments(d)) < 4 {
		t.Fatalf("segments %v", segments(d))
	}
	must(t, j.put(append(ends, ended("never there"))...))
	must(t, j.put(ends...)) // a second end has no effect
	turnOver(t, j, d)
	j = reopen(t, d, 256<<10)
	if len(j.Live) != 0 || len(j.Ended) != 100 {
		t.Errorf("live %s, %d ended, want 100: the other ids have expired", j.ids(), len(j.Ended))
	}
}

// A folder that exceeds the disk limit it is opened with accepts no message until it is within the limit.
func TestLoweredDiskLimitIsReached(t *testing.T) {
	t.Parallel()
	d := memdir.New()
	j := open(t, d.Dir(), 1<<20)
	for i := range 500 {
		must(t, j.put(acceptedOfSize(fmt.Sprint("m", i), 800)))
	}
	const disk = 256 << 10
	j = reopen(t, d, disk)
	if len(j.Live) != 500 {
		t.Fatalf("%d live", len(j.Live))
	}
	if err := j.put(accepted("new")); !errors.Is(err, engine.ErrFull) {
		t.Fatalf("error %v, want ErrFull", err)
	}
	for i := range 450 {
		must(t, j.put(ended(fmt.Sprint("m", i))))
	}
	must(t, j.putWithRetry(accepted("new")))
	if n := d.Used(); n > disk {
		t.Errorf("%d bytes on disk, more than the limit", n)
	}
	if j = reopen(t, d, disk); len(j.Live) != 51 {
		t.Errorf("%d live", len(j.Live))
	}
}

// Open refuses invalid settings with an error that says what is wrong.
func TestSettingsAreChecked(t *testing.T) {
	t.Parallel()
	good := settings(journal.MinDisk)
	good.Go, good.OnStored = func(func()) {}, func(engine.Batch) {}
	for want, change := range map[string]func(*journal.Settings){
		"disk":   func(s *journal.Settings) { s.Disk = journal.MinDisk - 1 },
		"owner":  func(s *journal.Settings) { s.Owner = strings.Repeat("x", 201) },
		"Random": func(s *journal.Settings) { s.Random = nil },
		"Go":     func(s *journal.Settings) { s.Go, s.Sync = nil, journal.SyncAlways },
		"Stored": func(s *journal.Settings) { s.OnStored, s.Sync = nil, journal.SyncAlways },
		"Every":  func(s *journal.Settings) { s.Sync = journal.SyncInterval },
	} {
		s := good
		change(&s)
		if _, err := tryOpen(memdir.New().Dir(), s); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error about %s, got %v", want, err)
		}
	}
}
