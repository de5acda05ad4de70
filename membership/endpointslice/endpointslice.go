// Package endpointslice is the source of endpoints that reads EndpointSlices (discovery.k8s.io/v1) from a Kubernetes API
// server.
//
//   - Set is the decider: slices go in, endpoints come out. It has no I/O and reads no clock. The rules stand there.
//   - Source lists and watches the slices of one partner over HTTP, keeps a Set up to date and tells a membership.Table.
//     It may be used in any process; the program that the platform runs gets its endpoints from the companion
//     curlewmux-agent instead, which uses this package.
//   - Client is the way to one API server, shared by all partners that are read from it.
package endpointslice

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"
)

// Partner says which slices belong to one partner, and what its endpoints are to the dispatcher.
type Partner struct {
	Name        string // of the partner, and of its source: endpointslice/NAME
	Namespace   string // "" for all
	Selector    string // labels, as `kubectl -l` takes them; the API server evaluates it
	PortName    string // name of the port that takes calls; "" where the slices have one port only
	Destination int    // number of the destination
	Kind        string // kind of the destination, as the settings name it
	DefaultZone string // of endpoints whose slice tells none
	Weight      float64
	PreferIPv6  bool              // of an endpoint that has both, the IPv6 address counts
	ZoneNames   map[string]string // names of zones in the settings by their names in the cluster; others stay as they are
	// Grace is how long an endpoint that no slice names any more stays Leaving before it has Left, for it may have moved;
	// 0 is 300 ms.
	Grace        time.Duration
	EmptyHold    time.Duration // the same after a list that names no endpoint at all, 0 is one minute
	MaxEndpoints int           // endpoints at most, 0 is 20,000; slices are bounded by the same figure
}

const (
	defaultGrace     = 300 * time.Millisecond
	defaultEmptyHold = time.Minute
	defaultMost      = 20_000
	mostGrace        = 10 * time.Second
)

// ErrPartnerSettings is in the chain of every error about a partner's settings.
var ErrPartnerSettings = errors.New("partner's settings")

// Check tells whether the settings can be used. Its error wraps ErrPartnerSettings and names the field.
func (p *Partner) Check() error {
	switch {
	case p.Name == "" || len(p.Name) > 100 || strings.ContainsAny(p.Name, " \t\n"):
		return fmt.Errorf("%w: name: %.40q must be 1 to 100 characters without spaces", ErrPartnerSettings, p.Name)
	case p.Selector == "":
		return fmt.Errorf("%w: selector: missing: it would select every slice of the namespace", ErrPartnerSettings)
	case strings.Contains(p.Namespace, "/"):
		return fmt.Errorf("%w: namespace: %.80q is no name", ErrPartnerSettings, p.Namespace)
	case p.Destination < 0:
		return fmt.Errorf("%w: dest: %d is out of range", ErrPartnerSettings, p.Destination)
	case !(p.Weight >= 0) || math.IsInf(p.Weight, 0):
		return fmt.Errorf("%w: weight: %g is out of range", ErrPartnerSettings, p.Weight)
	case p.Grace < 0 || p.Grace > mostGrace:
		return fmt.Errorf("%w: grace: %v is out of range (0 to %v)", ErrPartnerSettings, p.Grace, mostGrace)
	case p.EmptyHold < 0 || p.EmptyHold > time.Hour:
		return fmt.Errorf("%w: empty hold: %v is out of range (0 to 1h)", ErrPartnerSettings, p.EmptyHold)
	case p.MaxEndpoints < 0:
		return fmt.Errorf("%w: most: %d is out of range", ErrPartnerSettings, p.MaxEndpoints)
	}
	return nil
}

// port is the number of the port that takes calls in a slice, 0 if it has none. A port of another protocol than TCP, and
// one without a number, is none.
func (p *Partner) port(s *Slice) int {
	found := 0
	for _, q := range s.Ports {
		if !q.TCP || q.Number < 1 || q.Number > math.MaxUint16 || p.PortName != "" && q.Name != p.PortName {
			continue
		}
		if found != 0 && p.PortName == "" {
			return 0 // one of several: which is not told
		}
		found = q.Number
	}
	return found
}

// address is an entry's host and port, "" if it has none that can be used.
func address(e *Entry, s *Slice, port int) string {
	ip, err := netip.ParseAddr(e.Addr)
	if err != nil || port == 0 || ip.Zone() != "" || ip.IsUnspecified() || ip.IsMulticast() || ip.Is4In6() ||
		ip.Is4() != (s.AddressType == "IPv4") || ip.Is6() != (s.AddressType == "IPv6") {
		return ""
	}
	return netip.AddrPortFrom(ip, uint16(port)).String()
}
