package undelivered

import (
	"errors"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/journal/memdir"
)

// recordingJournal is a journal that records the number of entries in the store at each batch.
type recordingJournal struct {
	r           *rig
	err         error // of the next Append
	flush       error // of the next Flush
	newest      engine.Batch
	stored      engine.Batch
	entryCounts []int
	ticks       int
}

func (b *recordingJournal) Append(n engine.Batch, _ []engine.Record) error {
	b.entryCounts = append(b.entryCounts, b.r.s.Len())
	err := b.err
	if b.err = nil; err == nil {
		b.newest = n
	}
	return err
}

func (b *recordingJournal) Flush() (engine.Batch, error) {
	if err := b.flush; err != nil {
		b.flush = nil
		return b.stored, err
	}
	b.stored = b.newest
	return b.stored, nil
}

func (b *recordingJournal) Tick(engine.Timestamp) { b.ticks++ }

// recordedEvents records the notifications of a keeper.
type recordedEvents struct{ list []string }

func (h *recordedEvents) SubmissionEnded(no uint64, how string, _ bool) {
	h.list = append(h.list, fmt.Sprint("over ", no, " ", how))
}

func (h *recordedEvents) Claimable(no uint64) { h.list = append(h.list, fmt.Sprint("free ", no)) }

func newKeeper(t *testing.T) (*rig, *recordingJournal, *recordedEvents, *Keeper) {
	r := newRig(t)
	r.open(nil)
	b, h := &recordingJournal{r: r}, &recordedEvents{}
	return r, b, h, NewKeeper(b, r.s, engine.Clock{Start: r.now}, h)
}

// pendingRecord returns the record of a message that ended while in doubt.
func pendingRecord(m *engine.Message, how engine.Disposition) *engine.RecPendingResult {
	g := &engine.Undelivered{
		Message: *m, At: engine.Epoch + 3*second, Cause: engine.CauseDeadline, Tries: 2, DoubtAt: engine.Epoch + second, CallsOverAt: engine.Epoch + 9*second,
		Attempts: []engine.Attempt{{Sent: engine.Epoch + second, Endpoint: "e", Result: control.TimedOut, End: engine.Epoch + 2*second}, {Sent: engine.Epoch + 2*second}},
	}
	return &engine.RecPendingResult{ID: m.ID, PendingResult: engine.PendingResult{Disposition: how}, Undelivered: g}
}

// A failed message must be in the store before the journal gets its end. It is claimable once the journal has stored
// that end.
func TestAMessageIsInTheStoreBeforeTheJournalHasItsEnd(t *testing.T) {
	t.Parallel()
	r, b, h, k := newKeeper(t)
	rec := pendingRecord(message("u", "unsafe"), engine.Failed)
	if err := k.Append(1, []engine.Record{rec}); err != nil || !slices.Equal(b.entryCounts, []int{1}) {
		t.Fatal(err, b.entryCounts)
	}
	no, _ := r.s.numberOf("u")
	if !r.s.EndNotStored(no) || len(h.list) > 0 {
		t.Errorf("end not stored %v, notifications %v", r.s.EndNotStored(no), h.list)
	}
	e := r.entry(no)
	l := e.Submissions[0]
	if string(e.Body) != "body of u" || l.Cause != "time" || l.AttemptCount != 2 || len(l.Attempts) != 2 || l.Attempts[0].Result != "timed out" ||
		l.Attempts[1].Result != "no outcome yet" || !l.Attempts[0].SentAt.Equal(r.wall.Add(time.Second)) || e.Doubt.FirstSent != r.s.baseTime+second || e.Doubt.QuietFrom != r.s.baseTime+9*second {
		t.Errorf("%+v", e)
	}
	if _, err := k.Flush(); err != nil || !slices.Equal(h.list, []string{fmt.Sprint("free ", no)}) {
		t.Errorf("flush: %v, notifications %v", err, h.list)
	}
	k.Tick(0)
	if b.ticks != 1 {
		t.Error("the journal got no tick")
	}
}

