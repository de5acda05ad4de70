package node

import (
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"curlewmux/internal/operator"
	"curlewmux/internal/vnet"
	"curlewmux/ledger"
)

// bookWatch looks at the ledger of a simulated dispatcher over all its processes: at each scrape the equations hold, no
// figure steps back, and no breach is ever found.
type bookWatch struct {
	t       *testing.T
	name    string
	w       *vnet.World
	mux     *vnet.Machine
	node    func() *Node
	newest  *ledger.Snapshot
	scrapes int
	losses  int // of power
}

// boots has a process that is about to begin keep books, and looks at them.
func (b *bookWatch) boots(cfg *Config) {
	cfg.Ledger = &Ledger{BootID: fmt.Sprint("boot ", b.losses), MaxAccounts: 1 + len(b.name)%4, OnBreach: func(f ledger.Breach) {
		b.t.Errorf("%s: at %v: %+v", b.name, b.w.Now(), f)
	}}
	b.w.After(time.Millisecond, func() { b.look(b.mux.Process()) })
}

func (b *bookWatch) look(p *vnet.Process) {
	if p == nil || b.mux.Process() != p || p.Dead() {
		return
	}
	if n := b.node(); n != nil {
		n.LedgerAsync(b.shown)
	}
	b.w.After(170*time.Millisecond, func() { b.look(p) })
}

func (b *bookWatch) shown(s *ledger.Snapshot) {
	b.scrapes++
	if bad := s.Check(); len(bad) > 0 {
		b.t.Errorf("%s: at %v: %+v", b.name, b.w.Now(), bad)
	}
	if old := b.newest; old != nil && !old.Provisional {
		if d, err := ledger.Diff(old, s); err != nil || d.EpochChanged || len(d.Decreases) > 0 {
			b.t.Errorf("%s: at %v: %v %+v", b.name, b.w.Now(), err, d)
		}
	}
	b.newest = s
}

// kept compares the books of a dispatcher that keeps what it can't deliver with what its clients counted, and adds up what
// was sent again.
func (s *keptSim) kept(again *int) {
	asked := s.books.scrapes
	s.until(time.Hour, "a last look at the books", func() bool { return s.books.scrapes > asked+1 && s.books.newest.Total.Open == 0 })
	f := s.books.newest.Total
	taken, most := 0, 0
	for _, code := range s.codes {
		if code == 202 {
			taken++
		}
		if code != 410 {
			most++
		}
	}
	if int(f.Accepted) < taken || int(f.Accepted) > most {
		s.t.Errorf("%s: %d taken, its clients counted %d to %d", s.books.name, f.Accepted, taken, most)
	}
	if f.MovedIn != f.Reopened || f.Accepted != f.Delivered+f.Refused+f.Failed-f.Reopened+f.Open {
		s.t.Errorf("%s: %+v", s.books.name, f)
	}
	*again += int(f.Reopened)
}

// The real program, killed again and again: figures are as exact as before, and a folder that is lost begins anew.
func TestFiguresOutlastTheProgramAndALostFolderIsSeen(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.operator = "[ledger]\n"
	w.endpoint("e", 3, "hooks", respond(200))
	w.endpoint("f", 2, "hooks", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusGone) })
	figures := func() *ledger.Snapshot {
		l, err := ledger.Restore(ledger.Settings{Instance: "n0"}, w.leaves(), ledger.NewEpoch(1, 1, ledger.ReasonNoLedger, ""))
		must(t, err)
		return l.Snapshot(0)
	}
	var old *ledger.Snapshot
	for n := range 3 {
		cmd := w.spawn()
		w.hand("unsafe", fmt.Sprint("a", n), 3)
		w.hand("free", fmt.Sprint("b", n), 3)
		w.hand("keyed", fmt.Sprint("c", n), 2)
		w.awaitEmpty()
		want := ledger.Count(3 * (n + 1))
		var s *ledger.Snapshot
		waitFor(t, func() bool { s = figures(); return s.Total.Delivered == want && s.Total.Attempts.Out == 0 })
		if s.Total.Accepted != want || s.Total.Open != 0 || len(s.Accounts) != 3 || len(s.Check()) > 0 {
			t.Errorf("%+v, %v", s, s.Check())
		}
		if old != nil {
			if d, err := ledger.Diff(old, s); err != nil || d.EpochChanged || len(d.Decreases) > 0 {
				t.Errorf("%v %+v", err, d)
			}
		}
		old = s
		w.kill(cmd)
	}
	must(t, os.RemoveAll(w.dir))
	must(t, os.Mkdir(w.dir, 0o700))
	w.spawn()
	w.hand("free", "d", 3)
	w.awaitEmpty()
	waitFor(t, func() bool { return figures().Total.Delivered == 1 })
	if d, err := ledger.Diff(old, figures()); err != nil || !d.EpochChanged {
		t.Errorf("%v %+v", err, d)
	}
}

func TestLedgerSettings(t *testing.T) {
	t.Parallel()
	for text, on := range map[string]bool{"": false, "[ledger]\nenabled = false": false, "[ledger]\nmost_accounts = 7": true} {
		f, err := operator.Parse(text)
		must(t, err)
		if l := ReadLedger(f.Ledger); (l != nil) != on || on && (l.MaxAccounts != 7 || l.AuditPart != 1000 || l.AuditInterval != 300*time.Millisecond) {
			t.Errorf("%q: %+v", text, l)
		}
	}
}
