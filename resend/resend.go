// Package resend decides what becomes of undelivered messages that are kept: whether one may be sent again, when, and
// what has to be known first. It does no I/O, reads no clock, and has no goroutines; whoever calls it carries out what it
// says and tells it the time. Times are microseconds on one clock that never goes back, also not over restarts.
package resend

import (
	"fmt"
	"math"
	"slices"

	"curlewmux/control"
)

// Time is an instant, or a span, in microseconds.
type Time = control.Time

// Class is what a class of messages allows.
type Class struct {
	Name        string
	Effect      control.Effect
	ZoneGroup   bool // Guarded: only endpoints of one zone drop repeats
	Ordered     bool // its keys tell order, not identity
	DedupWindow Time // Guarded: how long repeats are dropped, from the first send that may have run
	Deadline    Time // how long a message lives at most
	Worth       float64
}

// Proof is how it can be known whether a message took effect at a partner.
type Proof uint8

// Proofs.
const (
	NoProof   Proof = iota // only an operator can say
	ByKey                  // the partner drops what comes with a key that it remembers
	ByInquiry              // the partner can be asked
)

// Partner is what is known of a destination. Those that are not named have NoProof.
type Partner struct {
	Destination  int
	Proof        Proof
	SettleTime   Time // how long a call may still run at the partner after it was given up here
	RememberTime Time // how long the partner remembers a key, or what took effect, from when it did
}

// Rule says what is sent again, and when. The first that fits a message counts.
type Rule struct {
	Name         string
	Classes      []string // none: all; the same for the next three
	Destinations []int
	Tenants      []string
	Causes       []string
	Doubt        DoubtFilter
	MaxAge       Time // older messages are left to operators; 0: none are

	MaxResends int     // lives after the first, at most
	FirstDelay Time    // how long after a life's end the next begins ...
	Factor     float64 // ... growing by this with each ...
	MaxDelay   Time    // ... up to this
	Jitter     float64 // and longer by a random part of it, up to this share
}

// DoubtFilter is which messages a rule fits.
type DoubtFilter uint8

// Doubt filters.
const (
	AnyDoubt DoubtFilter = iota
	NoDoubt              // those that certainly took no effect
	OnlyDoubt
)

// Settings are told once.
type Settings struct {
	Classes  []Class
	Tenants  []string // none: there are no tenants
	Partners []Partner
	Rules    []Rule
	MaxBody  int // bytes that a body may hold today; 0: any
}

// Item is what is known of a kept message.
type Item struct {
	Number            uint64
	Class, Tenant     string
	Destination       int
	Cause             string
	Body              int // bytes
	HasKey            bool
	KeptAt            Time   // when it was kept first
	LastEnd           Time   // when its newest life ended
	Resends           int    // lives after the first
	LastFailedInquiry Time   // when the newest inquiry failed
	FailedInquiries   int    // inquiries that failed, in a row
	HoldReason        string // why no rule may send it, "" if one may
	Doubt             Doubt
}

// Doubt says that a message may have taken effect.
type Doubt struct {
	FirstSent  Time // send of the first attempt that may have run, 0 if none may have
	Zone       int  // which it went to
	QuietFrom  Time // from then on no call of it is out here
	AgeUnknown bool // At can't be trusted: the clock was set back meanwhile
}

// Action is what is to be done with a message.
type Action uint8

// What is to be done.
const (
	Wait          Action = iota + 1 // look again At
	Ask                             // ask the partner whether it took effect; Answered judges the answer
	Send                            // as a message that never ran
	SendInDoubt                     // with the doubt of its earlier lives
	Leave                           // to operators
	MarkDelivered                   // it took effect: it is delivered
	ClearDoubt                      // it took no effect, and no earlier call can run any more
)

func (d Action) String() string {
	return [...]string{"?", "wait", "ask", "send", "send-doubted", "leave", "took", "clear"}[d]
}

// Decision is what is to be done with a message, and why.
type Decision struct {
	Action Action
	At     Time
	Rule   string
	Reason string // of Wait and Leave, for people
}

