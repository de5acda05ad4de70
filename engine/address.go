package engine

import "slices"

// addressTable decides which endpoints may be called at their addresses.
//
// A list may still have an endpoint whose process has gone while a new process, of another destination, has its address: a
// source reports arrivals sooner than failures. A call to the old endpoint would reach the new one. So an endpoint of
// another destination whose process started later takes the address over. The old one is displaced until it is listed with
// a later start or another address, also after the new one has left. Endpoints whose start is not known, or the same, share
// their address.
type addressTable struct {
	owners    map[string]*endpoint   // the endpoint that started last at each address; it may have left
	displaced map[string][]*endpoint // by address
}

func newAddressTable() addressTable {
	return addressTable{owners: map[string]*endpoint{}, displaced: map[string][]*endpoint{}}
}

// update takes over what a report has changed. It returns these endpoints together with others that are displaced now.
func (t *addressTable) update(changed []*endpoint) []*endpoint {
	for _, ep := range changed {
		if ep.tableAddr != "" && (ep.tableAddr != ep.addr || !ep.isListed()) {
			t.leave(ep)
		}
	}
	for _, ep := range slices.Clip(changed) {
		if ep.addr == "" || !ep.isListed() {
			continue
		}
		if old := t.claim(ep); old != nil && !slices.Contains(changed, old) {
			changed = append(changed, old)
		}
	}
	return changed
}

// claim gives an endpoint its address, or displaces it if another one came up there later. It returns the endpoint that it
// has displaced, if there is one.
func (t *addressTable) claim(ep *endpoint) *endpoint {
	ep.tableAddr = ep.addr
	owner := t.owners[ep.addr]
	switch {
	case owner == nil:
		t.owners[ep.addr] = ep
		return nil
	case owner == ep:
		return nil
	case ep.displaced && ep.started <= owner.started:
		return nil
	case owner.tableAddr != ep.addr: // it has left
		t.readmit(ep)
		t.owners[ep.addr] = ep
		return nil
	case owner.destination == ep.destination || owner.started == ep.started:
		return nil
	case owner.started > ep.started:
		t.displace(ep)
		return nil
	}
	t.readmit(ep)
	t.owners[ep.addr] = ep
	t.displace(owner)
	return owner
}

func (t *addressTable) displace(ep *endpoint) {
	ep.displaced = true
	t.displaced[ep.tableAddr] = append(t.displaced[ep.tableAddr], ep)
}

// readmit ends that an endpoint is displaced, if it is.
func (t *addressTable) readmit(ep *endpoint) {
	if !ep.displaced {
		return
	}
	ep.displaced = false
	others := slices.DeleteFunc(t.displaced[ep.tableAddr], func(other *endpoint) bool { return other == ep })
	if t.displaced[ep.tableAddr] = others; len(others) == 0 {
		delete(t.displaced, ep.tableAddr)
	}
}

// leave takes an endpoint from its address. While others are displaced there, the last owner stays known.
func (t *addressTable) leave(ep *endpoint) {
	addr := ep.tableAddr
	t.readmit(ep)
	ep.tableAddr = ""
	if owner := t.owners[addr]; owner != nil && owner.tableAddr != addr && len(t.displaced[addr]) == 0 {
		delete(t.owners, addr)
	}
}

// isListed reports whether a source lists the endpoint.
func (ep *endpoint) isListed() bool {
	return !ep.moved && slices.ContainsFunc(ep.claims, func(c claim) bool { return c.phase != Gone })
}
