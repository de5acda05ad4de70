// Package endpointslice reads endpoints from the EndpointSlices (discovery.k8s.io/v1) of a Kubernetes API server.
//
//   - Set converts slices to endpoints. It does no I/O and reads no clock. Its doc comment lists the rules.
//   - Source lists and watches the slices of one partner over HTTP, keeps a Set up to date and reports changes to a
//     membership.Table. It can be used in any process. The dispatcher that the platform runs does not use it directly,
//     but gets its endpoints from curlewmux-agent, which does.
//   - Client connects to one API server. All partners that are read from that server share it.
package endpointslice

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"
)

// Partner selects the slices of one partner and sets the properties of its endpoints.
type Partner struct {
	Name        string // of the partner; its source is called endpointslice/NAME
	Namespace   string // "" for all namespaces
	Selector    string // label selector in the syntax of `kubectl -l`; the API server evaluates it
	PortName    string // name of the port for calls; "" if the slices have only one port
	Destination int    // number of the destination
	Kind        string // kind of the destination, as the settings name it
	DefaultZone string // of endpoints without a zone in their slice
	Weight      float64
	PreferIPv6  bool              // use the IPv6 address of an endpoint that has both
	ZoneNames   map[string]string // zone names in the settings by those in the cluster; others stay unchanged
	// Grace is how long an endpoint that no slice lists any more stays Leaving before it becomes Left, since it may be
	// moving to another slice. 0 means 300 ms.
	Grace time.Duration
	// EmptyHold replaces Grace after a list without any endpoint. 0 means one minute.
	EmptyHold time.Duration
	// MaxEndpoints limits the number of endpoints, and also the number of slices. 0 means 20,000.
	MaxEndpoints int
}

const (
	defaultGrace        = 300 * time.Millisecond
	defaultEmptyHold    = time.Minute
	defaultMaxEndpoints = 20_000
	maxGrace            = 10 * time.Second
)

// ErrPartnerSettings is wrapped by every error about a partner's settings.
var ErrPartnerSettings = errors.New("partner's settings")

// Check validates the settings. Its error wraps ErrPartnerSettings and names the field.
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
	case p.Grace < 0 || p.Grace > maxGrace:
		return fmt.Errorf("%w: grace: %v is out of range (0 to %v)", ErrPartnerSettings, p.Grace, maxGrace)
	case p.EmptyHold < 0 || p.EmptyHold > time.Hour:
		return fmt.Errorf("%w: empty hold: %v is out of range (0 to 1h)", ErrPartnerSettings, p.EmptyHold)
	case p.MaxEndpoints < 0:
		return fmt.Errorf("%w: most: %d is out of range", ErrPartnerSettings, p.MaxEndpoints)
	}
	return nil
}

// port returns the number of a slice's port for calls, 0 if there is none or it is ambiguous. Ports without a number and
// those of other protocols than TCP are ignored.
func (p *Partner) port(s *Slice) int {
	found := 0
	for _, q := range s.Ports {
		if !q.TCP || q.Number < 1 || q.Number > math.MaxUint16 || p.PortName != "" && q.Name != p.PortName {
			continue
		}
		if found != 0 && p.PortName == "" {
			return 0 // more than one port, and none is named in the settings
		}
		found = q.Number
	}
	return found
}

// address returns an entry's host and port, "" if it has no usable address.
func address(e *Entry, s *Slice, port int) string {
	ip, err := netip.ParseAddr(e.Addr)
	if err != nil || port == 0 || ip.Zone() != "" || ip.IsUnspecified() || ip.IsMulticast() || ip.Is4In6() ||
		ip.Is4() != (s.AddressType == "IPv4") || ip.Is6() != (s.AddressType == "IPv6") {
		return ""
	}
	return netip.AddrPortFrom(ip, uint16(port)).String()
}
