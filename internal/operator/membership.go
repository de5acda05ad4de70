package operator

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"time"
)

// Membership is where curlewmux-agent serves the list of endpoints, and what it is made of beside EndpointSlices.
type Membership struct {
	Listen   string `toml:"listen"`   // loopback address on which discovery's protocol is served
	Reports  string `toml:"reports"`  // where notices go: host:port, or "log"
	Upstream string `toml:"upstream"` // host:port of a partner list that is passed on, "" for none
	Cache    string `toml:"cache"`    // file that remembers who was listed over a restart, "" for none
	CacheMax Span   `toml:"cache_max_age_s"`
	Most     int    `toml:"most_endpoints"`
	Remember Span   `toml:"remember_left_s"`
}

// Kubernetes is the API server from which EndpointSlices are read.
type Kubernetes struct {
	Access     string            `toml:"access"` // in-cluster or kubeconfig
	Kubeconfig string            `toml:"kubeconfig"`
	Context    string            `toml:"context"`
	Zones      map[string]string `toml:"zones"`
	Partners   []Partner         `toml:"partner"`
}

// Partner is one partner whose endpoints stand in EndpointSlices.
type Partner struct {
	Name      string  `toml:"name"`
	Namespace *string `toml:"namespace"`
	Selector  string  `toml:"selector"`
	Port      string  `toml:"port"`
	Dest      *int    `toml:"dest"`
	Kind      string  `toml:"kind"`
	Zone      string  `toml:"zone"`
	Weight    float64 `toml:"weight"`
	Family    string  `toml:"family"`
	Grace     Span    `toml:"grace_s"`
	EmptyHold Span    `toml:"empty_hold_s"`
}

// Fixed is one endpoint that is written down.
type Fixed struct {
	ID      string  `toml:"id"`
	Address string  `toml:"address"`
	Dest    *int    `toml:"dest"`
	Kind    string  `toml:"kind"`
	Zone    string  `toml:"zone"`
	Phase   string  `toml:"phase"`
	Weight  float64 `toml:"weight"`
}

// Span is a time in seconds, with decimals; 0 stands for the default.
type Span float64

// Duration is the span as a Duration.
func (s Span) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

func (s Span) check(name string, most float64) error {
	if !(s >= 0) || float64(s) > most {
		return fmt.Errorf("%s: %g is out of range (0 to %g)", name, float64(s), most)
	}
	return nil
}

const mostEndpoints = 1_000_000

func (f *File) checkMembership() error {
	m := f.Membership
	if m == nil {
		if f.Kubernetes != nil || len(f.Fixed) > 0 {
			return fmt.Errorf("membership: missing: kubernetes and fixed have no use without it")
		}
		return nil
	}
	host, err := hostPort("membership.listen", m.Listen)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("membership.listen: %q is no loopback address: who reaches it can learn and end messages", m.Listen)
	}
	if m.Reports == "" {
		return fmt.Errorf(`membership.reports: missing: host:port of the platform's discovery, or "log"`)
	}
	if m.Reports != "log" {
		if _, err := hostPort("membership.reports", m.Reports); err != nil {
			return err
		}
	}
	if m.Upstream != "" {
		if _, err := hostPort("membership.upstream", m.Upstream); err != nil {
			return err
		}
	}
	for name, addr := range map[string]string{"membership.reports": m.Reports, "membership.upstream": m.Upstream} {
		if addr == m.Listen {
			return fmt.Errorf("%s: %s is the agent itself", name, addr)
		}
	}
	if m.Most < 0 || m.Most > mostEndpoints {
		return fmt.Errorf("membership.most_endpoints: %d is out of range (0 to %d)", m.Most, mostEndpoints)
	}
	if err := m.CacheMax.check("membership.cache_max_age_s", 7*86400); err != nil {
		return err
	}
	if err := m.Remember.check("membership.remember_left_s", 86400); err != nil {
		return err
	}
	if m.Upstream == "" && f.Kubernetes == nil && len(f.Fixed) == 0 {
		return fmt.Errorf("membership: no source: set membership.upstream, kubernetes or fixed")
	}
	if err := f.Kubernetes.check(); err != nil {
		return err
	}
	ids := map[string]bool{}
	for i := range f.Fixed {
		if err := f.Fixed[i].check(fmt.Sprintf("fixed[%d]", i), ids); err != nil {
			return err
		}
	}
	return nil
}

