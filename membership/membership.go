// Package membership merges what sources tell of endpoints into the one list that the engine works from.
//
// A Table is a decider: it has no I/O, reads no clock and starts no goroutine; the time comes in with each call. It keeps
// for each source what that source claims of each endpoint and when it said so. The rules, in the order in which they
// are applied:
//
//   - Identity is the ID. Two sources that speak of one endpoint must use one ID.
//   - An endpoint is only as usable as the worst claim among the sources that ever told of it: Left, then Leaving, then
//     Active. A source that never told of an endpoint has no claim on it. A source's whole list without an endpoint that
//     it told of is its claim Left; only one that restates its word (a list written by hand) takes it back.
//   - Address, destination, zone, kind, hints: of the first source, in the table's order, that names the endpoint now
//     (its claim is not Left) and states the field. Weight: the first such that states one over 0. Started: the latest.
//   - Sources that name one endpoint for different destinations make it Leaving: work sent by either could be wrong.
//   - One address of one destination is Active once. Among the IDs that claim it the one that started last holds it, then
//     the smallest ID; the others are Leaving.
//   - A source that falls silent or fails keeps its claims as they are.
//   - Who has left stays known for a while (Settings.Remember), so that a source that lags cannot bring it back; the
//     source that said Left can.
//
// What a cache vouches for (Restore) counts like what the source itself last said, until the source speaks again.
package membership

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
)

// Phase says how far an endpoint may be used. The zero is the safe one.
type Phase uint8

// Phases, from the least usable on.
const (
	Left    Phase = iota // gone: nothing may be sent, nothing comes back
	Leaving              // finishes what it has, gets nothing new
	Active               // may get new work
)

// String is the phase's name in discovery's protocol.
func (p Phase) String() string {
	switch p {
	case Active:
		return "active"
	case Leaving:
		return "leaving"
	}
	return "left"
}

// ParsePhase reads a phase's name in discovery's protocol. An unknown name is Leaving: no new work for what can't be read.
func ParsePhase(s string) Phase {
	switch s {
	case "active":
		return Active
	case "left":
		return Left
	}
	return Leaving
}

// Endpoint is what is known of one endpoint. It is comparable.
type Endpoint struct {
	ID      string // the same at every dispatcher and in every source; visible ASCII, at most 253 bytes
	Addr    string // host:port
	Dest    int    // number of its destination, 0 or more
	Zone    string
	Kind    string
	Phase   Phase
	Weight  float64 // as the site's settings mean it, 0 for not told
	Started int64   // when it last started, Unix ms; 0 for long ago
	Hints   string  // zones that are advised to use it, comma-separated; advice on routing, never its zone
	Note    string  // why its source says so, for people
}

// UpdateKind says how an update relates to what its source told before.
type UpdateKind uint8

// Kinds of update. The zero touches nothing that it does not name.
const (
	Changes     UpdateKind = iota // the endpoints named, in the order in which they changed
	FullList                      // all endpoints that the source has; what it leaves out has left
	Failed                        // nothing can be learnt from the source now; its claims stay
	Replacement                   // all that the source has a word on; on what it leaves out it takes its word back
)

// Update is one thing that a source tells.
type Update struct {
	Kind      UpdateKind
	Endpoints []Endpoint
	Err       error // Failed: why
}

// Source is where endpoints are learnt of: a partner list, EndpointSlices, a fixed list, a resolver.
type Source interface {
	// Name is the source's name in the table's order; it does not change.
	Name() string
	// Run tells what the source learns until ctx ends, and returns ctx's error then. It is called once. It calls tell
	// from one goroutine at a time and not after its return. tell may block for as long as its taker is busy: the source
	// then keeps only the newest state of what changes meanwhile. Faults of the way there are told as Failed and tried
	// again without end; any other error that Run returns means that it can't work at all.
	Run(ctx context.Context, tell func(Update)) error
}

// ErrMalformed is in the chain of every error about an endpoint that can't be used as it was told.
var ErrMalformed = errors.New("malformed endpoint")

// longestName bounds ids and names (a DNS name has at most 253 characters, RFC 1123).
const longestName = 253

// Check tells whether the endpoint can be used as it stands. Its error wraps ErrMalformed and names the field.
func (e *Endpoint) Check() error {
	if err := checkID(e.ID); err != nil {
		return err
	}
	if e.Phase == Left {
		return nil // all that counts is which one
	}
	if e.Phase > Active {
		return fmt.Errorf("%w: phase %d", ErrMalformed, e.Phase)
	}
	host, port, err := net.SplitHostPort(e.Addr)
	if err != nil || host == "" || len(host) > longestName {
		return fmt.Errorf("%w: address %.80q", ErrMalformed, e.Addr)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("%w: port of address %.80q", ErrMalformed, e.Addr)
	}
	if e.Dest < 0 {
		return fmt.Errorf("%w: destination %d", ErrMalformed, e.Dest)
	}
	if !(e.Weight >= 0) || math.IsInf(e.Weight, 0) {
		return fmt.Errorf("%w: weight %g", ErrMalformed, e.Weight)
	}
	if e.Started < 0 {
		return fmt.Errorf("%w: started %d", ErrMalformed, e.Started)
	}
	for _, s := range [...]string{e.Zone, e.Kind} {
		if len(s) > longestName {
			return fmt.Errorf("%w: zone or kind %.20q is too long", ErrMalformed, s)
		}
	}
	return nil
}

func checkID(id string) error {
	if id == "" || len(id) > longestName {
		return fmt.Errorf("%w: id %.80q", ErrMalformed, id)
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return fmt.Errorf("%w: id %.80q", ErrMalformed, id)
		}
	}
	return nil
}
