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

// Ledger is the configuration of the ledger. ReadLedger creates it.
type Ledger struct {
	MaxAccounts   int           // 0 for the default; the journal's disk space limits them, too
	AuditPart     int           // messages that one part of an audit counts, 0 for the default
	AuditInterval time.Duration // time between two audits, 0 for the default
	HTTP          bool          // also publish the figures at the front's port
	BootID        string        // id of the machine's current boot, "" if it is not known

	InterceptPost func(ledger.Posting) []ledger.Posting // for simulations and tests, see ledger.Settings
	OnBreach      func(ledger.Breach)                   // for simulations and tests, see driver.Driver.OnBreach
}

const (
	bootIDFile         = "/proc/sys/kernel/random/boot_id"
	accountDiskDivisor = 8   // accounts may use this fraction (1/n) of the journal's disk space
	bytesPerAccount    = 300 // approximate size of an account in the journal
)

// ReadLedger reads the section [ledger] of the operator's file. It returns nil if no ledger is to be kept.
func ReadLedger(section *operator.Ledger) *Ledger {
	if section == nil || !*section.Enabled {
		return nil
	}
	out := &Ledger{MaxAccounts: section.MostAccounts, AuditPart: section.SweepPart, AuditInterval: time.Duration(section.SweepEveryMS) * time.Millisecond, HTTP: section.HTTP}
	if text, err := os.ReadFile(bootIDFile); err == nil { // without it a power failure can't be distinguished from another restart
		out.BootID = strings.TrimSpace(string(text))
	}
	return out
}

// assembleLedger adds the settings of the ledger to the engine's.
func (n *Node) assembleLedger(settings *engine.Settings) {
	config := n.cfg.Ledger
	if config == nil {
		return
	}
	wall := n.host.Wall().UnixMicro()
	random := rand.New(rand.NewPCG(n.cfg.Seed^0x6c6564676572, uint64(wall)))
	maxAccounts := config.MaxAccounts
	if maxAccounts == 0 {
		maxAccounts = ledger.DefaultMaxAccounts
	}
	settings.Ledger = &engine.LedgerSettings{
		Settings: ledger.Settings{
			Instance: n.cfg.Name, MaxAccounts: max(1, min(maxAccounts, int(n.cfg.Disk/accountDiskDivisor/bytesPerAccount))), BootID: config.BootID,
			Durable: n.cfg.Sync == journal.SyncAlways, InterceptPost: config.InterceptPost,
		},
		Epoch:     ledger.NewEpoch(random.Uint64(), wall, ledger.ReasonNoLedger, ""),
		AuditPart: config.AuditPart, AuditInterval: engine.Time(config.AuditInterval.Microseconds()),
		StoredLeaf: func(number uint64) []byte { return n.journal.Leaf(number) },
	}
}

// restoreLedger passes the accounts that the journal held to the engine.
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

// ErrNoLedger is returned by Node.Ledger if there is no snapshot.
var ErrNoLedger = errors.New("no ledger is kept, or the store does not answer")

// Ledger returns a snapshot of the ledger, which callers must not modify. It waits for the store, but no longer than
// the given time. It may be called from any goroutine once the node is ready.
func (n *Node) Ledger(wait time.Duration) (*ledger.Snapshot, error) {
	if s := n.driver.Ledger(n.host.Now().Add(wait)); s != nil {
		return s, nil
	}
	return nil, ErrNoLedger
}

// LedgerAsync is like Ledger, for callers that can't wait. See driver.Driver.LedgerAsync.
func (n *Node) LedgerAsync(deliver func(*ledger.Snapshot)) bool {
	return n.driver != nil && n.driver.LedgerAsync(deliver)
}
