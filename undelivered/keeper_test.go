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

// book is a journal that notes how many entries the store had as each batch came.
type book struct {
	r      *rig
	err    error // of the next Append
	flush  error // of the next Flush
	newest engine.Batch
	stored engine.Batch
	had    []int
	ticks  int
}

func (b *book) Append(n engine.Batch, _ []engine.Record) error {
	b.had = append(b.had, b.r.s.Len())
	err := b.err
	if b.err = nil; err == nil {
		b.newest = n
	}
	return err
}

func (b *book) Flush() (engine.Batch, error) {
	if err := b.flush; err != nil {
		b.flush = nil
		return b.stored, err
	}
	b.stored = b.newest
	return b.stored, nil
}

func (b *book) Tick(engine.Timestamp) { b.ticks++ }

// heard is what a keeper tells.
type heard struct{ list []string }

func (h *heard) SubmissionEnded(no uint64, how string, _ bool) {
	h.list = append(h.list, fmt.Sprint("over ", no, " ", how))
}

func (h *heard) Claimable(no uint64) { h.list = append(h.list, fmt.Sprint("free ", no)) }

func newKeeper(t *testing.T) (*rig, *book, *heard, *Keeper) {
	r := newRig(t)
	r.open(nil)
	b, h := &book{r: r}, &heard{}
	return r, b, h, NewKeeper(b, r.s, engine.Clock{Start: r.now}, h)
}

// owed is the record of a message that is given up in doubt.
func owed(m *engine.Message, how engine.Disposition) *engine.RecPendingResult {
	g := &engine.Undelivered{
		Message: *m, At: engine.Epoch + 3*second, Cause: engine.CauseDeadline, Tries: 2, DoubtAt: engine.Epoch + second, CallsOverAt: engine.Epoch + 9*second,
		Attempts: []engine.Attempt{{Sent: engine.Epoch + second, Endpoint: "e", Result: control.TimedOut, End: engine.Epoch + 2*second}, {Sent: engine.Epoch + 2*second}},
	}
	return &engine.RecPendingResult{ID: m.ID, PendingResult: engine.PendingResult{Disposition: how}, Undelivered: g}
}

func TestAMessageIsInTheStoreBeforeTheJournalHasItsEnd(t *testing.T) {
	t.Parallel()
	r, b, h, k := newKeeper(t)
	rec := owed(message("u", "unsafe"), engine.Failed)
	if err := k.Append(1, []engine.Record{rec}); err != nil || !slices.Equal(b.had, []int{1}) {
		t.Fatal(err, b.had)
	}
	no, _ := r.s.kept("u")
	if !r.s.EndNotStored(no) || len(h.list) > 0 {
		t.Errorf("early %v, heard %v", r.s.EndNotStored(no), h.list)
	}
	e := r.entry(no)
	l := e.Submissions[0]
	if string(e.Body) != "body of u" || l.Cause != "time" || l.AttemptCount != 2 || len(l.Attempts) != 2 || l.Attempts[0].Result != "timed out" ||
		l.Attempts[1].Result != "no outcome yet" || !l.Attempts[0].SentAt.Equal(r.wall.Add(time.Second)) || e.Doubt.FirstSent != r.s.base+second || e.Doubt.QuietFrom != r.s.base+9*second {
		t.Errorf("%+v", e)
	}
	if _, err := k.Flush(); err != nil || !slices.Equal(h.list, []string{fmt.Sprint("free ", no)}) {
		t.Errorf("%v, heard %v", err, h.list)
	}
	k.Tick(0)
	if b.ticks != 1 {
		t.Error("the journal is not told the time")
	}
}

// A batch that the journal does not have makes nothing free; the engine tells the end once more, without the body.
func TestAnEndThatTheJournalCouldNotWrite(t *testing.T) {
	t.Parallel()
	for _, where := range []string{"append", "flush"} {
		r, b, h, k := newKeeper(t)
		rec := owed(message("u", "unsafe"), engine.Failed)
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
			t.Fatal("the journal's error is lost")
		}
		if err := k.Append(2, []engine.Record{&engine.RecNoop{}}); err != nil {
			t.Fatal(err)
		}
		k.Flush()
		if len(h.list) > 0 {
			t.Errorf("%s: heard %v", where, h.list)
		}
		again := *rec.Undelivered
		again.Rewritten, again.Message.Body = true, nil
		k.Append(3, []engine.Record{&engine.RecPendingResult{ID: "u", PendingResult: rec.PendingResult, Undelivered: &again}})
		k.Flush()
		no, _ := r.s.kept("u")
		if !slices.Equal(h.list, []string{fmt.Sprint("free ", no)}) || r.s.Len() != 1 || string(r.entry(no).Body) != "body of u" {
			t.Errorf("%s: heard %v, %d entries", where, h.list, r.s.Len())
		}
	}
}

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
	put(owed(message("r", "unsafe"), engine.Refused))
	if list, err := ReadRefused(r.dir()); err != nil || len(list) != 1 || list[0].ID != "r" || r.s.Len() != 0 {
		t.Errorf("refused: %v %v, %d entries", list, err, r.s.Len())
	}
	put(&engine.RecPendingResult{ID: "x", PendingResult: engine.PendingResult{Disposition: engine.Failed}}) // of an earlier process
	if r.s.Len() != 0 {
		t.Error("what was given up by an earlier process is kept")
	}
	put(owed(message("u", "unsafe"), engine.Failed))
	no, _ := r.s.kept("u")
	for _, end := range []engine.Disposition{engine.Refused, engine.Failed, engine.Withdrawn, engine.Delivered} {
		_, id := r.hand(no)
		h.list = nil
		m := message(id, "unsafe")
		switch end {
		case engine.Refused, engine.Failed:
			put(owed(m, end))
			put(&engine.RecEnded{ID: id, Disposition: end}) // once it was told
		default:
			put(&engine.RecEnded{ID: id, Disposition: end})
		}
		want := []string{fmt.Sprint("over ", no, " ", howOf(end)), fmt.Sprint("free ", no)}
		if end == engine.Delivered {
			want = want[:1]
		}
		if !slices.Equal(h.list, want) {
			t.Errorf("%s: heard %v, want %v", howOf(end), h.list, want)
		}
	}
	r.want(no, Ended, true)
	if r.s.Len() != 1 {
		t.Errorf("%d entries", r.s.Len())
	}
	// A client that hands the same in again: the kept one is held, once the journal takes the new one.
	put(owed(message("v", "unsafe"), engine.Failed))
	v, _ := r.s.kept("v")
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

// A store that takes nothing holds nobody up: the journal has every batch.
func TestAStoreThatFailsHoldsNothingUp(t *testing.T) {
	t.Parallel()
	r, b, _, k := newKeeper(t)
	r.disk.Fault = func(memdir.Op) memdir.Fault { return memdir.Fault{Err: syscall.ENOSPC} }
	if err := k.Append(1, []engine.Record{owed(message("u", "unsafe"), engine.Failed)}); err != nil || b.newest != 1 {
		t.Errorf("%v, batch %d", err, b.newest)
	}
	if _, err := k.Flush(); err != nil || r.s.Counts.NotKept != 1 || r.s.Len() != 0 {
		t.Errorf("%v, %+v", err, r.s.Counts)
	}
}
