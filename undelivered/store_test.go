package undelivered

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"curlewmux/engine"
	"curlewmux/internal/journal"
	"curlewmux/internal/journal/memdir"
	"curlewmux/resend"
)

// An entry and its history must survive restarts, and an ended entry must lose its body.
func TestEntryAndHistorySurviveRestart(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.open(nil)
	no := r.keep("u", "unsafe")
	r.advance(10 * time.Second)
	claim, id := r.claimAndBegin(no)
	r.want(no, InFlight, true)
	l := r.failedSubmission(id)
	l.DoubtAt = 0
	if n, ok := r.s.SubmissionEnded(id, l); n != no || !ok {
		t.Fatal(n, ok)
	}
	before := r.entry(no)
	r.open(nil)
	r.want(no, Waiting, true)
	e := r.entry(no)
	if string(e.Body) != "body of u" || e.Resends != 1 || len(e.Submissions) != 2 || e.Submissions[1].ID != id || len(e.History) != 4 ||
		e.Submissions[0].Attempts[0].Endpoint != "e" || e.History[1].Claim.Number != claim || !slices.Equal(e.Doubt.IDs, []string{"u"}) {
		t.Errorf("%+v", e)
	}
	if fmt.Sprint(before.History) != fmt.Sprint(e.History) && len(before.History) != len(e.History) {
		t.Errorf("history after the restart %v, before it %v", e.History, before.History)
	}
	_, id = r.claimAndBegin(no)
	if _, ok := r.s.SubmissionEnded(id, Submission{ID: id, Disposition: EndDelivered}); !ok {
		t.Fatal("the end of the submission was ignored")
	}
	r.open(nil)
	r.want(no, Ended, true)
	if e := r.entry(no); e.Disposition != EndDelivered || len(e.Body) > 0 || e.Bytes != 9 || e.Resends != 2 || len(e.History) != 7 {
		t.Errorf("%+v", e)
	}
	if len(r.disk.Names()) != 3 { // the entry, the meta file and the list of refused messages
		t.Errorf("files %v", r.disk.Names())
	}
}

func TestFilePermissions(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	dir := t.TempDir()
	s, err := Open(journal.OSDir(dir), r.set)
	if err != nil {
		t.Fatal(err)
	}
	s.Reconcile(nil, nil)
	r.s = s
	no := r.keep("u", "unsafe")
	r.claimAndBegin(no)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	files, err := os.ReadDir(dir)
	if err != nil || len(files) != 3 {
		t.Fatal(files, err)
	}
	for _, f := range files {
		if info, err := f.Info(); err != nil || info.Mode().Perm() != 0o600 {
			t.Errorf("%s: mode %v %v", f.Name(), info.Mode(), err)
		}
	}
}

// A second claim fails, and its error names the holder of the first. Claim numbers only grow, even after restarts and
// after entries are removed.
func TestOneClaimAtATime(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.open(nil)
	no := r.keep("u", "unsafe")
	first, err := r.s.Claim(no, Claim{By: "ana", Manual: true, ExpiresAt: r.s.Now() + 100*second})
	if err != nil {
		t.Fatal(err)
	}
	_, err = r.s.Claim(no, Claim{By: "rule x"})
	var lost *ClaimedError
	if !errors.As(err, &lost) || lost.Claim.By != "ana" || lost.Claim.Number != first.Claim.Number || !strings.Contains(err.Error(), "ana") {
		t.Errorf("second claim: %v", err)
	}
	last := first.Claim.Number
	for range 5 {
		r.open(nil)
		r.want(no, Claimed, true) // an operator's claim outlasts a restart
		if c := r.s.ActiveClaim(no); c == nil || c.Number != first.Claim.Number {
			t.Fatalf("active claim after a restart: %+v", c)
		}
		one := r.keep(fmt.Sprint("v", last), "unsafe")
		e, err := r.s.Claim(one, Claim{By: "rule x"})
		if err != nil || e.Claim.Number <= last || one <= last {
			t.Fatalf("claim %d and entry %d, want numbers above %d: %v", e.Claim.Number, one, last, err)
		}
		last = e.Claim.Number
		if err := r.s.remove(r.s.row(one)); err != nil {
			t.Fatal(err)
		}
	}
	r.advance(101 * time.Second)
	if got, _ := r.s.Cleanup(); !slices.Equal(got, []uint64{no}) {
		t.Errorf("expired claims released of entries %v", got)
	}
	r.want(no, Waiting, true)
	if _, err := r.s.Claim(no, Claim{By: "rule x"}); err != nil {
		t.Error(err)
	}
	r.open(nil)
	r.want(no, Waiting, true) // a rule's claim does not outlast a restart
}