func (k *Kubernetes) check() error {
	if k == nil {
		return nil
	}
	switch k.Access {
	case "in-cluster":
		if k.Kubeconfig != "" || k.Context != "" {
			return fmt.Errorf("kubernetes.kubeconfig, kubernetes.context: of no use with access = %q", k.Access)
		}
	case "kubeconfig":
		if k.Kubeconfig == "" {
			return fmt.Errorf("kubernetes.kubeconfig: missing")
		}
	default:
		return fmt.Errorf(`kubernetes.access: %q is neither "in-cluster" nor "kubeconfig"`, k.Access)
	}
	if len(k.Partners) == 0 {
		return fmt.Errorf("kubernetes.partner: missing")
	}
	names := map[string]bool{}
	for i := range k.Partners {
		p := &k.Partners[i]
		at := fmt.Sprintf("kubernetes.partner[%d]", i)
		if p.Name == "" || len(p.Name) > 100 || strings.ContainsAny(p.Name, " \t\n") {
			return fmt.Errorf("%s.name: %.40q must be 1 to 100 characters without spaces", at, p.Name)
		}
		at += " (" + p.Name + ")"
		switch {
		case names[p.Name]:
			return fmt.Errorf("%s.name: it is there twice", at)
		case p.Namespace == nil:
			return fmt.Errorf(`%s.namespace: missing; "" stands for all`, at)
		case strings.Contains(*p.Namespace, "/"):
			return fmt.Errorf("%s.namespace: %.80q is no name", at, *p.Namespace)
		case p.Selector == "":
			return fmt.Errorf("%s.selector: missing", at)
		case p.Dest == nil:
			return fmt.Errorf("%s.dest: missing", at)
		case *p.Dest < 0:
			return fmt.Errorf("%s.dest: %d is out of range (0 or more)", at, *p.Dest)
		case p.Kind == "":
			return fmt.Errorf("%s.kind: missing", at)
		case !(p.Weight >= 0) || math.IsInf(p.Weight, 0):
			return fmt.Errorf("%s.weight: %g is out of range (0 or more)", at, p.Weight)
		case p.Family != "" && p.Family != "ipv4" && p.Family != "ipv6":
			return fmt.Errorf(`%s.family: %q is neither "ipv4" nor "ipv6"`, at, p.Family)
		}
		names[p.Name] = true
		if err := p.Grace.check(at+".grace_s", 10); err != nil {
			return err
		}
		if err := p.EmptyHold.check(at+".empty_hold_s", 3600); err != nil {
			return err
		}
	}
	return nil
}

func (x *Fixed) check(at string, ids map[string]bool) error {
	if x.ID == "" || len(x.ID) > 253 || strings.ContainsFunc(x.ID, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return fmt.Errorf("%s.id: %.80q must be 1 to 253 visible ASCII characters", at, x.ID)
	}
	at += " (" + x.ID + ")"
	if ids[x.ID] {
		return fmt.Errorf("%s.id: it is there twice", at)
	}
	ids[x.ID] = true
	if _, err := hostPort(at+".address", x.Address); err != nil {
		return err
	}
	switch {
	case x.Dest == nil:
		return fmt.Errorf("%s.dest: missing", at)
	case *x.Dest < 0:
		return fmt.Errorf("%s.dest: %d is out of range (0 or more)", at, *x.Dest)
	case x.Phase != "" && x.Phase != "active" && x.Phase != "leaving":
		return fmt.Errorf(`%s.phase: %q is neither "active" nor "leaving"`, at, x.Phase)
	case !(x.Weight >= 0) || math.IsInf(x.Weight, 0):
		return fmt.Errorf("%s.weight: %g is out of range (0 or more)", at, x.Weight)
	}
	return nil
}

func hostPort(name, addr string) (host string, err error) {
	host, port, err := net.SplitHostPort(addr)
	if n, perr := strconv.ParseUint(port, 10, 16); err != nil || host == "" || perr != nil || n == 0 {
		return "", fmt.Errorf("%s: %.80q is no address with a port", name, addr)
	}
	return host, nil
}
