package undelivered

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"testing"

	"curlewmux/engine"
	"curlewmux/resend"
)

// newResentEntry returns a store with an entry that was resent twice, and the size of its file after each event.
func newResentEntry(t *testing.T) (r *rig, no uint64, name string, ends []int) {
	r = newRig(t)
	r.open(nil)
	no, err := r.s.Keep(message("u", "unsafe"), Submission{ID: "u", Disposition: "failed", Cause: "tries"})
	if err != nil {
		t.Fatal(err)
	}
	r.s.setEndBatch(1, no)
	r.s.batchesStored(1)
	name = r.s.FileName(no)
	note := func() { ends = append(ends, len(r.disk.Read(name))) }
	note()
	for range 2 {
		e, err := r.s.Claim(no, Claim{By: "rule x"})
		if err != nil {
			t.Fatal(err)
		}
		note()
		m, err := r.s.BeginSubmission(no, e.Claim.Number)
		if err != nil {
			t.Fatal(err)
		}
		note()
		r.s.SubmissionEnded(m.ID, Submission{ID: m.ID, Disposition: "refused", Cause: "time"})
		note()
		r.s.setEndBatch(1, no)
		r.s.batchesStored(1)
	}
	return r, no, name, ends
}

// Damage anywhere in a file must not lead to a resend by a rule, nor affect other messages.
func TestADamagedEntryIsNeverSentByARule(t *testing.T) {
	t.Parallel()
	r, no, name, _ := newResentEntry(t)
	other := r.keep("other", "unsafe")
	whole, disk := r.disk.Read(name), r.disk
	rules := &resend.Settings{
		Classes: r.set.Classes, Rules: []resend.Rule{{Name: "x", MaxResends: 9}},
		Partners: []resend.Partner{{Destination: 3, Proof: resend.ByInquiry, RememberTime: 1 << 50}},
	}
	seenStates := map[State]int{}
	for at := 0; at < len(whole)+512; at += 3 {
		for _, how := range []string{"a byte", "a block", "bytes behind the end"} {
			text := slices.Clone(whole)
			switch {
			case how == "bytes behind the end":
				text = append(text, bytes.Repeat([]byte{byte(at)}, 20)...)
			case at >= len(whole):
				continue
			case how == "a byte":
				text[at] ^= 1 << (at % 8)
			default:
				from := at / 512 * 512
				clear(text[from:min(from+512, len(text))])
			}
			r.disk = disk.Clone()
			r.disk.Put(name, text)
			for range 2 { // the next start detects the damage, too
				r.open(nil)
				r.want(other, Waiting, true)
				s := r.get(no)
				seenStates[s.State]++
				if s.State == Damaged {
					if _, err := r.s.Claim(no, Claim{By: "x"}); !errors.Is(err, ErrDamaged) {
						t.Fatalf("%s at %d: claim of a damaged entry: %v", how, at, err)
					}
					continue
				}
				if v := rules.Decide(&s.Item, r.s.Now()+1000*second); s.State != Held || v.Action != resend.Leave {
					t.Fatalf("%s at %d of %d: state %s, decision %v", how, at, len(whole), s.State, v)
				}
				if v := rules.DecideManual(&s.Item, r.s.Now()+1000*second, false); v.Action != resend.Leave {
					t.Fatalf("%s at %d: decision on a manual resend that nobody vouched for: %v", how, at, v)
				}
			}
			if s := r.get(no); s.State == Held { // an operator may still send it
				if _, id := r.claimAndBegin(no); id == "" {
					t.Fatal("submission without an id")
				}
			}
			if err := r.s.End(no, EndDropped, "ana", "damaged", ""); err != nil {
				t.Fatalf("%s at %d: drop: %v", how, at, err)
			}
		}
	}
	if seenStates[Damaged] == 0 || seenStates[Held] == 0 {
		t.Errorf("not both damaged and held entries occurred: %v", seenStates)
	}
}