// An entry must not be claimed before the journal has stored the end of its latest submission.
func TestNothingIsClaimedBeforeTheJournalHasItsEnd(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.open(nil)
	no, err := r.s.Keep(message("u", "unsafe"), r.failedSubmission("u"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.s.Claim(no, Claim{By: "x"}); !errors.Is(err, ErrEndNotStored) {
		t.Errorf("claim before the end is stored: %v", err)
	}
	r.s.setEndBatch(5, no)
	if got := r.s.batchesStored(4); len(got) > 0 {
		t.Errorf("claimable after batch 4: %v, want none", got)
	}
	r.s.batchesLost(4) // the journal did not store that batch
	if got := r.s.batchesStored(9); len(got) > 0 {
		t.Errorf("claimable after the batch was lost: %v, want none", got)
	}
	r.s.setEndBatch(10, no)
	if got := r.s.batchesStored(10); !slices.Equal(got, []uint64{no}) {
		t.Errorf("claimable after batch 10: %v", got)
	}
	_, id := r.claimAndBegin(no)
	r.s.SubmissionEnded(id, r.failedSubmission(id))
	if _, err := r.s.Claim(no, Claim{By: "x"}); !errors.Is(err, ErrEndNotStored) {
		t.Errorf("claim before the end of the resend is stored: %v", err)
	}
}

// When the store starts, the journal decides. A message that is still alive in the journal is not kept in the store as
// well; one that has ended in the journal stays in the store.
func TestTheJournalsWordCountsAtAStart(t *testing.T) {
	t.Parallel()
	alive := func(id string, pending *engine.PendingResult) *engine.RestoredMessage {
		return &engine.RestoredMessage{Message: engine.Message{ID: id, Class: "unsafe"}, Pending: pending}
	}
	failed := &engine.PendingResult{Disposition: engine.Failed}
	for name, c := range map[string]struct {
		do    func(r *rig, no uint64) string // returns the id of the new submission
		live  func(id string) []*engine.RestoredMessage
		ended func(id string) *engine.RestoredEnd
		state State // empty: removed
		doubt bool  // of the new submission
	}{
		"kept, alive in the journal":          {live: func(string) []*engine.RestoredMessage { return []*engine.RestoredMessage{alive("u", nil)} }},
		"kept, result pending in the journal": {live: func(string) []*engine.RestoredMessage { return []*engine.RestoredMessage{alive("u", failed)} }, state: Waiting},
		"kept, ended in the journal":          {state: Waiting},
		"submitted, unknown to the journal": {
			do: func(r *rig, no uint64) string { _, id := r.claimAndBegin(no); return id }, state: Waiting, doubt: true,
		},
		"submitted, alive in the journal": {
			do:   func(r *rig, no uint64) string { _, id := r.claimAndBegin(no); return id },
			live: func(id string) []*engine.RestoredMessage { return []*engine.RestoredMessage{alive(id, nil)} }, state: InFlight,
		},
		"submitted, result pending in the journal, in doubt": {
			do: func(r *rig, no uint64) string { _, id := r.claimAndBegin(no); return id },
			live: func(id string) []*engine.RestoredMessage {
				m := alive(id, failed)
				m.DoubtAt = 1
				return []*engine.RestoredMessage{m}
			}, state: Waiting, doubt: true,
		},
		"submitted, refused in the journal": {
			do: func(r *rig, no uint64) string { _, id := r.claimAndBegin(no); return id },
			live: func(id string) []*engine.RestoredMessage {
				return []*engine.RestoredMessage{alive(id, &engine.PendingResult{Disposition: engine.Refused})}
			}, state: Waiting,
		},
		"submitted, delivered in the journal": {
			do:    func(r *rig, no uint64) string { _, id := r.claimAndBegin(no); return id },
			ended: func(id string) *engine.RestoredEnd { return &engine.RestoredEnd{ID: id, Disposition: engine.Delivered} }, state: Ended,
		},
		"submitted, failed in the journal": {
			do:    func(r *rig, no uint64) string { _, id := r.claimAndBegin(no); return id },
			ended: func(id string) *engine.RestoredEnd { return &engine.RestoredEnd{ID: id, Disposition: engine.Failed} }, state: Waiting, doubt: true,
		},
		"ended in the store, alive in the journal": {
			do: func(r *rig, no uint64) string {
				_, id := r.claimAndBegin(no)
				l := r.failedSubmission(id)
				l.DoubtAt = 0
				r.s.SubmissionEnded(id, l)
				return id
			},
			live: func(id string) []*engine.RestoredMessage { return []*engine.RestoredMessage{alive(id, nil)} }, state: InFlight,
		},
		"delivered in the store, alive in the journal": {
			do: func(r *rig, no uint64) string {
				_, id := r.claimAndBegin(no)
				r.s.SubmissionEnded(id, Submission{ID: id, Disposition: EndDelivered})
				return id
			},
			live: func(id string) []*engine.RestoredMessage { return []*engine.RestoredMessage{alive(id, nil)} }, state: Ended,
		},
	} {
		r := newRig(t)
		r.open(nil)
		no := r.keep("u", "unsafe")
		id := ""
		if c.do != nil {
			id = c.do(r, no)
		}
		var live []*engine.RestoredMessage
		if c.live != nil {
			live = c.live(id)
		}
		var ended []*engine.RestoredEnd
		if c.ended != nil {
			ended = append(ended, c.ended(id))
		}
		r.open(live, ended...)
		s, ok := r.s.Get(no)
		if ok != (c.state != "") || s.State != c.state {
			t.Errorf("%s: state %q, want %q", name, s.State, c.state)
			continue
		}
		if ok && id != "" && slices.Contains(r.entry(no).Doubt.IDs, id) != c.doubt {
			t.Errorf("%s: ids in doubt %v", name, r.entry(no).Doubt.IDs)
		}
		if c.state == InFlight { // the keeper reports its end once
			if _, ok := r.s.SubmissionEnded(id, Submission{ID: id, Disposition: EndDelivered}); !ok || r.get(no).State != Ended || r.entry(no).Resends != 1 {
				t.Errorf("%s: the end of the submission was ignored: %+v", name, r.entry(no))
			}
		}
	}
}

// The process ends at each disk operation: before it, in the middle of it, or after it. A write must count fully or not
// at all, numbers must never be used twice, and a submission must never be forgotten.
func TestAProcessThatEndsAtAnyWrite(t *testing.T) {
	t.Parallel()
	run := func(r *rig) (steps []string) {
		defer func() { r.t.Logf("%v", steps) }()
		if _, err := r.tryOpen(nil); err != nil {
			return steps
		}
		no, err := r.s.Keep(message("u", "unsafe"), Submission{ID: "u", Disposition: "failed", Cause: "tries"})
		if err != nil {
			return steps
		}
		steps = append(steps, "kept")
		r.s.setEndBatch(1, no)
		r.s.batchesStored(1)
		for range 2 {
			e, err := r.s.Claim(no, Claim{By: "rule x"})
			if err != nil {
				return steps
			}
			steps = append(steps, fmt.Sprint("claim ", e.Claim.Number))
			m, err := r.s.BeginSubmission(no, e.Claim.Number)
			if err != nil {
				return steps
			}
			steps = append(steps, "handed "+m.ID)
			how := "failed"
			if len(steps) > 4 {
				how = EndDelivered
			}
			r.s.SubmissionEnded(m.ID, Submission{ID: m.ID, Disposition: how})
			if r.s.unwritten[no] != nil {
				return steps
			}
			steps = append(steps, how)
			r.s.setEndBatch(1, no)
			r.s.batchesStored(1)
		}
		return append(steps, "all")
	}
	noFaults := newRig(t)
	run(noFaults)
	ops := noFaults.disk.Ops()
	if ops < 12 {
		t.Fatalf("the run made only %d disk operations, want at least 12", ops)
	}
	for op := range ops {
		for _, written := range []int{0, 7, 1 << 20} {
			r := newRig(t)
			r.disk.Fault = func(o memdir.Op) memdir.Fault { return memdir.Fault{Crash: o.Index == op, WrittenBytes: written} }
			steps := run(r)
			if len(steps) > 0 && steps[len(steps)-1] == "all" { // the process ended while an old file was being removed
				steps = steps[:len(steps)-1]
			}
			r.disk.Fault = nil
			var live []*engine.RestoredMessage
			if !slices.Contains(steps, "kept") { // the journal still has the message
				live = append(live, &engine.RestoredMessage{Message: engine.Message{ID: "u"}})
			}
			s := r.open(live)
			at := fmt.Sprintf("crash at operation %d, %d bytes written, after %v", op, written, steps)
			if len(steps) == 0 {
				if s.Len() != 0 {
					t.Errorf("%s: the message is in the store and in the journal", at)
				}
				continue
			}
			if s.Len() != 1 {
				t.Fatalf("%s: %d entries, want 1", at, s.Len())
			}
			no, _ := s.numberOf("u")
			e := r.entry(no)
			last := steps[len(steps)-1]
			id, handed := strings.CutPrefix(last, "handed ")
			switch {
			case last == EndDelivered && e.State != Ended:
				t.Errorf("%s: state %s", at, e.State)
			case handed && e.State != Ended && !slices.Contains(e.Doubt.IDs, id) && !(e.lastSubmission().ID == id && e.lastSubmission().Disposition == "failed"):
				t.Errorf("%s: submission %s is forgotten: %+v", at, id, e)
			case e.State != Waiting && e.State != Ended:
				t.Errorf("%s: state %s", at, e.State)
			}
			if n, err := s.nextNumber(); err != nil || slices.Contains(steps, fmt.Sprint("claim ", n)) || n <= no {
				t.Errorf("%s: number %d was given again: %v", at, n, err)
			}
		}
	}
}

// A claim that could not be written must not count. A submission must not begin under a released claim, nor while an
// event of its claim is not written.
func TestNothingIsClaimedUnlessThatIsWritten(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.open(nil)
	no := r.keep("u", "unsafe")
	r.disk.Fault = func(o memdir.Op) memdir.Fault {
		if o.Name == metaName {
			return memdir.Fault{}
		}
		return memdir.Fault{Err: syscall.EIO, WrittenBytes: 5}
	}
	if _, err := r.s.Claim(no, Claim{By: "x"}); !errors.Is(err, syscall.EIO) {
		t.Errorf("claim that could not be written: %v", err)
	}
	r.want(no, Waiting, true)
	r.disk.Fault = nil
	claim, _ := r.claimAndBegin(no)
	r.disk.Fault = func(memdir.Op) memdir.Fault { return memdir.Fault{Err: syscall.EIO} }
	r.s.Release(no, claim, "x") // logged and retried
	other := r.disk.Clone()
	r.disk.Fault = nil
	if _, err := r.s.BeginSubmission(no, claim); err == nil {
		t.Error("a submission began under a released claim")
	}
	r.s.Cleanup()
	e, err := r.s.Claim(no, Claim{By: "x"})
	if err != nil {
		t.Fatal(err)
	}
	r.disk.Fault = func(memdir.Op) memdir.Fault { return memdir.Fault{Err: syscall.EIO} }
	r.s.RecordInquiry(no, e.Claim.Number, resend.No, "")
	r.disk.Fault = nil
	if _, err := r.s.BeginSubmission(no, e.Claim.Number); err == nil {
		t.Error("a submission began though the inquiry made under its claim is not written")
	}
	r.disk = other
	r.open(nil)
	r.want(no, Waiting, true)
}

// While all writes fail, nothing is kept or claimed. Events are written once the disk works again.
func TestADiskThatFails(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.open(nil)
	no := r.keep("u", "unsafe")
	claim, id := r.claimAndBegin(no)
	for _, fault := range []error{syscall.ENOSPC, syscall.EIO} {
		r.disk.Fault = func(memdir.Op) memdir.Fault { return memdir.Fault{Err: fault, WrittenBytes: 20} }
		if _, err := r.s.Keep(message("v", "unsafe"), r.failedSubmission("v")); !errors.Is(err, fault) || r.s.Counts.NotKept == 0 {
			t.Errorf("message kept on a failing disk, or not counted as not kept: %v", err)
		}
	}
	r.s.SubmissionEnded(id, r.failedSubmission(id))
	r.want(no, Waiting, true)
	r.s.setEndBatch(2, no)
	r.s.batchesStored(2)
	if _, err := r.s.Claim(no, Claim{By: "x"}); err == nil {
		t.Error("entry claimed on a failing disk")
	}
	if e := r.entry(no); e.Claim != nil || e.lastSubmission().ID != id {
		t.Errorf("%+v", e)
	}
	c := r.disk.Clone() // the disk after a kill at this moment: the end of the submission is unknown
	r.disk.Fault = nil
	r.s.Cleanup()
	if len(r.s.unwritten) > 0 {
		t.Error("events are still unwritten after the disk works again")
	}
	if e, err := r.s.Claim(no, Claim{By: "x"}); err != nil || e.Claim.Number <= claim {
		t.Error(err)
	}
	r.open(nil)
	r.want(no, Waiting, true)
	if e := r.entry(no); e.lastSubmission().ID != id || len(e.History) != 6 {
		t.Errorf("%+v", e)
	}
	r.disk = c
	r.open(nil)
	if e := r.entry(no); e.State != Waiting || !slices.Contains(e.Doubt.IDs, id) || e.lastSubmission().Disposition != "unknown" {
		t.Errorf("after a kill before the end was written: %+v", e)
	}
}

// When the disk share is used up, entries are evicted: the oldest first or, with EvictLeastWorth, those of the least
// worth. An entry in flight stays.
func TestWhereTheShareIsUsedUp(t *testing.T) {
	t.Parallel()
	for _, least := range []bool{false, true} {
		r := newRig(t)
		r.set.MaxDiskBytes, r.set.EvictLeastWorth, r.set.RefusedSlots = MinDiskBytes, least, 0
		r.open(nil)
		inFlight := r.keep("away", "free")
		r.claimAndBegin(inFlight)
		classes := []string{"free", "unsafe", "keyed"}
		for i := range 300 {
			id := fmt.Sprint("m", i)
			m := message(id, classes[i%3])
			if no, err := r.s.Keep(m, r.failedSubmission(id)); err == nil {
				r.s.setEndBatch(1, no)
				r.s.batchesStored(1)
			} else if !errors.Is(err, ErrNoSpace) {
				t.Fatal(err)
			}
			if u := r.s.DiskBytes(); u > r.set.MaxDiskBytes || u < r.disk.Used()-blockSize {
				t.Fatalf("%d bytes used as counted, %d on the disk, limit %d", u, r.disk.Used(), r.set.MaxDiskBytes)
			}
		}
		if r.s.Counts.Evicted == 0 {
			t.Fatal("no entry was evicted")
		}
		r.want(inFlight, InFlight, true)
		count := map[string]int{}
		oldest := uint64(1 << 60)
		r.s.Each(0, func(s Summary) bool {
			count[s.Class]++
			if s.Number != inFlight {
				oldest = min(oldest, s.Number)
			}
			return true
		})
		if least && (count["keyed"] != 0 || count["unsafe"] < 40) || !least && (count["keyed"] < 10 || oldest < 200) {
			t.Errorf("evict least worth %v: entries left by class %v, oldest %d", least, count, oldest)
		}
		// The reserved part of the disk share has room for events of claimed entries.
		id := r.s.ActiveClaim(inFlight).SubmittedID
		r.s.SubmissionEnded(id, r.failedSubmission(id))
		if len(r.s.unwritten) > 0 {
			t.Error("no room for the end of an entry in flight")
		}
	}
}

// Entries are removed after the retention of their class, ended ones after that of ended entries. An entry in flight
// stays.
func TestRetentionByAgeAndClass(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.open(nil)
	unsafe, keyed, inFlight, ended := r.keep("u", "unsafe"), r.keep("k", "keyed"), r.keep("a", "keyed"), r.keep("e", "unsafe")
	r.claimAndBegin(inFlight)
	r.s.End(ended, EndDropped, "ana", "old", "t")
	if e := r.entry(ended); len(e.Body) > 0 || e.Bytes == 0 || e.History[1].By != "ana" {
		t.Errorf("dropped entry: %+v", e)
	}
	wantEntries := func(want ...uint64) {
		t.Helper()
		r.s.Cleanup()
		var got []uint64
		r.s.Each(0, func(s Summary) bool { got = append(got, s.Number); return true })
		if !slices.Equal(got, want) {
			t.Errorf("after %v: entries %v, want %v", r.now.Sub(time.Unix(1000, 0)), got, want)
		}
	}
	wantEntries(unsafe, keyed, inFlight, ended)
	r.advance(51 * time.Second)
	wantEntries(unsafe, inFlight, ended)
	r.advance(50 * time.Second)
	wantEntries(unsafe, inFlight)
	r.advance(900 * time.Second)
	wantEntries(inFlight)
}

// slowDir is a folder whose listing takes time.
type slowDir struct {
	journal.Dir
	wait func()
}

func (d slowDir) List() ([]string, error) {
	d.wait()
	return d.Dir.List()
}

// A slow start must not be taken for a step of the wall clock, neither by that start nor by the next. Otherwise the
// ages of doubts would count as unknown.
func TestSlowStart(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.open(nil)
	no := r.keep("u", "unsafe")
	for _, listTime := range []time.Duration{5 * time.Second, 0, 5 * time.Second} {
		r.advance(time.Second)
		r.disk.Crash()
		s, err := Open(slowDir{r.disk.Dir(), func() { r.advance(listTime) }}, r.set)
		if err != nil {
			t.Fatal(err)
		}
		s.Reconcile(nil, nil)
		r.s = s
		before := s.Now()
		claim, _ := r.claimAndBegin(no)
		s.Release(no, claim, "x")
		if sum := r.get(no); sum.Doubt.AgeUnknown || s.Now() != before {
			t.Fatalf("slow start taken for a step of the clock: age known %v", !sum.Doubt.AgeUnknown)
		}
	}
	if age := r.s.Now() - r.get(no).Doubt.FirstSent; age < 14*second || age > 15*second {
		t.Errorf("age is %d s, want 14 to 15", age/second)
	}
}

// A step of the wall clock must never make a doubt look younger than it is.
func TestAClockThatIsSet(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		run, step, down, skew time.Duration // run time, step while running, down time, step while down
		ageless               bool
	}{
		"not set":                                    {run: time.Minute, down: time.Minute},
		"set back while down":                        {run: time.Minute, down: time.Minute, skew: -2 * time.Minute, ageless: true},
		"set back by less than the time down":        {run: time.Minute, down: 2 * time.Minute, skew: -time.Minute},
		"set back while running":                     {run: time.Minute, step: -time.Hour, down: time.Minute},
		"set forward while running":                  {run: time.Minute, step: time.Hour, down: time.Minute},
		"set forward while running, back while down": {run: time.Minute, step: time.Hour, down: time.Minute, skew: -time.Hour, ageless: true},
		"set forward while down, age too large":      {run: time.Minute, down: time.Minute, skew: time.Hour},
	} {
		r := newRig(t)
		r.open(nil)
		no := r.keep("u", "unsafe")
		r.advance(c.run)
		r.s.Tick()
		r.wall = r.wall.Add(c.step)
		r.s.Tick()
		r.advance(c.run)
		if c.step == 0 { // otherwise the step itself makes Tick write the times
			r.s.Cleanup()
		}
		r.now, r.wall = r.now.Add(c.down), r.wall.Add(c.down+c.skew)
		r.open(nil)
		s := r.get(no)
		age := r.s.Now() - s.Doubt.FirstSent
		least := Time((2*c.run + c.down + min(c.skew, 0)).Microseconds())
		if s.Doubt.AgeUnknown != c.ageless || !c.ageless && age < least {
			t.Errorf("%s: age %d s, known %v", name, age/second, !s.Doubt.AgeUnknown)
		}
		if s.Doubt.QuietFrom < r.s.Now() {
			t.Errorf("%s: calls of an earlier process count as over since before this one started", name)
		}
		r.open(nil)
		if r.get(no).Doubt.AgeUnknown != c.ageless {
			t.Errorf("%s: the next start changed whether the age is known", name)
		}
	}
}

// A message that is submitted again is compared with the entries. It is answered as already ended or as busy, or it is
// accepted; in some cases the entry is then held.
func TestTheSameMessageHandedInAgain(t *testing.T) {
	t.Parallel()
	with := func(id, key string) *engine.Message {
		m := message(id, "unsafe")
		m.Key, m.Body = key, []byte("the same")
		return m
	}
	for name, c := range map[string]struct {
		key     string // of the kept message
		doubt   bool
		do      func(r *rig, no uint64)
		again   *engine.Message
		verdict engine.VerdictKind
		held    bool
	}{
		"same id":                       {again: with("u", ""), verdict: engine.AlreadyEnded},
		"same id, in flight":            {do: func(r *rig, no uint64) { r.claimAndBegin(no) }, again: with("u", ""), verdict: engine.AlreadyEnded},
		"same key, in doubt":            {key: "k", doubt: true, again: with("v", "k"), verdict: engine.AlreadyEnded},
		"same key, never ran":           {key: "k", again: with("v", "k"), verdict: engine.Accepted, held: true},
		"same key, in flight":           {key: "k", do: func(r *rig, no uint64) { r.claimAndBegin(no) }, again: with("v", "k"), verdict: engine.Busy},
		"another key":                   {key: "k", doubt: true, again: with("v", "l"), verdict: engine.Accepted},
		"same content without a key":    {doubt: true, again: with("v", ""), verdict: engine.Accepted, held: true},
		"another content without a key": {doubt: true, again: message("v", "unsafe"), verdict: engine.Accepted},
		"id of a resend":                {again: with(resentID(0x9E3779B97F4A7C15, 1, 2), ""), verdict: engine.AlreadyEnded},
		"same key, delivered by a resend": {key: "k", do: func(r *rig, no uint64) {
			_, id := r.claimAndBegin(no)
			r.s.SubmissionEnded(id, Submission{ID: id, Disposition: EndDelivered})
		}, again: with("v", "k"), verdict: engine.AlreadyEnded},
		"same key, dropped": {key: "k", doubt: true, do: func(r *rig, no uint64) { r.s.End(no, EndDropped, "ana", "x", "") }, again: with("v", "k"), verdict: engine.Accepted},
	} {
		r := newRig(t)
		r.open(nil)
		l := r.failedSubmission("u")
		if !c.doubt {
			l.DoubtAt = 0
		}
		no, err := r.s.Keep(with("u", c.key), l)
		if err != nil {
			t.Fatal(err)
		}
		r.s.setEndBatch(1, no)
		r.s.batchesStored(1)
		if c.do != nil {
			c.do(r, no)
		}
		for _, when := range []string{"at once", "after a restart"} {
			if when != "at once" {
				if c.do != nil {
					break
				}
				r.open(nil)
			}
			if kind, why := r.s.CheckDuplicate(c.again); kind != c.verdict {
				t.Errorf("%s, %s: verdict %v %s", name, when, kind, why)
			}
		}
		if c.verdict == engine.Accepted {
			r.s.HoldDuplicates(c.again)
		}
		if s := r.get(no); (s.HoldReason != "") != c.held {
			t.Errorf("%s: hold reason %q", name, s.HoldReason)
		}
	}
	// Messages that are harmless to repeat and keys of ordered classes are not checked.
	r := newRig(t)
	r.open(nil)
	r.keep("f", "free")
	m := message("o", "ordered")
	m.Key = "k"
	if _, err := r.s.Keep(m, r.failedSubmission("o")); err != nil {
		t.Fatal(err)
	}
	other := message("p", "ordered")
	other.Key = "k"
	again := message("g", "free")
	again.Body = []byte("body of f")
	for _, m := range []*engine.Message{other, again} {
		if kind, why := r.s.CheckDuplicate(m); kind != engine.Accepted {
			t.Errorf("%s: %s", m.ID, why)
		}
		r.s.HoldDuplicates(m)
	}
	r.s.Each(0, func(s Summary) bool {
		if s.HoldReason != "" {
			t.Errorf("%s: hold reason %q", s.Class, s.HoldReason)
		}
		return true
	})
}

// Refused messages are listed and not kept. The list is bounded to the newest ones.
func TestRefusedMessagesAreOnlyListed(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.open(nil)
	for i := range 20 {
		r.s.RecordRefused(RefusedMessage{ID: fmt.Sprint("m", i), Class: "unsafe", Cause: "crowds", Destination: i})
		if i == 10 {
			r.open(nil)
		}
	}
	r.s.RecordRefused(RefusedMessage{ID: strings.Repeat("\x00", 100), Class: "x"})
	list, err := ReadRefused(r.dir())
	if err != nil || len(list) != 8 || list[0].ID != "m13" || list[6].ID != "m19" || list[6].Destination != 19 {
		t.Errorf("error %v, refused messages %+v", err, list)
	}
	if size := len(r.disk.Read(refusedName)); size > 8*refusedSlotSize {
		t.Errorf("the list of refused messages has %d bytes", size)
	}
	if r.s.Len() != 0 {
		t.Error("a refused message is kept")
	}
}

// An entry whose history is full can no longer be claimed.
func TestAnEntryWhoseHistoryIsFullIsLeftAlone(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.open(nil)
	no := r.keep("u", "unsafe")
	for range maxHistoryEvents {
		e, err := r.s.Claim(no, Claim{By: "rule x"})
		if err != nil {
			if n := len(r.entry(no).History); n < maxHistoryEvents {
				t.Errorf("claim failed after only %d events: %v", n, err)
			}
			return
		}
		r.s.Release(no, e.Claim.Number, "x")
	}
	t.Error("the history grows without limit")
}
