package node

import (
	"errors"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"curlewmux/engine"
	"curlewmux/internal/journal"
	"curlewmux/internal/operator"
	"curlewmux/ledger"
)

// Ledger has a dispatcher keep figures that add up. ReadLedger makes it.
type Ledger struct {
	MaxAccounts   int           // accounts, 0 for as many as usual; the journal's disk bounds them, too
	AuditPart     int           // messages that a part of a sweep counts, 0 for as many as usual
	AuditInterval time.Duration // between two sweeps, 0 for the usual time
	HTTP          bool          // shown at the front's port as well
	BootID        string        // names the time that the machine runs, "" if that is not known

	InterceptPost func(ledger.Posting) []ledger.Posting // for rigs: see ledger.Settings
	OnBreach      func(ledger.Breach)                   // the same: see driver.Driver.OnBreach
}

const (
	bootFile    = "/proc/sys/kernel/random/boot_id"
	leafShare   = 8   // of the journal's disk accounts may take one part in so many
	accountDisk = 300 // bytes of an account there, about
)

// ReadLedger reads what the operator's file says; nil where it says that there is none.
func ReadLedger(f *operator.Ledger) *Ledger {
	if f == nil || !*f.Enabled {
		return nil
	}
	l := &Ledger{MaxAccounts: f.MostAccounts, AuditPart: f.SweepPart, AuditInterval: time.Duration(f.SweepEveryMS) * time.Millisecond, HTTP: f.HTTP}
	if text, err := os.ReadFile(bootFile); err == nil { // else no power failure is told from another restart
		l.BootID = strings.TrimSpace(string(text))
	}
	return l
}

// assembleLedger has the engine keep books.
func (n *Node) assembleLedger(set *engine.Settings) {
	l := n.cfg.Ledger
	if l == nil {
		return
	}
	wall := n.host.Wall().UnixMicro()
	random := rand.New(rand.NewPCG(n.cfg.Seed^0x6c6564676572, uint64(wall)))
	most := l.MaxAccounts
	if most == 0 {
		most = ledger.DefaultMaxAccounts
	}
	set.Ledger = &engine.LedgerSettings{
		Settings: ledger.Settings{
			Instance: n.cfg.Name, MaxAccounts: max(1, min(most, int(n.cfg.Disk/leafShare/accountDisk))), BootID: l.BootID,
			Durable: n.cfg.Sync == journal.SyncAlways, InterceptPost: l.InterceptPost,
		},
		Epoch:     ledger.NewEpoch(random.Uint64(), wall, ledger.ReasonNoLedger, ""),
		AuditPart: l.AuditPart, AuditInterval: engine.Time(l.AuditInterval.Microseconds()),
		StoredLeaf: func(number uint64) []byte { return n.journal.Leaf(number) },
	}
}

// restoreLedger tells the engine what the journal had of the books.
func (n *Node) restoreLedger(s *journal.State) {
	if n.cfg.Ledger == nil {
		return
	}
	r := &engine.RestoredLedger{Leaves: s.Leaves}
	if s.Findings.HasDamage() {
		r.ResetReason = ledger.ReasonDamage
	}
	n.driver.Post(r)
}

// ErrNoLedger is what Ledger returns where there is no cut.
var ErrNoLedger = errors.New("no ledger is kept, or the store does not answer")

// Ledger is a consistent cut through the books, which nobody may change. It waits for so long at most, for the store. It
// may be called from any goroutine once the node is ready.
func (n *Node) Ledger(wait time.Duration) (*ledger.Snapshot, error) {
	if s := n.driver.Ledger(n.host.Now().Add(wait)); s != nil {
		return s, nil
	}
	return nil, ErrNoLedger
}

// LedgerAsync is Ledger for those who can't wait: see driver.Driver.LedgerAsync.
func (n *Node) LedgerAsync(told func(*ledger.Snapshot)) bool {
	return n.driver != nil && n.driver.LedgerAsync(told)
}
