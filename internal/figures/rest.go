package figures

import (
	"errors"
	"fmt"

	"curlewmux/internal/journal"
	"curlewmux/internal/wire"
	"curlewmux/ledger"
)

// ErrNoLedger means that a folder has no ledger.
var ErrNoLedger = errors.New("the folder has no ledger")

// ReadFolder reads the ledger in a dispatcher's folder without changing it. If a dispatcher runs on the folder, the result
// may be a moment old. The open messages of each account are compared with the journal's live messages. Attempts that were
// under way when the process ended still count as such. The error wraps ErrNoLedger or ledger.ErrLeaf, or says why the
// folder can't be read.
func ReadFolder(dir journal.Dir) (*ledger.Snapshot, error) {
	state, err := journal.Check(dir)
	if err != nil {
		return nil, err
	}
	if len(state.Leaves) == 0 {
		return nil, ErrNoLedger
	}
	restored, err := ledger.Restore(ledger.Settings{Instance: state.Owner, MaxAccounts: ledger.MaxAccountsLimit}, state.Leaves, ledger.Epoch{})
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	if restored.Epoch().ID == "" {
		return nil, fmt.Errorf("%w: the leaf of its epoch is missing", ErrNoLedger)
	}
	wall := int64(state.Last.LatestTimestamp)
	restored.SetWallTime(wall)
	live := map[ledger.Key]ledger.Count{}
	for _, m := range state.Live {
		if m.Pending == nil {
			k := ledger.Key{Class: wire.Plain(m.Message.Class), Destination: m.Message.Destination, Tenant: wire.Plain(m.Message.Tenant)}
			live[restored.Account(k).Key()]++
		}
	}
	for _, a := range restored.Snapshot(wall).Accounts {
		restored.Compare(a.Key, ledger.CheckRestart, a.Open, live[a.Key])
	}
	return restored.Snapshot(wall), nil
}
