package operator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Undelivered is what has a dispatcher keep what it could not deliver, and send it again.
type Undelivered struct {
	Share       float64              `toml:"disk_share"` // of disk_mb, 0 for 0.3
	WhenFull    string               `toml:"when_full"`  // oldest or least-worth; "" is oldest
	Retain      Span                 `toml:"retain_s"`
	RetainClass map[string]Span      `toml:"retain_class"`
	RetainEnded Span                 `toml:"retain_ended_s"`
	Refused     *int                 `toml:"refused"`
	Slots       float64              `toml:"slots_share"`
	Rate        float64              `toml:"rate_share"`
	Trial       Span                 `toml:"trial_s"`
	Claim       Span                 `toml:"claim_s"`
	Socket      *string              `toml:"socket"` // name in the state folder, "" for none
	Partners    []UndeliveredPartner `toml:"partner"`
	Rules       []UndeliveredRule    `toml:"rule"`
}

// UndeliveredPartner says how it can be known whether a message took effect at a destination.
type UndeliveredPartner struct {
	Dest      *int   `toml:"dest"`
	Proof     string `toml:"proof"` // none, key or inquiry
	Settle    Span   `toml:"settle_s"`
	Remembers Span   `toml:"remembers_s"`
	Address   string `toml:"address"`
	Path      string `toml:"path"`
	Timeout   Span   `toml:"timeout_s"`
}

// UndeliveredRule says what is sent again without anybody's doing.
type UndeliveredRule struct {
	Name    string   `toml:"name"`
	Classes []string `toml:"classes"`
	Dests   []int    `toml:"dests"`
	Tenants []string `toml:"tenants"`
	Causes  []string `toml:"causes"`
	Doubt   string   `toml:"doubt"` // any, none or only; "" is any
	MaxAge  Span     `toml:"max_age_s"`
	Tries   int      `toml:"tries"`
	First   Span     `toml:"first_s"`
	Factor  float64  `toml:"factor"`
	Most    Span     `toml:"most_s"`
	Jitter  *float64 `toml:"jitter"`
}

// Causes are what a rule's causes may be.
var causes = []string{"time", "tries", "doubt", "never", "class", "crowds"}

const (
	year      = 366 * 86400
	mostTries = 100
)

// check also puts defaults in.
func (u *Undelivered) check() error {
	if u == nil {
		return nil
	}
	for _, s := range []struct {
		name        string
		v           *float64
		preset, max float64
	}{{"disk_share", &u.Share, 0.3, 0.9}, {"slots_share", &u.Slots, 0.2, 0.5}, {"rate_share", &u.Rate, 0.25, 1}} {
		if *s.v == 0 {
			*s.v = s.preset
		}
		if !(*s.v >= 0.01 && *s.v <= s.max) {
			return fmt.Errorf("undelivered.%s: %g is out of range (0.01 to %g)", s.name, *s.v, s.max)
		}
	}
	switch u.WhenFull {
	case "":
		u.WhenFull = "oldest"
	case "oldest", "least-worth":
	default:
		return fmt.Errorf(`undelivered.when_full: %q is neither "oldest" nor "least-worth"`, u.WhenFull)
	}
	for _, s := range []struct {
		name   string
		v      *Span
		preset Span
		most   float64
	}{
		{"retain_s", &u.Retain, 30 * 86400, 10 * year}, {"retain_ended_s", &u.RetainEnded, 7 * 86400, 10 * year},
		{"trial_s", &u.Trial, 60, 86400}, {"claim_s", &u.Claim, 600, 86400},
	} {
		if err := s.v.check("undelivered."+s.name, s.most); err != nil {
			return err
		}
		*s.v = cmp.Or(*s.v, s.preset)
	}
	for _, name := range slices.Sorted(maps.Keys(u.RetainClass)) {
		v := u.RetainClass[name]
		if err := v.check("undelivered.retain_class."+name, 10*year); err != nil {
			return err
		}
		if v == 0 {
			return fmt.Errorf("undelivered.retain_class.%s: 0 is out of range", name)
		}
	}
	if u.Refused == nil {
		n := 500
		u.Refused = &n
	}
	if *u.Refused < 0 || *u.Refused > 100_000 {
		return fmt.Errorf("undelivered.refused: %d is out of range (0 to 100000)", *u.Refused)
	}
	if u.Socket == nil {
		name := "curlewmux.sock"
		u.Socket = &name
	}
	if strings.ContainsAny(*u.Socket, "/\x00") || *u.Socket == "." || *u.Socket == ".." || len(*u.Socket) > 64 ||
		strings.HasPrefix(*u.Socket, "journal") || strings.HasPrefix(*u.Socket, "kept-") {
		return fmt.Errorf("undelivered.socket: %.80q is no name for a file in the state folder", *u.Socket)
	}
	dests := map[int]bool{}
	for i := range u.Partners {
		if err := u.Partners[i].check(fmt.Sprintf("undelivered.partner[%d]", i), dests); err != nil {
			return err
		}
	}
	names := map[string]bool{}
	for i := range u.Rules {
		if err := u.Rules[i].check(fmt.Sprintf("undelivered.rule[%d]", i), names); err != nil {
			return err
		}
	}
	return nil
}

