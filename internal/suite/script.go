// Package suite plays scripts of partners' faults two ways, through the daemon over HTTP and through the gRPC plug-in, and
// compares what became of each message. Both ways run on virtual time; the plug-in can be played on real sockets, too.
// Only tests import it.
package suite

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
)

// Script is what happens in one play. Its text has a word and its fields a line; # begins a comment:
//
//	settings tries=3 slots=4 settle=500ms window=20s warm=1s
//	endpoint a                    (listed as active from the start)
//	endpoint b later              (there, and not listed yet)
//	on a 1 wait=300ms             (what the first call of each message at a meets)
//	on a * error                  (and all further ones; without a line: ok)
//	10ms call m1 unsafe time=5s   (key=K; big: a request of which the last byte can be kept from coming)
//	20ms list a leaving           (the list says active, leaving or gone; "at b" as the endpoint's address)
//	30ms down a                   (connections are reset, and new ones refused; up)
//	40ms lose a                   (before any connection: dials get no answer)
//	50ms cancel m1
//	60ms restart                  (the process is killed and another one begins; it has a folder)
//	until 3s
//
// A line "unprovable" names a script whose row can't be proven over gRPC: there the plug-in may do less. "loopback"
// is a script that is played on real sockets, too.
type Script struct {
	Name                            string
	Settings                        control.Settings
	Unprovable, Loopback, HasFolder bool
	Endpoints                       []string
	later                           map[string]bool
	meets                           map[string]map[int]Meeting // by endpoint and count of the message's calls there, 0: further ones
	events                          []event
	until                           time.Duration
}

// Meeting is what a call meets at a partner.
type Meeting struct {
	Kind string // ok, error, wait, pushback, full, moot, over, reset, hang, cut-answer, cut-early, stall
	For  time.Duration
}

// early tells that a call meets it before its last byte has come.
func (m Meeting) early() bool { return m.Kind == "cut-early" || m.Kind == "stall" }

// ran tells that the partner carries the call out.
func (m Meeting) ran() bool {
	return slices.Contains([]string{"ok", "error", "reset", "hang", "cut-answer"}, m.Kind)
}

var kinds = []string{"ok", "error", "wait", "pushback", "full", "moot", "over", "reset", "hang", "cut-answer", "cut-early", "stall"}

type event struct {
	at     time.Duration
	what   string // call, cancel, list, down, up, lose, restart
	name   string // of a message or an endpoint
	class  string
	key    string
	time   time.Duration
	big    bool
	phase  engine.Phase
	moveTo string
}

const (
	kindName   = "partners"
	dest       = 7
	answerTime = 20 * time.Millisecond // what an endpoint takes for a call
)

// settings are a dispatcher's with a class of each effect and one in order.
func settings() control.Settings {
	const s, ms = control.Second, control.Millisecond
	class := func(name string, effect control.Effect) control.Class {
		return control.Class{Name: name, Effect: effect, Window: 20 * s, Aim: 2 * s, Deadline: 20 * s, Worth: 1, LateWorth: 0.5}
	}
	ordered := class("ordered", control.Guarded)
	ordered.InOrder = true
	return control.Settings{
		Instances: 1, Tick: 5 * ms, OverShare: 0.05, ReportLeft: -1, ReportLimit: -1,
		Classes: []control.Class{class("free", control.Free), class("keyed", control.Guarded), class("unsafe", control.SingleShot), ordered},
		Kinds:   []control.Kind{{Name: kindName, Batch: 1}},
		Slots:   8, MaxOpen: 100, MaxTries: 3, MayCancel: true, RetryAfter: true, MaxRetryAfter: 5 * s, ConnIdle: 60 * s,
		ConnectTimeout: s, StreamsPerConn: 1, StopSendingWithin: s, ColdFrom: 0.2, WarmUp: s, TipMultiple: 2, OverloadFor: s,
		SettleAfterDoubt: 100 * ms,
	}
}

// Parse reads a script. Errors name the line.
func Parse(name, text string) (*Script, error) {
	s := &Script{Name: name, Settings: settings(), later: map[string]bool{}, meets: map[string]map[int]Meeting{}}
	n := 0
	for line := range strings.Lines(text) {
		n++
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if err := s.line(words); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", name, n, err)
		}
	}
	if s.until == 0 || len(s.Endpoints) == 0 || len(s.events) == 0 {
		return nil, fmt.Errorf("%s: no endpoint, no event or no end", name)
	}
	return s, nil
}

func (s *Script) line(w []string) (err error) {
	switch w[0] {
	case "settings":
		return s.set(w[1:])
	case "unprovable":
		s.Unprovable = true
	case "loopback":
		s.Loopback = true
	case "endpoint":
		s.Endpoints = append(s.Endpoints, w[1])
		s.later[w[1]] = len(w) > 2 && w[2] == "later"
		s.meets[w[1]] = map[int]Meeting{0: {Kind: "ok"}}
	case "on":
		if len(w) != 4 || s.meets[w[1]] == nil {
			return fmt.Errorf("%q: want on ENDPOINT COUNT MEETING", strings.Join(w, " "))
		}
		count := 0
		if w[2] != "*" {
			if count, err = strconv.Atoi(w[2]); err != nil {
				return fmt.Errorf("count: %w", err)
			}
		}
		m := Meeting{}
		kind, span, timed := strings.Cut(w[3], "=")
		if m.Kind = kind; !slices.Contains(kinds, kind) {
			return fmt.Errorf("meeting %q is unknown", kind)
		}
		if timed {
			if m.For, err = time.ParseDuration(span); err != nil {
				return fmt.Errorf("meeting: %w", err)
			}
		}
		s.meets[w[1]][count] = m
	case "until":
		s.until, err = time.ParseDuration(w[1])
	default:
		return s.event(w)
	}
	return err
}

