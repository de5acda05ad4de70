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

func TestWhatIsKeptOutlastsTheProcessWithItsHistory(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.open(nil)
	no := r.keep("u", "unsafe")
	r.pass(10 * time.Second)
	claim, id := r.hand(no)
	r.want(no, InFlight, true)
	l := r.life(id)
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
		t.Errorf("history %v, was %v", e.History, before.History)
	}
	_, id = r.hand(no)
	if _, ok := r.s.SubmissionEnded(id, Submission{ID: id, Disposition: EndDelivered}); !ok {
		t.Fatal("its end is not taken")
	}
	r.open(nil)
	r.want(no, Ended, true)
	if e := r.entry(no); e.Disposition != EndDelivered || len(e.Body) > 0 || e.Bytes != 9 || e.Resends != 2 || len(e.History) != 7 {
		t.Errorf("%+v", e)
	}
	if len(r.disk.Names()) != 3 { // the entry, the numbers and what is refused
		t.Errorf("files %v", r.disk.Names())
	}
}

func TestOnlyTheOwnerMayReadTheFiles(t *testing.T) {
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
	r.hand(no)
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

// Who comes second is told who won, and numbers of claims only grow, also over restarts and when entries have gone.
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
		t.Errorf("the second: %v", err)
	}
	last := first.Claim.Number
	for range 5 {
		r.open(nil)
		r.want(no, Claimed, true) // an operator's stays
		if c := r.s.ActiveClaim(no); c == nil || c.Number != first.Claim.Number {
			t.Fatalf("claim %+v", c)
		}
		one := r.keep(fmt.Sprint("v", last), "unsafe")
		e, err := r.s.Claim(one, Claim{By: "rule x"})
		if err != nil || e.Claim.Number <= last || one <= last {
			t.Fatalf("claim %d, entry %d after %d: %v", e.Claim.Number, one, last, err)
		}
		last = e.Claim.Number
		if err := r.s.remove(r.s.row(one)); err != nil {
			t.Fatal(err)
		}
	}
	r.pass(101 * time.Second)
	if got, _ := r.s.Cleanup(); !slices.Equal(got, []uint64{no}) {
		t.Errorf("given back %v", got)
	}
	r.want(no, Waiting, true)
	if _, err := r.s.Claim(no, Claim{By: "rule x"}); err != nil {
		t.Error(err)
	}
	r.open(nil)
	r.want(no, Waiting, true) // a rule's does not stay
}