// Answer is what a partner answered to an inquiry.
type Answer uint8

// Answers.
const (
	Unanswered Answer = iota
	Yes
	No
	Unknown // it says that it can't tell (any more)
)

func (a Answer) String() string { return [...]string{"unanswered", "yes", "no", "unknown"}[a] }

const (
	slack    = control.Second // what ages may be off by; also the least time for a try within a key's window
	mostAsks = 30             // inquiries in a row that fail: then the message is left to operators
	askFirst = 2 * control.Second
	askMost  = 600 * control.Second
)

func (s *Settings) class(name string) *Class {
	if i := slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == name }); i >= 0 {
		return &s.Classes[i]
	}
	return nil
}

// Partner is what is known of a destination.
func (s *Settings) Partner(dest int) Partner {
	if i := slices.IndexFunc(s.Partners, func(p Partner) bool { return p.Destination == dest }); i >= 0 {
		return s.Partners[i]
	}
	return Partner{Destination: dest}
}

// Decide says what a rule does with a message now.
func (s *Settings) Decide(it *Item, now Time) Decision {
	c, why := s.possible(it)
	switch {
	case it.HoldReason != "":
		return Decision{Action: Leave, Reason: it.HoldReason}
	case why != "":
		return Decision{Action: Leave, Reason: why}
	}
	i := slices.IndexFunc(s.Rules, func(r Rule) bool { return r.fits(it) })
	if i < 0 {
		return Decision{Action: Leave, Reason: "no rule fits it"}
	}
	r := &s.Rules[i]
	leave := func(format string, args ...any) Decision {
		return Decision{Action: Leave, Rule: r.Name, Reason: fmt.Sprintf(format, args...)}
	}
	switch {
	case c.Ordered:
		return leave("its class is in order: what came since would be overtaken")
	case it.Resends >= r.MaxResends:
		return leave("it had all %d tries of rule %q", r.MaxResends, r.Name)
	case r.MaxAge > 0 && now-it.KeptAt > r.MaxAge:
		return leave("it is older than rule %q allows", r.Name)
	case it.FailedInquiries >= mostAsks:
		return leave("%d inquiries in a row brought no answer", it.FailedInquiries)
	}
	due := it.LastEnd + grown(r.FirstDelay, r.MaxDelay, r.Factor, r.Jitter, it.Number, it.Resends)
	if it.FailedInquiries > 0 {
		due = max(due, it.LastFailedInquiry+grown(askFirst, askMost, 2, 0.5, it.Number, it.FailedInquiries-1))
	}
	if now < due {
		return Decision{Action: Wait, At: due, Rule: r.Name, Reason: "its next try is due later"}
	}
	v := s.safe(it, c, now)
	v.Rule = r.Name
	return v
}

// DecideManual says what becomes of a message that an operator wants sent; vouched: who says that it did not take effect.
func (s *Settings) DecideManual(it *Item, now Time, vouched bool) Decision {
	c, why := s.possible(it)
	if why != "" {
		return Decision{Action: Leave, Reason: why}
	}
	if quiet := s.quiet(it); vouched && it.Doubt.FirstSent != 0 {
		if now < quiet {
			return Decision{Action: Wait, At: quiet, Reason: "an earlier call may still be running at the partner"}
		}
		return Decision{Action: ClearDoubt}
	}
	return s.safe(it, c, now)
}

// DecideInquiry says what an answer to an inquiry comes to that was begun at asked and is here now.
func (s *Settings) DecideInquiry(it *Item, asked, now Time, a Answer) Decision {
	p := s.Partner(it.Destination)
	switch a {
	case Yes:
		return Decision{Action: MarkDelivered}
	case Unknown:
		return Decision{Action: Leave, Reason: "the partner can't tell whether it took effect"}
	case Unanswered:
		return Decision{Action: Wait, At: now + grown(askFirst, askMost, 2, 0.5, it.Number, it.FailedInquiries), Reason: "the partner did not answer"}
	}
	switch quiet := s.quiet(it); {
	case asked < quiet: // it may have run since
		return Decision{Action: Wait, At: quiet, Reason: "an earlier call may still be running at the partner"}
	case it.Doubt.AgeUnknown || now+slack >= it.Doubt.FirstSent+p.RememberTime: // one that has forgotten says no, too
		return Decision{Action: Leave, Reason: forgotten}
	}
	return Decision{Action: ClearDoubt}
}

