package figures

import (
	"errors"
	"fmt"

	"curlewmux/internal/journal"
	"curlewmux/internal/wire"
	"curlewmux/ledger"
)

// ErrNoLedger says that a folder has no ledger.
var ErrNoLedger = errors.New("the folder has no ledger")

// ReadFolder is the ledger that a dispatcher's folder holds, which is not changed and may be in use: then it is as it was a
// moment ago. What is open in the books is compared with the journal's live messages; attempts that were out when the
// process ended are out still. The error wraps ErrNoLedger, ledger.ErrLeaf, or says why the folder can't be read.
func ReadFolder(dir journal.Dir) (*ledger.Snapshot, error) {
	r, err := journal.Check(dir)
	if err != nil {
		return nil, err
	}
	if len(r.Leaves) == 0 {
		return nil, ErrNoLedger
	}
	l, err := ledger.Restore(ledger.Settings{Instance: r.Owner, MaxAccounts: ledger.MaxAccountsLimit}, r.Leaves, ledger.Epoch{})
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	if l.Epoch().ID == "" {
		return nil, fmt.Errorf("%w: its epoch is not there", ErrNoLedger)
	}
	wall := int64(r.Last.LatestTimestamp)
	l.SetWallTime(wall)
	live := map[ledger.Key]ledger.Count{}
	for _, m := range r.Live {
		if m.Pending == nil {
			k := ledger.Key{Class: wire.Plain(m.Message.Class), Destination: m.Message.Destination, Tenant: wire.Plain(m.Message.Tenant)}
			live[l.Account(k).Key()]++
		}
	}
	for _, a := range l.Snapshot(wall).Accounts {
		l.Compare(a.Key, ledger.CheckRestart, a.Open, live[a.Key])
	}
	return l.Snapshot(wall), nil
}