func (p *UndeliveredPartner) check(at string, dests map[int]bool) error {
	switch {
	case p.Dest == nil:
		return fmt.Errorf("%s.dest: missing", at)
	case *p.Dest < 0 || *p.Dest > 65535:
		return fmt.Errorf("%s.dest: %d is out of range (0 to 65535)", at, *p.Dest)
	case dests[*p.Dest]:
		return fmt.Errorf("%s.dest: %d is there twice", at, *p.Dest)
	}
	dests[*p.Dest] = true
	at += fmt.Sprintf(" (dest %d)", *p.Dest)
	if p.Proof != "none" && p.Proof != "key" && p.Proof != "inquiry" {
		return fmt.Errorf(`%s.proof: %q is none of "none", "key" and "inquiry"`, at, p.Proof)
	}
	for _, s := range []struct {
		name string
		v    *Span
		most float64
	}{{"settle_s", &p.Settle, 86400}, {"remembers_s", &p.Remembers, 10 * year}, {"timeout_s", &p.Timeout, 300}} {
		if err := s.v.check(at+"."+s.name, s.most); err != nil {
			return err
		}
	}
	p.Settle = cmp.Or(p.Settle, 300)
	switch {
	case p.Proof == "none" && p.Remembers != 0:
		return fmt.Errorf(`%s.remembers_s: of no use with proof = "none"`, at)
	case p.Proof != "none" && p.Remembers == 0:
		return fmt.Errorf("%s.remembers_s: missing", at)
	case p.Proof != "inquiry" && (p.Address != "" || p.Path != "" || p.Timeout != 0):
		return fmt.Errorf(`%s.address, path, timeout_s: of no use without proof = "inquiry"`, at)
	case p.Proof != "inquiry":
		return nil
	case p.Remembers <= p.Settle:
		return fmt.Errorf("%s.remembers_s: %g is not over settle_s (%g): no answer could ever be believed", at, p.Remembers, p.Settle)
	}
	if _, err := hostPort(at+".address", p.Address); err != nil {
		return err
	}
	p.Path, p.Timeout = cmp.Or(p.Path, "/v1/effects"), cmp.Or(p.Timeout, 5)
	if !strings.HasPrefix(p.Path, "/") || strings.ContainsFunc(p.Path, func(r rune) bool { return r <= ' ' || r > '~' }) || len(p.Path) > 1000 {
		return fmt.Errorf("%s.path: %.80q is no path", at, p.Path)
	}
	return nil
}

func (r *UndeliveredRule) check(at string, names map[string]bool) error {
	switch {
	case r.Name == "":
		return fmt.Errorf("%s.name: missing", at)
	case len(r.Name) > 64 || strings.ContainsFunc(r.Name, func(c rune) bool { return c <= ' ' || c > '~' }):
		return fmt.Errorf("%s.name: %.80q is no name", at, r.Name)
	case names[r.Name]:
		return fmt.Errorf("%s.name: %q is there twice", at, r.Name)
	}
	names[r.Name] = true
	at += " (" + r.Name + ")"
	for _, c := range r.Causes {
		if !slices.Contains(causes, c) {
			return fmt.Errorf("%s.causes: %q is none of %s", at, c, strings.Join(causes, ", "))
		}
	}
	switch r.Doubt {
	case "":
		r.Doubt = "any"
	case "any", "none", "only":
	default:
		return fmt.Errorf(`%s.doubt: %q is none of "any", "none" and "only"`, at, r.Doubt)
	}
	for _, s := range []struct {
		name string
		v    *Span
	}{{"max_age_s", &r.MaxAge}, {"first_s", &r.First}, {"most_s", &r.Most}} {
		if err := s.v.check(at+"."+s.name, 10*year); err != nil {
			return err
		}
	}
	r.First, r.Factor = cmp.Or(r.First, 60), cmp.Or(r.Factor, 2)
	r.Most = cmp.Or(r.Most, max(3600, r.First))
	r.Tries = cmp.Or(r.Tries, 8)
	if r.Jitter == nil {
		j := 0.2
		r.Jitter = &j
	}
	switch {
	case r.Most < r.First:
		return fmt.Errorf("%s.most_s: %g is under first_s (%g)", at, r.Most, r.First)
	case !(r.Factor >= 1 && r.Factor <= 100):
		return fmt.Errorf("%s.factor: %g is out of range (1 to 100)", at, r.Factor)
	case r.Tries < 1 || r.Tries > mostTries:
		return fmt.Errorf("%s.tries: %d is out of range (1 to %d)", at, r.Tries, mostTries)
	case !(*r.Jitter >= 0 && *r.Jitter <= 1):
		return fmt.Errorf("%s.jitter: %g is out of range (0 to 1)", at, *r.Jitter)
	}
	return nil
}
