package node

import (
	"time"

	"curlewmux/engine"
	"curlewmux/membership/partnerlist"
)

const (
	firstListTimeout  = time.Second     // wait for discovery's first list before clients are accepted without it
	pushedListTimeout = 2 * time.Second // wait for a list of an agent on this machine, which answers at once unless it is silent
)

type (
	listReceived struct{ full bool }
	holdDue      struct{} // the list of a new address of discovery may be overdue
)

// Members implements engine.MembershipReceiver. It passes a list on to the driver and reports its arrival to Run.
func (n *Node) Members(m *engine.Members) bool {
	ok := n.driver.Members(m)
	if !m.Failed {
		n.requests.Put(listReceived{full: m.FullList})
	}
	return ok
}

// awaitFirstList waits for the first list from discovery, for firstListTimeout at most. Without that list the dispatcher
// starts from the cached one, which may be old: endpoints may have begun to drain since. Where lists are pushed, it
// therefore accepts messages but makes no calls before the first list (engine.Settings.HoldUntilListed).
func (n *Node) awaitFirstList() error {
	until := n.host.Now().Add(firstListTimeout)
	for {
		list := n.requests.Take(nil, until)
		if len(list) == 0 {
			n.unlisted = true
			n.log.Warn("discovery has sent no list since the start", "makes_calls", !n.cfg.listsArePushed())
			return nil
		}
		for i, v := range list {
			switch v := v.(type) {
			case listReceived:
				n.listReceived(v)
				n.requeue(list[i+1:])
				return nil
			case serveEnded:
				return v.err
			case stopRequest:
				n.requeue(list[i:])
				return nil
			case holdDue:
				n.holdIfOverdue()
			case *Config:
				n.reload(v)
			}
		}
	}
}

// listReceived handles the arrival of a list.
func (n *Node) listReceived(list listReceived) {
	if n.unlisted {
		n.unlisted = false
		n.log.Info("discovery has sent the first list")
	}
	if list.full && n.confirmation.Listed() {
		n.log.Info("discovery at the new address has sent its list")
	}
}

// moveDiscovery makes discovery be reached at an address. Where lists are pushed, the list of the old address counts for
// a limited time only.
func (n *Node) moveDiscovery(addr string) (moved bool) {
	moved = n.watch.SetAddress(addr)
	n.notices.SetAddress(addr)
	if moved && n.cfg.listsArePushed() {
		now := n.host.Now()
		n.host.AfterFunc(n.confirmation.Moved(now).Sub(now), func() { n.requests.Put(holdDue{}) })
	}
	return moved
}

// holdIfOverdue holds all calls if discovery has sent no list from its new address in time. Messages are still accepted.
func (n *Node) holdIfOverdue() {
	if !n.confirmation.Overdue(n.host.Now()) {
		return
	}
	n.log.Warn("discovery has sent no list from its new address: no calls are made until it does")
	n.driver.Post(&engine.Members{Source: partnerlist.Name, Unconfirmed: true})
}