func TestNothingIsClaimedBeforeTheJournalHasItsEnd(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.open(nil)
	no, err := r.s.Keep(message("u", "unsafe"), r.life("u"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.s.Claim(no, Claim{By: "x"}); !errors.Is(err, ErrEndNotStored) {
		t.Errorf("claimed: %v", err)
	}
	r.s.await(5, no)
	if got := r.s.stored(4); len(got) > 0 {
		t.Errorf("free %v with batch 4", got)
	}
	r.s.lost(4) // that batch never came into the journal
	if got := r.s.stored(9); len(got) > 0 {
		t.Errorf("free %v without a batch", got)
	}
	r.s.await(10, no)
	if got := r.s.stored(10); !slices.Equal(got, []uint64{no}) {
		t.Errorf("free %v", got)
	}
	_, id := r.hand(no)
	r.s.SubmissionEnded(id, r.life(id))
	if _, err := r.s.Claim(no, Claim{By: "x"}); !errors.Is(err, ErrEndNotStored) {
		t.Errorf("claimed after its next life: %v", err)
	}
}

// A message that the journal has alive is nowhere else; what it has as ended stays here.
func TestTheJournalsWordCountsAtAStart(t *testing.T) {
	t.Parallel()
	alive := func(id string, owed *engine.PendingResult) *engine.RestoredMessage {
		return &engine.RestoredMessage{Message: engine.Message{ID: id, Class: "unsafe"}, Pending: owed}
	}
	failed := &engine.PendingResult{Disposition: engine.Failed}
	for name, c := range map[string]struct {
		do    func(r *rig, no uint64) string // returns the id of a new life
		live  func(id string) []*engine.RestoredMessage
		ended func(id string) *engine.RestoredEnd
		state State // "": gone
		doubt bool  // of the new life
	}{
		"kept, and alive there": {live: func(string) []*engine.RestoredMessage { return []*engine.RestoredMessage{alive("u", nil)} }},
		"kept, and owed there":  {live: func(string) []*engine.RestoredMessage { return []*engine.RestoredMessage{alive("u", failed)} }, state: Waiting},
		"kept, and ended there": {state: Waiting},
		"handed in, unknown there": {
			do: func(r *rig, no uint64) string { _, id := r.hand(no); return id }, state: Waiting, doubt: true,
		},
		"handed in, alive there": {
			do:   func(r *rig, no uint64) string { _, id := r.hand(no); return id },
			live: func(id string) []*engine.RestoredMessage { return []*engine.RestoredMessage{alive(id, nil)} }, state: InFlight,
		},
		"handed in, owed there in doubt": {
			do: func(r *rig, no uint64) string { _, id := r.hand(no); return id },
			live: func(id string) []*engine.RestoredMessage {
				m := alive(id, failed)
				m.DoubtAt = 1
				return []*engine.RestoredMessage{m}
			}, state: Waiting, doubt: true,
		},
		"handed in, refused there": {
			do: func(r *rig, no uint64) string { _, id := r.hand(no); return id },
			live: func(id string) []*engine.RestoredMessage {
				return []*engine.RestoredMessage{alive(id, &engine.PendingResult{Disposition: engine.Refused})}
			}, state: Waiting,
		},
		"handed in, delivered there": {
			do:    func(r *rig, no uint64) string { _, id := r.hand(no); return id },
			ended: func(id string) *engine.RestoredEnd { return &engine.RestoredEnd{ID: id, Disposition: engine.Delivered} }, state: Ended,
		},
		"handed in, failed there": {
			do:    func(r *rig, no uint64) string { _, id := r.hand(no); return id },
			ended: func(id string) *engine.RestoredEnd { return &engine.RestoredEnd{ID: id, Disposition: engine.Failed} }, state: Waiting, doubt: true,
		},
		"its end here, alive there": {
			do: func(r *rig, no uint64) string {
				_, id := r.hand(no)
				l := r.life(id)
				l.DoubtAt = 0
				r.s.SubmissionEnded(id, l)
				return id
			},
			live: func(id string) []*engine.RestoredMessage { return []*engine.RestoredMessage{alive(id, nil)} }, state: InFlight,
		},
		"delivered here, alive there": {
			do: func(r *rig, no uint64) string {
				_, id := r.hand(no)
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
			t.Errorf("%s: %q, want %q", name, s.State, c.state)
			continue
		}
		if ok && id != "" && slices.Contains(r.entry(no).Doubt.IDs, id) != c.doubt {
			t.Errorf("%s: in doubt %v", name, r.entry(no).Doubt.IDs)
		}
		if c.state == InFlight { // its end comes by the keeper, once
			if _, ok := r.s.SubmissionEnded(id, Submission{ID: id, Disposition: EndDelivered}); !ok || r.get(no).State != Ended || r.entry(no).Resends != 1 {
				t.Errorf("%s: its end is not taken: %+v", name, r.entry(no))
			}
		}
	}
}

// The process ends in each operation of the disk, before it, in the middle and behind it: what was written counts or does
// not, numbers are never used twice, and what was handed in is never forgotten.
func TestAProcessThatEndsAtAnyWrite(t *testing.T) {
	t.Parallel()
	play := func(r *rig) (did []string) {
		defer func() { r.t.Logf("%v", did) }()
		if _, err := r.tryOpen(nil); err != nil {
			return did
		}
		no, err := r.s.Keep(message("u", "unsafe"), Submission{ID: "u", Disposition: "failed", Cause: "tries"})
		if err != nil {
			return did
		}
		did = append(did, "kept")
		r.s.await(1, no)
		r.s.stored(1)
		for range 2 {
			e, err := r.s.Claim(no, Claim{By: "rule x"})
			if err != nil {
				return did
			}
			did = append(did, fmt.Sprint("claim ", e.Claim.Number))
			m, err := r.s.BeginSubmission(no, e.Claim.Number)
			if err != nil {
				return did
			}
			did = append(did, "handed "+m.ID)
			how := "failed"
			if len(did) > 4 {
				how = EndDelivered
			}
			r.s.SubmissionEnded(m.ID, Submission{ID: m.ID, Disposition: how})
			if r.s.dirty[no] != nil {
				return did
			}
			did = append(did, how)
			r.s.await(1, no)
			r.s.stored(1)
		}
		return append(did, "all")
	}
	whole := newRig(t)
	play(whole)
	ops := whole.disk.Ops()
	if ops < 12 {
		t.Fatalf("%d operations", ops)
	}
	for op := range ops {
		for _, land := range []int{0, 7, 1 << 20} {
			r := newRig(t)
			r.disk.Fault = func(o memdir.Op) memdir.Fault { return memdir.Fault{Crash: o.Index == op, WrittenBytes: land} }
			did := play(r)
			if len(did) > 0 && did[len(did)-1] == "all" { // it ended as an old file was removed
				did = did[:len(did)-1]
			}
			r.disk.Fault = nil
			var live []*engine.RestoredMessage
			if !slices.Contains(did, "kept") { // the journal has it still
				live = append(live, &engine.RestoredMessage{Message: engine.Message{ID: "u"}})
			}
			s := r.open(live)
			at := fmt.Sprintf("operation %d, %d bytes landed, after %v", op, land, did)
			if len(did) == 0 {
				if s.Len() != 0 {
					t.Errorf("%s: it is in both", at)
				}
				continue
			}
			if s.Len() != 1 {
				t.Fatalf("%s: %d entries", at, s.Len())
			}
			no, _ := s.kept("u")
			e := r.entry(no)
			last := did[len(did)-1]
			id, handed := strings.CutPrefix(last, "handed ")
			switch {
			case last == EndDelivered && e.State != Ended:
				t.Errorf("%s: %s", at, e.State)
			case handed && e.State != Ended && !slices.Contains(e.Doubt.IDs, id) && !(e.life().ID == id && e.life().Disposition == "failed"):
				t.Errorf("%s: %s is forgotten: %+v", at, id, e)
			case e.State != Waiting && e.State != Ended:
				t.Errorf("%s: %s", at, e.State)
			}
			if n, err := s.number(); err != nil || slices.Contains(did, fmt.Sprint("claim ", n)) || n <= no {
				t.Errorf("%s: number %d again: %v", at, n, err)
			}
		}
	}
}

// A claim that can't be written is none.
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
		t.Errorf("claimed: %v", err)
	}
	r.want(no, Waiting, true)
	r.disk.Fault = nil
	claim, _ := r.hand(no)
	r.disk.Fault = func(memdir.Op) memdir.Fault { return memdir.Fault{Err: syscall.EIO} }
	r.s.Release(no, claim, "x") // told, and tried again
	other := r.disk.Clone()
	r.disk.Fault = nil
	if _, err := r.s.BeginSubmission(no, claim); err == nil {
		t.Error("handed in under a claim that was given back")
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
		t.Error("handed in though what was learned under the claim is not written")
	}
	r.disk = other
	r.open(nil)
	r.want(no, Waiting, true)
}

// A disk that takes nothing: nothing is kept or claimed, and what happened is written when it takes something again.
func TestADiskThatFails(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.open(nil)
	no := r.keep("u", "unsafe")
	claim, id := r.hand(no)
	for _, fault := range []error{syscall.ENOSPC, syscall.EIO} {
		r.disk.Fault = func(memdir.Op) memdir.Fault { return memdir.Fault{Err: fault, WrittenBytes: 20} }
		if _, err := r.s.Keep(message("v", "unsafe"), r.life("v")); !errors.Is(err, fault) || r.s.Counts.NotKept == 0 {
			t.Errorf("kept on a disk that fails: %v", err)
		}
	}
	r.s.SubmissionEnded(id, r.life(id))
	r.want(no, Waiting, true)
	r.s.await(2, no)
	r.s.stored(2)
	if _, err := r.s.Claim(no, Claim{By: "x"}); err == nil {
		t.Error("claimed on a disk that fails")
	}
	if e := r.entry(no); e.Claim != nil || e.life().ID != id {
		t.Errorf("%+v", e)
	}
	c := r.disk.Clone() // killed now, its end is not known
	r.disk.Fault = nil
	r.s.Cleanup()
	if len(r.s.dirty) > 0 {
		t.Error("what happened is not written when the disk is back")
	}
	if e, err := r.s.Claim(no, Claim{By: "x"}); err != nil || e.Claim.Number <= claim {
		t.Error(err)
	}
	r.open(nil)
	r.want(no, Waiting, true)
	if e := r.entry(no); e.life().ID != id || len(e.History) != 6 {
		t.Errorf("%+v", e)
	}
	r.disk = c
	r.open(nil)
	if e := r.entry(no); e.State != Waiting || !slices.Contains(e.Doubt.IDs, id) || e.life().Disposition != "unknown" {
		t.Errorf("killed before its end was written: %+v", e)
	}
}

func TestWhereTheShareIsUsedUp(t *testing.T) {
	t.Parallel()
	for _, least := range []bool{false, true} {
		r := newRig(t)
		r.set.MaxDiskBytes, r.set.EvictLeastWorth, r.set.RefusedSlots = MinDiskBytes, least, 0
		r.open(nil)
		away := r.keep("away", "free")
		r.hand(away)
		classes := []string{"free", "unsafe", "keyed"}
		for i := range 300 {
			id := fmt.Sprint("m", i)
			m := message(id, classes[i%3])
			if no, err := r.s.Keep(m, r.life(id)); err == nil {
				r.s.await(1, no)
				r.s.stored(1)
			} else if !errors.Is(err, ErrNoSpace) {
				t.Fatal(err)
			}
			if u := r.s.DiskBytes(); u > r.set.MaxDiskBytes || u < r.disk.Used()-block {
				t.Fatalf("%d used as counted, %d in truth, of %d", u, r.disk.Used(), r.set.MaxDiskBytes)
			}
		}
		if r.s.Counts.Evicted == 0 {
			t.Fatal("nothing had to go")
		}
		r.want(away, InFlight, true)
		count := map[string]int{}
		oldest := uint64(1 << 60)
		r.s.Each(0, func(s Summary) bool {
			count[s.Class]++
			if s.Number != away {
				oldest = min(oldest, s.Number)
			}
			return true
		})
		if least && (count["keyed"] != 0 || count["unsafe"] < 40) || !least && (count["keyed"] < 10 || oldest < 200) {
			t.Errorf("least worth first %v: %v are left, the oldest %d", least, count, oldest)
		}
		// What was claimed has room for what happens to it.
		id := r.s.ActiveClaim(away).SubmittedID
		r.s.SubmissionEnded(id, r.life(id))
		if len(r.s.dirty) > 0 {
			t.Error("the end of one that was away found no room")
		}
	}
}

func TestRetentionByAgeAndClass(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.open(nil)
	unsafe, keyed, away, ended := r.keep("u", "unsafe"), r.keep("k", "keyed"), r.keep("a", "keyed"), r.keep("e", "unsafe")
	r.hand(away)
	r.s.End(ended, EndDropped, "ana", "old", "t")
	if e := r.entry(ended); len(e.Body) > 0 || e.Bytes == 0 || e.History[1].By != "ana" {
		t.Errorf("dropped: %+v", e)
	}
	there := func(want ...uint64) {
		t.Helper()
		r.s.Cleanup()
		var got []uint64
		r.s.Each(0, func(s Summary) bool { got = append(got, s.Number); return true })
		if !slices.Equal(got, want) {
			t.Errorf("after %v: %v, want %v", r.now.Sub(time.Unix(1000, 0)), got, want)
		}
	}
	there(unsafe, keyed, away, ended)
	r.pass(51 * time.Second)
	there(unsafe, away, ended)
	r.pass(50 * time.Second)
	there(unsafe, away)
	r.pass(900 * time.Second)
	there(away)
}

// slowDir takes its time to be read.
type slowDir struct {
	journal.Dir
	wait func()
}

func (d slowDir) List() ([]string, error) {
	d.wait()
	return d.Dir.List()
}

// A start that takes long is no step of a clock: neither it nor the next one takes ages for unknown.
func TestAStartThatTakesLong(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.open(nil)
	no := r.keep("u", "unsafe")
	for _, takes := range []time.Duration{5 * time.Second, 0, 5 * time.Second} {
		r.pass(time.Second)
		r.disk.Crash()
		s, err := Open(slowDir{r.disk.Dir(), func() { r.pass(takes) }}, r.set)
		if err != nil {
			t.Fatal(err)
		}
		s.Reconcile(nil, nil)
		r.s = s
		before := s.Now()
		claim, _ := r.hand(no)
		s.Release(no, claim, "x")
		if sum := r.get(no); sum.Doubt.AgeUnknown || s.Now() != before {
			t.Fatalf("age known %v", !sum.Doubt.AgeUnknown)
		}
	}
	if age := r.s.Now() - r.get(no).Doubt.FirstSent; age < 14*second || age > 15*second {
		t.Errorf("an age of %d s after 14", age/second)
	}
}

// No step of a clock makes a doubt look younger than it is.
func TestAClockThatIsSet(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		run, step, down, skew time.Duration // run, then stepped while it runs, then down, with a step while it is
		ageless               bool
	}{
		"as it should be":                     {run: time.Minute, down: time.Minute},
		"set back while down":                 {run: time.Minute, down: time.Minute, skew: -2 * time.Minute, ageless: true},
		"set back while down, by less":        {run: time.Minute, down: 2 * time.Minute, skew: -time.Minute},
		"set back while it runs":              {run: time.Minute, step: -time.Hour, down: time.Minute},
		"set forward while it runs":           {run: time.Minute, step: time.Hour, down: time.Minute},
		"set forward, and back while down":    {run: time.Minute, step: time.Hour, down: time.Minute, skew: -time.Hour, ageless: true},
		"set forward while down: it is older": {run: time.Minute, down: time.Minute, skew: time.Hour},
	} {
		r := newRig(t)
		r.open(nil)
		no := r.keep("u", "unsafe")
		r.pass(c.run)
		r.s.Tick()
		r.wall = r.wall.Add(c.step)
		r.s.Tick()
		r.pass(c.run)
		if c.step == 0 { // a step is written at once
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
			t.Errorf("%s: calls of an earlier process count as over for longer than this one runs", name)
		}
		r.open(nil)
		if r.get(no).Doubt.AgeUnknown != c.ageless {
			t.Errorf("%s: the next start knows better", name)
		}
	}
}

