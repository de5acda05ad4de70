package wire

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"curlewmux/control"
)

// pairs holds the settings text; the first fault is kept, naming its key.
type pairs struct {
	at     map[string]string
	err    error
	preset map[string]string // what keys that are absent count as
}

func (p *pairs) fault(key, what string) {
	if p.err == nil {
		p.err = fmt.Errorf("setting %s: %s", key, what)
	}
}

// num reads a number; a key that is absent gives the fallback, or a fault
// where it is needed.
func (p *pairs) num(key string, needed bool, fallback float64) float64 {
	text, ok := p.at[key]
	if !ok {
		if needed {
			p.fault(key, "missing")
		}
		p.preset[key] = strconv.FormatFloat(fallback, 'g', -1, 64)
		return fallback
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		p.fault(key, fmt.Sprintf("%q is not a number", text))
		return fallback
	}
	if v < 0 {
		p.fault(key, fmt.Sprintf("%s is out of range", text))
		return fallback
	}
	return v
}

func (p *pairs) count(key string, needed bool, fallback int) int {
	v := p.num(key, needed, float64(fallback))
	if v > math.MaxInt32 {
		p.fault(key, fmt.Sprintf("%g is out of range", v))
		return fallback
	}
	return int(v)
}

func (p *pairs) span(key string, needed bool) control.Time {
	v := p.num(key, needed, 0)
	if v > math.MaxInt64/4 {
		p.fault(key, fmt.Sprintf("%g is out of range", v))
		return 0
	}
	return control.Time(v)
}

func (p *pairs) yes(key string) bool {
	if _, ok := p.at[key]; !ok {
		p.preset[key] = "false"
	}
	return p.at[key] == "true"
}

func (p *pairs) list(key string) []string {
	if p.at[key] == "" {
		return nil
	}
	return strings.Split(p.at[key], ",")
}

// RiskAfter is the setting of that name for the daemon and for the simulator's host, which the platform does not tell: a
// destination that gets unsafe messages alone is tried again so long after a trial was due, else nobody ever would.
const RiskAfter = 4 * control.Second

// ParseSettings reads path=value lines. Unknown keys are skipped.
func ParseSettings(text string) (control.Settings, error) {
	s, _, err := ParsePresets(text)
	return s, err
}

// ParsePresets is ParseSettings, and returns as well what numbers and switches count as that are not in the text.
func ParsePresets(text string) (control.Settings, map[string]string, error) {
	p := &pairs{at: make(map[string]string), preset: make(map[string]string)}
	s, err := p.settings(text)
	return s, p.preset, err
}

func (p *pairs) settings(text string) (control.Settings, error) {
	for line := range strings.Lines(text) {
		if k, v, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			p.at[k] = v
		}
	}
	s := control.Settings{
		Me: p.count("me", false, 0), Instances: p.count("instances", true, 1), Zone: p.count("zone", false, 0),
		Tick: p.span("tick", true), LateHalving: p.at["extra.late"] == "halving",
		OverShare: p.num("over-share-worth", false, 1),
		Slots:     p.count("extra.slots", true, 1), MaxOpen: p.count("limits.max-open", true, 1),
		MaxTries: p.count("limits.most-tries", true, 1), MayCancel: p.yes("limits.may-cancel"),
		Probes: p.yes("limits.probes"), RetryAfter: p.yes("limits.retry-after"),
		MaxRetryAfter: p.span("limits.max-retry-after", false), ConnIdle: p.span("limits.conn-idle", false),
		ConnectTimeout: p.span("limits.connect-timeout", false), StreamsPerConn: p.count("limits.streams-per-conn", false, 1),
		StopSendingWithin: p.span("rules.stop-sending-within", false), ColdFrom: p.num("rules.cold-from", false, 1),
		WarmUp: p.span("rules.warm-up", false), TipMultiple: p.num("rules.tip-multiple", false, 1),
		OverloadFor: p.span("rules.overload-for", false), SettleAfterDoubt: p.span("rules.settle-after-doubt", false),
		ReportLeft: -1, ReportLimit: -1,
	}
	switch p.at["weights"] {
	case "nominal":
		s.Weights = control.WeightNominal
	case "rough":
		s.Weights = control.WeightRough
	}
	for i, name := range p.list("report.names") {
		switch name {
		case "x0":
			s.ReportLeft = i
		case "x1":
			s.ReportLimit = i
		}
	}
	p.kinds(&s)
	p.classes(&s)
	for i := range p.count("tenants.count", false, 0) {
		at := fmt.Sprintf("tenants.%d.", i)
		s.Tenants = append(s.Tenants, control.Tenant{Name: p.at[at+"name"], Quota: p.num(at+"quota-per-s", true, 0)})
		if p.err != nil {
			break
		}
	}
	if p.err != nil {
		return s, p.err
	}
	var out *control.SettingError
	if err := s.Check(); errors.As(err, &out) {
		return s, fmt.Errorf("setting %s: %g is out of range", nameOf(out.Field), out.Value)
	}
	return s, nil
}

