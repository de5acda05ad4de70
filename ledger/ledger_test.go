package ledger

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

var epoch = NewEpoch(7, 1, ReasonNoLedger, "")

func book(t *testing.T, s Settings) *Ledger {
	t.Helper()
	l, err := New(s, epoch)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func key(n int) Key { return Key{Class: fmt.Sprintf("c%d", n%3), Destination: n, Tenant: "t"} }

// Any order of postings that messages can make keeps all equations, also over a store that takes all leaves, and where
// there are more keys than accounts.
func TestFiguresAddUpWhateverIsPostedAndOutlastTheProcess(t *testing.T) {
	t.Parallel()
	for seed := range uint64(30) {
		r := rand.New(rand.NewPCG(seed, 1))
		l := book(t, Settings{Instance: "d", MaxAccounts: 5})
		store := map[uint64][]byte{}
		var open []*Account
		var before *Snapshot
		for step := range 2000 {
			switch n := r.IntN(12); {
			case n < 5:
				a := l.Account(key(r.IntN(9)))
				l.PostPending(a, Accepted)
				if r.IntN(5) == 0 {
					l.DropPending(a, Accepted)
				} else {
					l.ConfirmPending(a, Accepted)
					open = append(open, a)
				}
			case n < 10 && len(open) > 0:
				i := r.IntN(len(open))
				l.Post(open[i], []Entry{Delivered, Refused, Failed}[r.IntN(3)])
				open = slices.Delete(open, i, i+1)
			case n == 10 && len(open) > 0:
				i := r.IntN(len(open))
				to := l.Account(key(r.IntN(9)))
				l.Transfer(open[i], to)
				open[i] = to
			case n == 11:
				a := l.Account(key(r.IntN(9)))
				l.Post(a, AttemptSent)
				l.Post(a, []Entry{AttemptAnswered, AttemptRefused, AttemptUnanswered}[r.IntN(3)])
			}
			l.CompareTransfers()
			if r.IntN(50) != 0 {
				continue
			}
			for !l.WriteLeaves(2, func(f Leaf) { store[f.Number] = f.Text }) {
			}
			var leaves []Leaf
			for n, text := range store {
				if len(text) > MaxLeafBytes {
					t.Fatalf("a leaf of %d bytes", len(text))
				}
				leaves = append(leaves, Leaf{n, text})
			}
			was := l.Snapshot(int64(step))
			after, err := Restore(Settings{Instance: "d", MaxAccounts: 50}, leaves, NewEpoch(9, 9, ReasonNoLedger, ""))
			if err != nil {
				t.Fatal(err)
			}
			is := after.Snapshot(int64(step))
			a, _ := json.Marshal(was)
			b, _ := json.Marshal(is)
			if !bytes.Equal(a, b) {
				t.Fatalf("seed %d: restored as\n%s, was\n%s", seed, b, a)
			}
			if len(was.Accounts) > 6 {
				t.Fatalf("%d accounts, 5 and other are allowed", len(was.Accounts))
			}
			if bad := is.Check(); len(bad) > 0 {
				t.Fatalf("seed %d: %+v", seed, bad)
			}
			if before != nil {
				if d, err := Diff(before, is); err != nil || d.EpochChanged || len(d.Decreases) > 0 {
					t.Fatalf("seed %d: %v %+v", seed, err, d)
				}
			}
			if uint64(is.Total.Open) != uint64(len(open)) {
				t.Fatalf("seed %d: %d open, %d are", seed, is.Total.Open, len(open))
			}
			before = is
			open2 := make([]*Account, len(open))
			for i, a := range open {
				open2[i] = after.Account(a.key)
			}
			l, open = after, open2
		}
	}
}

func TestHostileNamesTakeNoAccountsBeyondTheBound(t *testing.T) {
	t.Parallel()
	l := book(t, Settings{MaxAccounts: 100})
	for i := range 100_000 {
		l.Post(l.Account(Key{Class: fmt.Sprint("x", i), Tenant: strings.Repeat("y", i%100)}), Accepted)
	}
	s := l.Snapshot(0)
	if len(s.Accounts) != 101 || s.Total.Accepted != 100_000 || len(s.Check()) > 0 {
		t.Errorf("%d accounts, %d taken, %v", len(s.Accounts), s.Total.Accepted, s.Check())
	}
	if last := s.Accounts[100]; !last.Key.Other || last.Accepted < 99_900 {
		t.Errorf("the last account is %+v", last)
	}
}

func TestCountsBeyond53BitsSurviveJSON(t *testing.T) {
	t.Parallel()
	for text, want := range map[string]Count{
		`"9007199254740993"`: 1<<53 + 1, `9007199254740993`: 1<<53 + 1, `"18446744073709551615"`: math.MaxUint64, `0`: 0,
	} {
		var c Count
		if err := json.Unmarshal([]byte(text), &c); err != nil || c != want {
			t.Errorf("%s is read as %d: %v", text, c, err)
		}
	}
	for _, text := range []string{`"-1"`, `1.5`, `""`, `"18446744073709551616"`, `"`, `{}`} {
		var c Count
		if json.Unmarshal([]byte(text), &c) == nil {
			t.Errorf("%s is read as %d", text, c)
		}
	}
	s := &Snapshot{Format: Format, Epoch: epoch, Total: Counts{Accepted: math.MaxUint64}}
	out, err := json.Marshal(s)
	if err != nil || !bytes.Contains(out, []byte(`"taken":"18446744073709551615"`)) {
		t.Fatalf("%v %s", err, out)
	}
	back, err := ReadSnapshot(bytes.NewReader(out))
	if err != nil || back.Total != s.Total {
		t.Errorf("%v %+v", err, back)
	}
	for _, text := range []string{"", "{}", `{"format":2}`, `{"format":1,"epoch":{"id":"zz"}}`} {
		if _, err := ReadSnapshot(strings.NewReader(text)); !errors.Is(err, ErrFormat) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func TestBreachesStayOnRecord(t *testing.T) {
	t.Parallel()
	l := book(t, Settings{})
	l.SetWallTime(10)
	a, b := l.Account(key(1)), l.Account(key(2))
	l.Compare(a.key, CheckLiveOpen, 1, 2)
	l.SetWallTime(20)
	l.Compare(b.key, CheckLiveOpen, 5, 2) // while the first stands
	l.Compare(a.key, CheckLiveOpen, 2, 3) // the same one
	l.SetWallTime(30)
	l.Compare(a.key, CheckLiveOpen, 4, 4) // heals
	l.Compare(a.key, CheckLiveOpen, 4, 5) // a further one
	var leaves []Leaf
	l.WriteLeaves(10, func(f Leaf) { leaves = append(leaves, f) })
	after, err := Restore(Settings{}, leaves, epoch)
	if err != nil {
		t.Fatal(err)
	}
	want := []Breach{
		{a.key, CheckLiveOpen, 1, 2, 10, 30}, {b.key, CheckLiveOpen, 5, 2, 20, 0}, {a.key, CheckLiveOpen, 4, 5, 30, 0},
	}
	for _, l := range []*Ledger{l, after} {
		if got := l.Snapshot(0).Breaches; !slices.Equal(got, want) {
			t.Errorf("on record: %+v", got)
		}
		if n := len(l.Snapshot(0).Check()); n != 2 || l.StandingBreaches() != 2 {
			t.Errorf("%d stand", n)
		}
	}
	if fresh := l.TakeNewBreaches(); len(fresh) != 4 || l.TakeNewBreaches() != nil {
		t.Errorf("told: %+v", fresh)
	}
	for i := range 1000 {
		l.Compare(key(i), CheckLiveAttempts, 0, 1)
	}
	if s := l.Snapshot(0); len(s.Breaches) != mostBreaches || s.MoreBreaches != 1000+3-mostBreaches {
		t.Errorf("%d breaches and %d more", len(s.Breaches), s.MoreBreaches)
	}
	l.TakeNewBreaches()
	l.Compare(key(999), CheckLiveAttempts, 3, 4) // one that is not kept, as it was
	if fresh := l.TakeNewBreaches(); fresh != nil || l.StandingBreaches() != 2+1000 {
		t.Errorf("told again: %+v, %d stand", fresh, l.StandingBreaches())
	}
}

func TestSumKnowsEpochsAndWhatIsLeftOpen(t *testing.T) {
	t.Parallel()
	shot := func(instance string, e Epoch, wall int64, f Counts) *Snapshot {
		return &Snapshot{Format: Format, Instance: instance, Epoch: e, Wall: wall, Total: f, Accounts: []AccountCounts{{key(1), f}}}
	}
	first, second := NewEpoch(1, 1, ReasonNoLedger, ""), NewEpoch(2, 50, ReasonDamage, NewEpoch(1, 0, "", "").ID)
	f, err := Sum(
		shot("a", first, 10, Counts{Accepted: 5, Delivered: 1, Open: 4}),
		shot("a", first, 5, Counts{Accepted: 10, Delivered: 3, Open: 7}), // later, though its clock shows less
		shot("a", second, 100, Counts{CarriedOver: 5, Accepted: 1, Failed: 2, Open: 4}),
		shot("b", first, 30, Counts{Accepted: 3, Open: 3}),
	)
	if err != nil {
		t.Fatal(err)
	}
	if in, out := f.Total.Sides(); in != 14 || in != out+f.Parts[0].Unaccounted || f.Parts[0].Unaccounted != 2 || f.Total.Open != 7 {
		t.Errorf("%d came in, %d went out: %+v", in, out, f)
	}
	if p := f.Parts[2]; p.Instance != "b" || p.Behind != 70 || p.Open != 3 {
		t.Errorf("what a machine left that is lost: %+v", p)
	}
	d, err := Diff(shot("a", first, 1, Counts{Accepted: 5}), shot("a", first, 2, Counts{Accepted: 4}))
	if err != nil || len(d.Decreases) != 1 || d.Decreases[0].Counter != "taken" {
		t.Errorf("%v %+v", err, d)
	}
	d, err = Diff(shot("a", first, 1, Counts{Accepted: 5}), shot("a", second, 2, Counts{Accepted: 4}))
	if err != nil || !d.EpochChanged || len(d.Decreases) != 0 {
		t.Errorf("%v %+v", err, d)
	}
}

func TestCheckFindsWhatDoesNotAddUp(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]Counts{
		CheckMessages: {Accepted: 2, Open: 1}, CheckAttempts: {Attempts: Attempts{Sent: 1}}, CheckDoubt: {Doubt: Doubt{Open: 1}}, CheckTransfers: {MovedIn: 1, Open: 1},
	} {
		s := &Snapshot{Format: Format, Epoch: epoch, Total: f, Accounts: []AccountCounts{{key(1), f}}}
		if bad := s.Check(); len(bad) != 1 || bad[0].Check != name {
			t.Errorf("%s: %+v", name, bad)
		}
	}
	s := &Snapshot{Format: Format, Epoch: epoch, Total: Counts{Accepted: 1, Open: 1}}
	if bad := s.Check(); len(bad) != 2 || !strings.HasPrefix(bad[0].Check, CheckTotals) {
		t.Errorf("%+v", bad)
	}
}

func FuzzRestore(f *testing.F) {
	f.Add([]byte{7, 0, 0, 0, 0, 1, 'c', 1, 't', 2, 2, 1}, []byte{1, '7', 2, 0, 0, 1, 0})
	f.Fuzz(func(t *testing.T, account, head []byte) {
		l, err := Restore(Settings{}, []Leaf{{epochLeaf, head}, {firstAccount, account}}, epoch)
		if err == nil && len(l.Snapshot(0).Accounts) > 1 {
			t.Error("one leaf makes two accounts")
		}
	})
}
