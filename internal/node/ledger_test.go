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

// ledgerMonitor checks the ledger of a simulated dispatcher across all its processes. At each scrape the equations hold,
// no count has decreased, and the audit has found no breach.
type ledgerMonitor struct {
	t             *testing.T
	name          string
	sim           *vnet.World
	machine       *vnet.Machine
	node          func() *Node
	latest        *ledger.Snapshot
	scrapes       int
	powerFailures int
}

// attach enables the ledger in the configuration of a process that is about to start, and begins to scrape it.
func (b *ledgerMonitor) attach(cfg *Config) {
	cfg.Ledger = &Ledger{BootID: fmt.Sprint("boot ", b.powerFailures), MaxAccounts: 1 + len(b.name)%4, OnBreach: func(f ledger.Breach) {
		b.t.Errorf("%s: at %v: %+v", b.name, b.sim.Now(), f)
	}}
	b.sim.After(time.Millisecond, func() { b.poll(b.machine.Process()) })
}

// poll scrapes the ledger at a fixed interval until the process ends.
func (b *ledgerMonitor) poll(p *vnet.Process) {
	if p == nil || b.machine.Process() != p || p.Dead() {
		return
	}
	if n := b.node(); n != nil {
		n.LedgerAsync(b.check)
	}
	b.sim.After(170*time.Millisecond, func() { b.poll(p) })
}

// check checks a snapshot by itself and against the one before.
func (b *ledgerMonitor) check(s *ledger.Snapshot) {
	b.scrapes++
	if bad := s.Check(); len(bad) > 0 {
		b.t.Errorf("%s: at %v: %+v", b.name, b.sim.Now(), bad)
	}
	if old := b.latest; old != nil && !old.Provisional {
		if d, err := ledger.Diff(old, s); err != nil || d.EpochChanged || len(d.Decreases) > 0 {
			b.t.Errorf("%s: at %v: %v %+v", b.name, b.sim.Now(), err, d)
		}
	}
	b.latest = s
}

// checkLedger compares the final ledger with what the clients counted, and adds the number of resent messages to again.
func (s *undeliveredSim) checkLedger(again *int) {
	before := s.monitor.scrapes
	s.runUntil(time.Hour, "a final snapshot without open messages", func() bool { return s.monitor.scrapes > before+1 && s.monitor.latest.Total.Open == 0 })
	f := s.monitor.latest.Total
	minAccepted, maxAccepted := 0, 0
	for _, code := range s.codes {
		if code == 202 {
			minAccepted++
		}
		if code != 410 {
			maxAccepted++
		}
	}
	if int(f.Accepted) < minAccepted || int(f.Accepted) > maxAccepted {
		s.t.Errorf("%s: %d accepted, its clients counted %d to %d", s.monitor.name, f.Accepted, minAccepted, maxAccepted)
	}
	if f.MovedIn != f.Reopened || f.Accepted != f.Delivered+f.Refused+f.Failed-f.Reopened+f.Open {
		s.t.Errorf("%s: %+v", s.monitor.name, f)
	}
	*again += int(f.Reopened)
}

// The real program is killed several times. Its counts stay exact, and a lost state folder starts a new epoch.
func TestLedgerSurvivesKillsAndLostFolderStartsNewEpoch(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	w.operatorText = "[ledger]\n"
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
		w.submit("unsafe", fmt.Sprint("a", n), 3)
		w.submit("free", fmt.Sprint("b", n), 3)
		w.submit("keyed", fmt.Sprint("c", n), 2)
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
	w.submit("free", "d", 3)
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