// Subscribes tells whether changes of the list come only to those that ask for them.
func Subscribes(text string) bool {
	for line := range strings.Lines(text) {
		if k, v, ok := strings.Cut(strings.TrimSpace(line), "="); ok && k == "membership-mode" {
			return v == "subscribe"
		}
	}
	return false
}

// nameOf is the wire's name of a field of the settings.
func nameOf(field string) string {
	names := map[string]string{
		"Slots": "extra.slots", "MaxOpen": "limits.max-open", "MaxTries": "limits.most-tries", "Instances": "instances",
		"Tick": "tick", "Classes": "classes.count", "Me": "me", "Zone": "zone", "OverShare": "over-share-worth",
		"MaxRetryAfter": "limits.max-retry-after", "ConnIdle": "limits.conn-idle",
		"ConnectTimeout": "limits.connect-timeout", "StreamsPerConn": "limits.streams-per-conn",
		"StopSendingWithin": "rules.stop-sending-within", "ColdFrom": "rules.cold-from", "WarmUp": "rules.warm-up",
		"TipMultiple": "rules.tip-multiple", "OverloadFor": "rules.overload-for",
		"SettleAfterDoubt": "rules.settle-after-doubt",
		"Classes[].Window": "classes.%d.window", "Classes[].Aim": "classes.%d.target",
		"Classes[].Deadline": "classes.%d.hard-limit", "Classes[].Worth": "classes.%d.gain",
		"Classes[].LateWorth": "classes.%d.late-worth", "Tenants[].Quota": "tenants.%d.quota-per-s",
		"Kinds[].Batch": "extra.batch-by-kind",
	}
	open, shut := strings.IndexByte(field, '['), strings.IndexByte(field, ']')
	if open < 0 {
		return names[field]
	}
	name := names[field[:open+1]+field[shut:]]
	if n, err := strconv.Atoi(field[open+1 : shut]); err == nil && strings.Contains(name, "%d") {
		name = fmt.Sprintf(name, n)
	}
	return name
}

func (p *pairs) kinds(s *control.Settings) {
	batch, apart := p.list("extra.batch-by-kind"), p.list("extra.routes-apart")
	for i, name := range p.list("host-types") {
		k := control.Kind{Name: name, Batch: 1}
		if i < len(batch) {
			n, err := strconv.Atoi(batch[i])
			if err != nil || n < 1 {
				p.fault("extra.batch-by-kind", fmt.Sprintf("%q is not a count", batch[i]))
			}
			k.Batch = n
		}
		k.RoutesApart = i < len(apart) && apart[i] == "true"
		s.Kinds = append(s.Kinds, k)
	}
}

func (p *pairs) classes(s *control.Settings) {
	for i := range p.count("classes.count", true, 0) {
		at := fmt.Sprintf("classes.%d.", i)
		c := control.Class{
			Name: p.at[at+"name"], ZoneGroup: p.at[at+"group"] == "zone", Window: p.span(at+"window", false),
			Aim: p.span(at+"target", true), Deadline: p.span(at+"hard-limit", true), Worth: p.num(at+"gain", true, 1),
			LateWorth: p.num(at+"late-worth", false, 0), InOrder: p.yes(at + "by-arrival"),
		}
		switch effect := p.at[at+"effect"]; effect {
		case "free":
			c.Effect = control.Free
		case "guarded":
			c.Effect = control.Guarded
		case "single_shot":
			c.Effect = control.SingleShot
		default:
			p.fault(at+"effect", fmt.Sprintf("%q is unknown", effect))
		}
		s.Classes = append(s.Classes, c)
		if p.err != nil {
			return
		}
	}
}
