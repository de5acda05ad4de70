// Package grpctransport makes the engine's calls over gRPC, for unary calls of generated stubs. One grpc.ClientConn
// belongs to each Client; a balancer of ours gives each attempt the endpoint that the engine chose, once, and vetoes
// every further pick, so that nothing is sent again below the engine. What is provable about an attempt is read off the
// frames that cross its connection.
//
// An attempt is made on the goroutine of whoever waits for it: the request and the reply are its caller's.
package grpctransport

import (
	"maps"
	"slices"
	"sync"

	"curlewmux/control"
	"curlewmux/engine"
)

// Carrier makes the attempts at one message.
type Carrier interface {
	// Carry is given a call to make, by Client.Try; its outcome is owed to on.Ended. Called by the driver; it must not
	// block.
	Carry(c *engine.Call, on engine.CallEvents)

	// Abort says that nobody waits for the call any more. Called by the driver; it must not block.
	Abort(id engine.CallID)
}

// Transport is an engine.Transport that passes calls on to the carriers of their messages, and what the engine says of
// endpoints to the clients. New makes one.
type Transport struct {
	mu       sync.Mutex
	carriers map[string]Carrier // by message id
	out      map[engine.CallID]Carrier
	clients  map[*Client]struct{}
	lone     func(c *engine.Call) Carrier
}

var _ engine.Transport = (*Transport)(nil)

// New makes a transport. A call whose message nobody carries is given to the carrier that lone finds for it, or ends as
// Moot where that is nil or finds none. lone is called by the driver and must not block.
func New(lone func(c *engine.Call) Carrier) *Transport {
	return &Transport{
		carriers: map[string]Carrier{}, out: map[engine.CallID]Carrier{}, clients: map[*Client]struct{}{}, lone: lone,
	}
}

// Expect names who carries a message, until Forget.
func (t *Transport) Expect(id string, k Carrier) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.carriers[id] = k
}

// Forget forgets who carries a message.
func (t *Transport) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.carriers, id)
}

// Carrier is who carries a message, nil if nobody does.
func (t *Transport) Carrier(id string) Carrier {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.carriers[id]
}

// Start is engine.Transport's. A call has one item: gRPC has no call with several messages.
func (t *Transport) Start(c *engine.Call, on engine.CallEvents) {
	t.mu.Lock()
	k := t.carriers[c.Items[0].ID]
	if k == nil && t.lone != nil {
		k = t.lone(c)
	}
	if k != nil {
		t.out[c.ID] = k
	}
	t.mu.Unlock()
	if k == nil {
		on.Ended(c.ID, []engine.Outcome{{Result: control.Moot}})
		return
	}
	k.Carry(c, on)
}

// Ended tells a call's outcome to the engine. Called by carriers, once for each call that they were given.
func (t *Transport) Ended(c *engine.Call, on engine.CallEvents, o engine.Outcome) {
	t.mu.Lock()
	delete(t.out, c.ID)
	t.mu.Unlock()
	on.Ended(c.ID, []engine.Outcome{o})
}

// Abort is engine.Transport's.
func (t *Transport) Abort(id engine.CallID) {
	t.mu.Lock()
	k := t.out[id]
	t.mu.Unlock()
	if k != nil {
		k.Abort(id)
	}
}

// AbortAll aborts all calls that are out.
func (t *Transport) AbortAll() {
	t.mu.Lock()
	out := maps.Clone(t.out)
	t.mu.Unlock()
	for id, k := range out {
		k.Abort(id)
	}
}

// CloseIdle is engine.Transport's: connections with calls on them stay.
func (t *Transport) CloseIdle(c *engine.CloseIdle) {
	for _, cl := range t.all() {
		cl.closeIdle(place{c.Endpoint, c.Addr})
	}
}

// Leave is engine.Transport's: attempts of which nothing is written yet end as Moot.
func (t *Transport) RemoveEndpoint(l *engine.RemoveEndpoint) {
	for _, cl := range t.all() {
		cl.leave(place{l.Endpoint, l.Addr})
	}
}

func (t *Transport) all() []*Client {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.clients))
}

// place is where an endpoint is. Another endpoint may take over its address when it has gone.
type place struct {
	endpoint control.Endpoint
	addr     string
}