// A truncated file must read as if the process had ended during that write.
func TestTruncatedEntryFile(t *testing.T) {
	t.Parallel()
	r, no, name, ends := newResentEntry(t)
	whole, disk := r.disk.Read(name), r.disk
	for size := range len(whole) {
		r.disk = disk.Clone()
		r.disk.Put(name, whole[:size])
		r.open(nil)
		n, _ := slices.BinarySearch(ends, size+1) // number of complete events
		if n == 0 {
			r.want(no, Damaged, false)
			r.open([]*engine.RestoredMessage{{Message: engine.Message{ID: "u"}}})
			if r.s.Len() != 0 {
				t.Fatalf("cut at %d: the message is in the store and in the journal", size)
			}
			continue
		}
		e := r.entry(no)
		if inDoubt := e.Doubt.FirstSent != 0; e.State != Waiting || inDoubt != (n%3 == 0) { // truncated after "handed"
			t.Fatalf("cut at %d after event %d: state %s, in doubt %v", size, n, e.State, inDoubt)
		}
	}
}

// One damaged copy of the meta file does no harm. If both are lost, the ages of doubts are unknown, but the store keeps
// its id and numbers still grow.
func TestDamagedMetaFile(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.open(nil)
	no := r.keep("u", "unsafe")
	r.keep("v", "unsafe")
	id := r.s.ID()
	whole, disk := r.disk.Read(metaName), r.disk
	for _, c := range []struct {
		text    []byte
		ageless bool
	}{
		{append(make([]byte, blockSize), whole[blockSize:]...), false}, // one copy is lost
		{append(slices.Clone(whole[:blockSize]), make([]byte, blockSize)...), false},
		{make([]byte, 2*blockSize), true},
		{nil, true},
		{whole[:20], true},
	} {
		r.disk = disk.Clone()
		r.disk.Put(metaName, c.text)
		r.open(nil)
		s := r.get(no)
		n, err := r.s.nextNumber()
		if s.Doubt.AgeUnknown != c.ageless || r.s.ID() != id || err != nil || n <= no {
			t.Errorf("age known %v, store id %x (was %x), next number %d after entry %d: %v", !s.Doubt.AgeUnknown, r.s.ID(), id, n, no, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	e := &Entry{Number: 7, ID: "u", Body: []byte("body"), Bytes: 4, Submissions: []Submission{{ID: "u"}}}
	b, _ := encodeFrame(7, 0, e, e.Body)
	f.Add(b)
	ev, _ := encodeFrame(7, int64(len(b)), Event{Kind: EventClaimed, Claim: &Claim{Number: 8}}, nil)
	f.Add(append(b, ev...))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := decode(7, b)
		if err != nil {
			if !errors.Is(err, ErrDamaged) && !errors.Is(err, errTruncated) {
				t.Fatal(err)
			}
			return
		}
		if e.Number != 7 || e.fileSize > int64(len(b)) {
			t.Fatalf("decoded entry: %+v", e)
		}
		again, err := encodeFrame(7, 0, e, e.Body)
		if err != nil {
			t.Fatal(err)
		}
		if o, err := decode(7, again); err != nil || fmt.Sprint(o.State) != fmt.Sprint(e.State) {
			t.Fatalf("%v: decoded again %+v, was %+v", err, o, e)
		}
	})
}

// A frame with valid checksums may hold any JSON. No event may make decoding panic or fail with another error.
func FuzzEvents(f *testing.F) {
	f.Add([]byte(`{"kind":"handed","id":"r"}`), []byte(`{"kind":"released"}`))
	f.Add([]byte(`{"kind":"over","life":{"id":"r","how":"delivered"}}`), []byte(`{"kind":"claimed"}`))
	f.Fuzz(func(t *testing.T, one, two []byte) {
		b, err := encodeFrame(7, 0, &Entry{Number: 7}, nil)
		if err != nil {
			t.Fatal(err)
		}
		for _, text := range [][]byte{one, two} {
			ev, err := encodeFrame(7, int64(len(b)), rawJSON(text), nil)
			if err != nil {
				return
			}
			b = append(b, ev...)
		}
		if _, err := decode(7, b); err != nil && !errors.Is(err, ErrDamaged) {
			t.Fatal(err)
		}
	})
}

type rawJSON []byte

func (r rawJSON) MarshalJSON() ([]byte, error) { return r, nil }