const forgotten = "the partner may have forgotten whether it took effect"

// possible returns a message's class, or why it can't be sent at all.
func (s *Settings) possible(it *Item) (*Class, string) {
	c := s.class(it.Class)
	switch {
	case c == nil:
		return nil, fmt.Sprintf("class %q is not among the settings", it.Class)
	case len(s.Tenants) > 0 && !slices.Contains(s.Tenants, it.Tenant):
		return nil, fmt.Sprintf("tenant %q is not among the settings", it.Tenant)
	case s.MaxBody > 0 && it.Body > s.MaxBody:
		return nil, fmt.Sprintf("its body of %d bytes is over today's limit of %d", it.Body, s.MaxBody)
	}
	return c, ""
}

// quiet is from when on no earlier call can run any more, neither here nor at the partner.
func (s *Settings) quiet(it *Item) Time {
	return it.Doubt.QuietFrom + s.Partner(it.Destination).SettleTime
}

// safe says whether sending a message now can take effect a second time.
func (s *Settings) safe(it *Item, c *Class, now Time) Decision {
	d, p := &it.Doubt, s.Partner(it.Destination)
	if d.FirstSent == 0 || c.Effect == control.Free {
		return Decision{Action: Send}
	}
	key := it.HasKey && !c.Ordered && !d.AgeUnknown
	switch {
	case key && p.Proof == ByKey && now+c.Deadline+p.SettleTime+slack < d.FirstSent+p.RememberTime:
		return Decision{Action: Send} // whatever its new life does falls into the time for which the key is remembered
	case key && c.Effect == control.Guarded && now+slack < d.FirstSent+c.DedupWindow:
		return Decision{Action: SendInDoubt} // the module's gate closes with the window
	case p.Proof == ByInquiry:
		if d.AgeUnknown || now+slack >= d.FirstSent+p.RememberTime {
			return Decision{Action: Leave, Reason: forgotten}
		}
		if quiet := s.quiet(it); now < quiet {
			return Decision{Action: Wait, At: quiet, Reason: "an earlier call may still be running at the partner"}
		}
		return Decision{Action: Ask}
	case p.Proof == ByKey:
		return Decision{Action: Leave, Reason: "it may have taken effect, and the partner may not remember its key for long enough"}
	}
	return Decision{Action: Leave, Reason: "it may have taken effect, and only an operator can say that it did not"}
}

// fits tells whether a rule is for a message.
func (r *Rule) fits(it *Item) bool {
	return among(r.Classes, it.Class) && among(r.Destinations, it.Destination) && among(r.Tenants, it.Tenant) && among(r.Causes, it.Cause) &&
		(r.Doubt == AnyDoubt || (r.Doubt == OnlyDoubt) == (it.Doubt.FirstSent != 0))
}

func among[T comparable](list []T, v T) bool { return len(list) == 0 || slices.Contains(list, v) }

// grown is the n-th pause of a series, with the part of its jitter that falls to this message.
func grown(first, most Time, factor, jitter float64, no uint64, n int) Time {
	pause := min(float64(first)*math.Pow(max(factor, 1), float64(n)), float64(max(most, first)))
	return Time(pause * (1 + jitter*draw(no, n)))
}

// draw is a number from 0 to 1 that is the same for the same message and try (splitmix64).
func draw(no uint64, n int) float64 {
	x := no*0x9E3779B97F4A7C15 + uint64(n+1)*0xD1B54A32D192ED03
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return float64((x^x>>31)>>11) / (1 << 53)
}