func TestTheSameMessageHandedInAgain(t *testing.T) {
	t.Parallel()
	with := func(id, key string) *engine.Message {
		m := message(id, "unsafe")
		m.Key, m.Body = key, []byte("the same")
		return m
	}
	for name, c := range map[string]struct {
		key     string // of the kept one
		doubt   bool
		do      func(r *rig, no uint64)
		again   *engine.Message
		verdict engine.VerdictKind
		held    bool
	}{
		"same id":                       {again: with("u", ""), verdict: engine.AlreadyEnded},
		"same id, away":                 {do: func(r *rig, no uint64) { r.hand(no) }, again: with("u", ""), verdict: engine.AlreadyEnded},
		"same key, in doubt":            {key: "k", doubt: true, again: with("v", "k"), verdict: engine.AlreadyEnded},
		"same key, never ran":           {key: "k", again: with("v", "k"), verdict: engine.Accepted, held: true},
		"same key, away":                {key: "k", do: func(r *rig, no uint64) { r.hand(no) }, again: with("v", "k"), verdict: engine.Busy},
		"another key":                   {key: "k", doubt: true, again: with("v", "l"), verdict: engine.Accepted},
		"same content without a key":    {doubt: true, again: with("v", ""), verdict: engine.Accepted, held: true},
		"another content without a key": {doubt: true, again: message("v", "unsafe"), verdict: engine.Accepted},
		"the id of a new life":          {again: with(lifeID(0x9E3779B97F4A7C15, 1, 2), ""), verdict: engine.AlreadyEnded},
		"same key, took effect from here": {key: "k", do: func(r *rig, no uint64) {
			_, id := r.hand(no)
			r.s.SubmissionEnded(id, Submission{ID: id, Disposition: EndDelivered})
		}, again: with("v", "k"), verdict: engine.AlreadyEnded},
		"same key, dropped": {key: "k", doubt: true, do: func(r *rig, no uint64) { r.s.End(no, EndDropped, "ana", "x", "") }, again: with("v", "k"), verdict: engine.Accepted},
	} {
		r := newRig(t)
		r.open(nil)
		l := r.life("u")
		if !c.doubt {
			l.DoubtAt = 0
		}
		no, err := r.s.Keep(with("u", c.key), l)
		if err != nil {
			t.Fatal(err)
		}
		r.s.await(1, no)
		r.s.stored(1)
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
				t.Errorf("%s, %s: %v %s", name, when, kind, why)
			}
		}
		if c.verdict == engine.Accepted {
			r.s.HoldDuplicates(c.again)
		}
		if s := r.get(no); (s.HoldReason != "") != c.held {
			t.Errorf("%s: held %q", name, s.HoldReason)
		}
	}
	// Harmless ones, and the keys of a class in order, are not looked at.
	r := newRig(t)
	r.open(nil)
	r.keep("f", "free")
	m := message("o", "ordered")
	m.Key = "k"
	if _, err := r.s.Keep(m, r.life("o")); err != nil {
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
			t.Errorf("%s: held %q", s.Class, s.HoldReason)
		}
		return true
	})
}

func TestWhatIsRefusedIsListedOnly(t *testing.T) {
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
		t.Errorf("%v %+v", err, list)
	}
	if size := len(r.disk.Read(refusedName)); size > 8*refusedSlot {
		t.Errorf("%d bytes", size)
	}
	if r.s.Len() != 0 {
		t.Error("it is kept")
	}
}

func TestAnEntryWhoseHistoryIsFullIsLeftAlone(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.open(nil)
	no := r.keep("u", "unsafe")
	for range mostHistory {
		e, err := r.s.Claim(no, Claim{By: "rule x"})
		if err != nil {
			if n := len(r.entry(no).History); n < mostHistory {
				t.Errorf("after %d events: %v", n, err)
			}
			return
		}
		r.s.Release(no, e.Claim.Number, "x")
	}
	t.Error("its history grows without end")
}
