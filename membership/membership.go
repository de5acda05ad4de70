// Package membership merges the endpoints reported by several sources into the one list that the engine uses.
//
// A Table does no I/O, reads no clock and starts no goroutine. The caller passes in the time with each call. For each
// source the table keeps a claim per endpoint and the time of that claim. The rules, in the order in which they are
// applied:
//
//   - The ID identifies an endpoint. Sources that report the same endpoint must use the same ID.
//   - The worst claim on an endpoint counts: Left, then Leaving, then Active. A source that never reported an endpoint has
//     no claim on it. If a source's full list omits an endpoint that it reported before, that source now claims Left. Only
//     an update of the kind Replacement (a list written by hand) withdraws the claim instead.
//   - Address, destination, zone, kind and hints come from the first source, in the table's order, that lists the endpoint
//     (its claim is not Left) and sets the field. The weight is the first one over 0 among these sources. Started is the
//     latest.
//   - An endpoint that sources list for different destinations is Leaving: calls for either destination could be wrong.
//   - For each destination and address only one endpoint is Active. Of several IDs with the same address, the one that
//     started last keeps it, then the smallest ID. The others are Leaving.
//   - The claims of a source that fails or stops reporting stay as they are.
//   - An endpoint that has left is remembered for a while (Settings.RememberLeft), so that a source that lags behind cannot
//     bring it back. The source that reported Left can.
//
// Claims from a cache (Restore) count as the last report of their source until that source reports again.
package membership

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
)

// Phase says how far an endpoint may be used. The zero value is the safest one.
type Phase uint8

// Phases, from the least usable to the most usable.
const (
	Left    Phase = iota // gone: gets no calls and sends no responses
	Leaving              // finishes its open calls, gets no new ones
	Active               // may get new calls
)

// String returns the phase's name in the discovery protocol.
func (p Phase) String() string {
	switch p {
	case Active:
		return "active"
	case Leaving:
		return "leaving"
	}
	return "left"
}

// ParsePhase parses a phase's name in the discovery protocol. An unknown name gives Leaving, so that an endpoint in an
// unknown state gets no new calls.
func ParsePhase(s string) Phase {
	switch s {
	case "active":
		return Active
	case "left":
		return Left
	}
	return Leaving
}

// Endpoint describes one endpoint. It is comparable.
type Endpoint struct {
	ID      string // same at every dispatcher and in every source; visible ASCII, at most 253 bytes
	Addr    string // host:port
	Dest    int    // number of the destination, 0 or more
	Zone    string
	Kind    string
	Phase   Phase
	Weight  float64 // in the unit that the site's settings use; 0 if not reported
	Started int64   // last start in Unix ms; 0 if long ago or not known
	Hints   string  // comma-separated zones that should use it; routing advice, not its own zone
	Note    string  // reason given by the source, for operators
}

// UpdateKind says how an update relates to the earlier updates of its source.
type UpdateKind uint8

// Kinds of update. The zero value changes only the endpoints that the update lists.
const (
	Changes     UpdateKind = iota // the listed endpoints, in the order in which they changed
	FullList                      // all endpoints of the source; those that it omits have left
	Failed                        // the source is unreachable or unreadable; its claims stay
	Replacement                   // all claims of the source; claims on endpoints that it omits are withdrawn
)

// Update is one report of a source.
type Update struct {
	Kind      UpdateKind
	Endpoints []Endpoint
	Err       error // cause of a Failed update
}

// Source reports endpoints. Examples are a partner list, EndpointSlices, a fixed list and a resolver.
type Source interface {
	// Name returns the source's name as listed in Settings.Sources. It does not change.
	Name() string
	// Run reports updates through tell until ctx ends, and then returns ctx's error. It is called once. It calls tell from
	// one goroutine at a time and not after it has returned. tell may block while the receiver is busy. The source then
	// keeps only the newest state of whatever changes meanwhile. If the source can't be reached or read, it reports
	// Failed and retries for ever. Any other error that Run returns means that the source can't work at all.
	Run(ctx context.Context, tell func(Update)) error
}

// ErrMalformed is wrapped by every error about an endpoint that can't be used as it was reported.
var ErrMalformed = errors.New("malformed endpoint")

// maxNameLength limits ids and names, in bytes. A DNS name has at most 253 characters (RFC 1123).
const maxNameLength = 253

// Check validates the endpoint. Its error wraps ErrMalformed and names the field.
func (e *Endpoint) Check() error {
	if err := checkID(e.ID); err != nil {
		return err
	}
	if e.Phase == Left {
		return nil // only the ID matters for an endpoint that has left
	}
	if e.Phase > Active {
		return fmt.Errorf("%w: phase %d", ErrMalformed, e.Phase)
	}
	host, port, err := net.SplitHostPort(e.Addr)
	if err != nil || host == "" || len(host) > maxNameLength {
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
		if len(s) > maxNameLength {
			return fmt.Errorf("%w: zone or kind %.20q is too long", ErrMalformed, s)
		}
	}
	return nil
}

func checkID(id string) error {
	if id == "" || len(id) > maxNameLength {
		return fmt.Errorf("%w: id %.80q", ErrMalformed, id)
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return fmt.Errorf("%w: id %.80q", ErrMalformed, id)
		}
	}
	return nil
}