// An entry must not become claimable through a batch that the journal did not store. The engine then writes the end
// again, without the body.
func TestEndNotStoredByJournal(t *testing.T) {
	t.Parallel()
	for _, where := range []string{"append", "flush"} {
		r, b, h, k := newKeeper(t)
		rec := pendingRecord(message("u", "unsafe"), engine.Failed)
		if where == "append" {
			b.err = syscall.EIO
		} else {
			b.flush = syscall.EIO
		}
		err := k.Append(1, []engine.Record{rec})
		if where == "append" != (err != nil) {
			t.Fatal(where, err)
		}
		if _, err := k.Flush(); where == "flush" && err == nil {
			t.Fatal("the journal's error is not returned")
		}
		if err := k.Append(2, []engine.Record{&engine.RecNoop{}}); err != nil {
			t.Fatal(err)
		}
		k.Flush()
		if len(h.list) > 0 {
			t.Errorf("%s failed: notifications %v, want none", where, h.list)
		}
		again := *rec.Undelivered
		again.Rewritten, again.Message.Body = true, nil
		k.Append(3, []engine.Record{&engine.RecPendingResult{ID: "u", PendingResult: rec.PendingResult, Undelivered: &again}})
		k.Flush()
		no, _ := r.s.numberOf("u")
		if !slices.Equal(h.list, []string{fmt.Sprint("free ", no)}) || r.s.Len() != 1 || string(r.entry(no).Body) != "body of u" {
			t.Errorf("%s failed: notifications %v, %d entries", where, h.list, r.s.Len())
		}
	}
}

// Checks what a keeper does with each kind of record: a refused message, a failed one, each end of a resend, and a
// message that is submitted again.
func TestWhatAKeeperMakesOfARecord(t *testing.T) {
	t.Parallel()
	r, b, h, k := newKeeper(t)
	put := func(rec engine.Record) {
		t.Helper()
		if err := k.Append(b.newest+1, []engine.Record{rec}); err != nil {
			t.Fatal(err)
		}
		k.Flush()
	}
	put(pendingRecord(message("r", "unsafe"), engine.Refused))
	if list, err := ReadRefused(r.dir()); err != nil || len(list) != 1 || list[0].ID != "r" || r.s.Len() != 0 {
		t.Errorf("refused messages: %v %v, %d entries", list, err, r.s.Len())
	}
	put(&engine.RecPendingResult{ID: "x", PendingResult: engine.PendingResult{Disposition: engine.Failed}}) // recorded by an earlier process
	if r.s.Len() != 0 {
		t.Error("a message that failed in an earlier process is kept")
	}
	put(pendingRecord(message("u", "unsafe"), engine.Failed))
	no, _ := r.s.numberOf("u")
	for _, end := range []engine.Disposition{engine.Refused, engine.Failed, engine.Withdrawn, engine.Delivered} {
		_, id := r.claimAndBegin(no)
		h.list = nil
		m := message(id, "unsafe")
		switch end {
		case engine.Refused, engine.Failed:
			put(pendingRecord(m, end))
			put(&engine.RecEnded{ID: id, Disposition: end}) // after its client was notified
		default:
			put(&engine.RecEnded{ID: id, Disposition: end})
		}
		want := []string{fmt.Sprint("over ", no, " ", dispositionName(end)), fmt.Sprint("free ", no)}
		if end == engine.Delivered {
			want = want[:1]
		}
		if !slices.Equal(h.list, want) {
			t.Errorf("%s: notifications %v, want %v", dispositionName(end), h.list, want)
		}
	}
	r.want(no, Ended, true)
	if r.s.Len() != 1 {
		t.Errorf("%d entries, want 1", r.s.Len())
	}
	// A client submits the same message again. The entry is held once the journal has accepted the new one.
	put(pendingRecord(message("v", "unsafe"), engine.Failed))
	v, _ := r.s.numberOf("v")
	same := message("w", "unsafe")
	same.Body = []byte("body of v")
	b.err = engine.ErrFull
	if err := k.Append(b.newest+1, []engine.Record{&engine.RecAccepted{Message: *same}}); !errors.Is(err, engine.ErrFull) {
		t.Fatal(err)
	}
	r.want(v, Waiting, true)
	put(&engine.RecAccepted{Message: *same})
	r.want(v, Held, true)
}

// A store whose writes all fail must not hold up the journal.
func TestAStoreThatFailsHoldsNothingUp(t *testing.T) {
	t.Parallel()
	r, b, _, k := newKeeper(t)
	r.disk.Fault = func(memdir.Op) memdir.Fault { return memdir.Fault{Err: syscall.ENOSPC} }
	if err := k.Append(1, []engine.Record{pendingRecord(message("u", "unsafe"), engine.Failed)}); err != nil || b.newest != 1 {
		t.Errorf("append: %v, newest batch %d", err, b.newest)
	}
	if _, err := k.Flush(); err != nil || r.s.Counts.NotKept != 1 || r.s.Len() != 0 {
		t.Errorf("flush: %v, counts %+v", err, r.s.Counts)
	}
}