func (s *Script) set(w []string) error {
	for _, f := range w {
		name, value, _ := strings.Cut(f, "=")
		switch name {
		case "tries", "slots":
			n, err := strconv.Atoi(value)
			if err != nil {
				return fmt.Errorf("setting %s: %w", name, err)
			}
			if name == "tries" {
				s.Settings.MaxTries = n
			} else {
				s.Settings.Slots = n
			}
		case "settle", "window", "warm":
			d, err := time.ParseDuration(value)
			if err != nil {
				return fmt.Errorf("setting %s: %w", name, err)
			}
			switch t := control.Time(d.Microseconds()); name {
			case "settle":
				s.Settings.SettleAfterDoubt = t
			case "warm":
				s.Settings.WarmUp = t
			default:
				for i := range s.Settings.Classes {
					s.Settings.Classes[i].Window = t
				}
			}
		default:
			return fmt.Errorf("setting %q is unknown", name)
		}
	}
	return nil
}

func (s *Script) event(w []string) (err error) {
	e := event{time: 10 * time.Second}
	if e.at, err = time.ParseDuration(w[0]); err != nil || len(w) < 2 {
		return fmt.Errorf("%q is no event", strings.Join(w, " "))
	}
	e.what = w[1]
	if len(w) > 2 {
		e.name = w[2]
	}
	rest := w[min(3, len(w)):]
	switch e.what {
	case "call":
		if len(rest) == 0 {
			return fmt.Errorf("call %s: no class", e.name)
		}
		if e.class = rest[0]; e.class == "keyed" || e.class == "ordered" {
			e.key = "key-" + e.name
		}
		for _, f := range rest[1:] {
			name, value, _ := strings.Cut(f, "=")
			switch name {
			case "key":
				e.key = value
			case "big":
				e.big = true
			case "time":
				if e.time, err = time.ParseDuration(value); err != nil {
					return fmt.Errorf("time: %w", err)
				}
			default:
				return fmt.Errorf("field %q is unknown", name)
			}
		}
	case "list":
		phases := map[string]engine.Phase{"active": engine.Active, "leaving": engine.Leaving, "gone": engine.Gone}
		p, ok := phases[strings.Join(rest[:min(1, len(rest))], "")]
		if !ok || s.meets[e.name] == nil {
			return fmt.Errorf("list %s: want an endpoint and active, leaving or gone", e.name)
		}
		e.phase = p
		if len(rest) == 3 && rest[1] == "at" {
			e.moveTo = rest[2]
		}
	case "down", "up", "lose":
		if s.meets[e.name] == nil {
			return fmt.Errorf("%s: endpoint %q is unknown", e.what, e.name)
		}
	case "cancel":
	case "restart":
		s.HasFolder = true
	default:
		return fmt.Errorf("event %q is unknown", e.what)
	}
	s.events = append(s.events, e)
	return nil
}

// meet is what the n-th call of a message meets at an endpoint.
func (s *Script) meet(endpoint string, n int) Meeting {
	if m, ok := s.meets[endpoint][n]; ok {
		return m
	}
	return s.meets[endpoint][0]
}

// Fate is what became of one message.
type Fate struct {
	Final     string   // answered, refused, failed, cancelled; empty: nothing yet
	Endpoints []string // of its attempts that reached a partner, in their order
	Effects   int
}

// Result is what became of a play's messages. Unmet is how many dials met nobody; it is told where there is one message.
type Result struct {
	Fates map[string]Fate
	Unmet int
}

// Diff tells what is not the same in two results, the daemon's and the plug-in's, a line for each message. less says that
// wherever they differ the plug-in did less: no more attempts, no more effects.
func Diff(daemon, plugin *Result) (lines []string, less bool) {
	less = true
	names := map[string]bool{}
	for _, r := range []*Result{daemon, plugin} {
		for m := range r.Fates {
			names[m] = true
		}
	}
	for m := range names {
		d, p := daemon.Fates[m], plugin.Fates[m]
		if d.Final == p.Final && slices.Equal(d.Endpoints, p.Endpoints) && d.Effects == p.Effects {
			continue
		}
		lines = append(lines, fmt.Sprintf("%s: daemon %+v, plug-in %+v", m, d, p))
		less = less && len(p.Endpoints) <= len(d.Endpoints) && p.Effects <= d.Effects
	}
	if len(names) == 1 && daemon.Unmet != plugin.Unmet {
		lines = append(lines, fmt.Sprintf("dials that met nobody: daemon %d, plug-in %d", daemon.Unmet, plugin.Unmet))
		less = less && plugin.Unmet <= daemon.Unmet
	}
	slices.Sort(lines)
	return lines, less
}
