// Package resend decides what to do with undelivered messages: whether one may be resent, when, and what must be known
// first. It does no I/O, reads no clock and starts no goroutine. The caller passes in the time and carries out the
// decisions. Times are microseconds on a clock that never goes back, not even over restarts.
package resend

import (
	"fmt"
	"math"
	"slices"

	"curlewmux/control"
)

// Time is an instant, or a span, in microseconds.
type Time = control.Time

// Class holds the properties of a message class that matter for resending.
type Class struct {
	Name        string
	Effect      control.Effect
	ZoneGroup   bool // Guarded: repeats are dropped only within one zone
	Ordered     bool // its keys are order keys and don't identify messages
	DedupWindow Time // Guarded: how long repeats are dropped, counted from the first attempt that may have run
	Deadline    Time // longest time from the acceptance of a message to its end
	Worth       float64
}

// Proof says how to find out whether a message took effect at a partner.
type Proof uint8

// Proofs.
const (
	NoProof   Proof = iota // only an operator can find out
	ByKey                  // the partner drops messages with a key that it remembers
	ByInquiry              // the partner can be asked
)

// Partner holds the settings of a destination. Destinations without settings have NoProof.
type Partner struct {
	Destination  int
	Proof        Proof
	SettleTime   Time // how long a call may still run at the partner after the dispatcher has abandoned it
	RememberTime Time // how long the partner remembers a key, or that a message took effect
}

// Rule says which messages are resent, and when. The first rule that matches a message applies.
type Rule struct {
	Name         string
	Classes      []string // empty: all; the same for the next three fields
	Destinations []int
	Tenants      []string
	Causes       []string
	Doubt        DoubtFilter
	MaxAge       Time // older messages are left to operators; 0: no limit

	MaxResends int     // limit on resends
	FirstDelay Time    // delay of the first resend, from when the message became undelivered
	Factor     float64 // each further delay is longer by this factor; less than 1 counts as 1
	MaxDelay   Time    // limit on delays before the jitter; less than FirstDelay counts as FirstDelay
	Jitter     float64 // largest random addition to a delay, as a part of it
}

// DoubtFilter says which messages a rule matches.
type DoubtFilter uint8

// Doubt filters.
const (
	AnyDoubt  DoubtFilter = iota
	NoDoubt               // messages that certainly took no effect
	OnlyDoubt             // messages that may have taken effect
)

// Settings configures all decisions. It does not change.
type Settings struct {
	Classes  []Class
	Tenants  []string // none: there are no tenants
	Partners []Partner
	Rules    []Rule
	MaxBody  int // current limit of a body in bytes; 0: no limit
}

// Item describes an undelivered message.
type Item struct {
	Number            uint64
	Class, Tenant     string
	Destination       int
	Cause             string
	Body              int // bytes
	HasKey            bool
	KeptAt            Time   // when it first became undelivered
	LastEnd           Time   // when it last became undelivered
	Resends           int    // number of resends so far
	LastFailedInquiry Time   // when the last inquiry failed
	FailedInquiries   int    // consecutive failed inquiries
	HoldReason        string // why rules must not resend it, "" if they may
	Doubt             Doubt
}

// Doubt says whether a message may have taken effect.
type Doubt struct {
	FirstSent  Time // when the first attempt that may have run was sent, 0 if there is none
	Zone       int  // of the endpoint that it was sent to
	QuietFrom  Time // from then on the dispatcher has no call open for it
	AgeUnknown bool // FirstSent is unreliable, since the clock was set back in the meantime
}

// Action is what to do with a message.
type Action uint8

// Actions.
const (
	Wait          Action = iota + 1 // decide again at the time At
	Ask                             // ask the partner whether it took effect; DecideInquiry handles the answer
	Send                            // resend it as a message that never ran
	SendInDoubt                     // resend it with the doubt of its earlier attempts
	Leave                           // leave it to operators
	MarkDelivered                   // it took effect: mark it as delivered
	ClearDoubt                      // it took no effect, and no earlier call can run any more: clear its doubt
)

func (d Action) String() string {
	return [...]string{"?", "wait", "ask", "send", "send-doubted", "leave", "took", "clear"}[d]
}

// Decision is a decision on a message.
type Decision struct {
	Action Action
	At     Time   // of Wait
	Rule   string // name of the rule that matched, "" if none did
	Reason string // reason for Wait and Leave, for operators
}

// Answer is the result of an inquiry at a partner.
type Answer uint8

// Answers.
const (
	Unanswered Answer = iota
	Yes
	No
	Unknown // the partner does not know, or no longer
)

func (a Answer) String() string { return [...]string{"unanswered", "yes", "no", "unknown"}[a] }

const (
	ageTolerance       = control.Second       // tolerated error of ages; also the minimum time for an attempt within a key's window
	maxFailedInquiries = 30                   // consecutive failed inquiries after which the message is left to operators
	firstInquiryPause  = 2 * control.Second   // pause after the first failed inquiry; doubles with each further one
	maxInquiryPause    = 600 * control.Second // limit on that pause before the jitter
)

// class returns the class of the given name, nil if there is none.
func (s *Settings) class(name string) *Class {
	if i := slices.IndexFunc(s.Classes, func(c Class) bool { return c.Name == name }); i >= 0 {
		return &s.Classes[i]
	}
	return nil
}

// Partner returns the settings of a destination.
func (s *Settings) Partner(dest int) Partner {
	if i := slices.IndexFunc(s.Partners, func(p Partner) bool { return p.Destination == dest }); i >= 0 {
		return s.Partners[i]
	}
	return Partner{Destination: dest}
}

// Decide decides what the rules do with a message now.
func (s *Settings) Decide(item *Item, now Time) Decision {
	c, why := s.checkSendable(item)
	switch {
	case item.HoldReason != "":
		return Decision{Action: Leave, Reason: item.HoldReason}
	case why != "":
		return Decision{Action: Leave, Reason: why}
	}
	i := slices.IndexFunc(s.Rules, func(r Rule) bool { return r.matches(item) })
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
	case item.Resends >= r.MaxResends:
		return leave("it had all %d tries of rule %q", r.MaxResends, r.Name)
	case r.MaxAge > 0 && now-item.KeptAt > r.MaxAge:
		return leave("it is older than rule %q allows", r.Name)
	case item.FailedInquiries >= maxFailedInquiries:
		return leave("%d inquiries in a row brought no answer", item.FailedInquiries)
	}
	due := item.LastEnd + backoff(r.FirstDelay, r.MaxDelay, r.Factor, r.Jitter, item.Number, item.Resends)
	if item.FailedInquiries > 0 {
		due = max(due, item.LastFailedInquiry+backoff(firstInquiryPause, maxInquiryPause, 2, 0.5, item.Number, item.FailedInquiries-1))
	}
	if now < due {
		return Decision{Action: Wait, At: due, Rule: r.Name, Reason: "its next try is due later"}
	}
	v := s.decideSafely(item, c, now)
	v.Rule = r.Name
	return v
}

// DecideManual decides on a message that an operator wants to resend. vouched means that the operator confirms that it took
// no effect.
func (s *Settings) DecideManual(item *Item, now Time, vouched bool) Decision {
	c, why := s.checkSendable(item)
	if why != "" {
		return Decision{Action: Leave, Reason: why}
	}
	if quiet := s.quietFrom(item); vouched && item.Doubt.FirstSent != 0 {
		if now < quiet {
			return Decision{Action: Wait, At: quiet, Reason: "an earlier call may still be running at the partner"}
		}
		return Decision{Action: ClearDoubt}
	}
	return s.decideSafely(item, c, now)
}

// DecideInquiry decides on a message after an inquiry that was sent at the time asked and got the answer a.
func (s *Settings) DecideInquiry(item *Item, asked, now Time, a Answer) Decision {
	p := s.Partner(item.Destination)
	switch a {
	case Yes:
		return Decision{Action: MarkDelivered}
	case Unknown:
		return Decision{Action: Leave, Reason: "the partner can't tell whether it took effect"}
	case Unanswered:
		return Decision{Action: Wait, At: now + backoff(firstInquiryPause, maxInquiryPause, 2, 0.5, item.Number, item.FailedInquiries), Reason: "the partner did not answer"}
	}
	switch quiet := s.quietFrom(item); {
	case asked < quiet: // an earlier call may have run after the inquiry
		return Decision{Action: Wait, At: quiet, Reason: "an earlier call may still be running at the partner"}
	case item.Doubt.AgeUnknown || now+ageTolerance >= item.Doubt.FirstSent+p.RememberTime: // a partner that no longer remembers answers no, too
		return Decision{Action: Leave, Reason: reasonForgotten}
	}
	return Decision{Action: ClearDoubt}
}

const reasonForgotten = "the partner may have forgotten whether it took effect"

// checkSendable returns the class of a message, or the reason why the message can't be sent at all.
func (s *Settings) checkSendable(item *Item) (*Class, string) {
	c := s.class(item.Class)
	switch {
	case c == nil:
		return nil, fmt.Sprintf("class %q is not among the settings", item.Class)
	case len(s.Tenants) > 0 && !slices.Contains(s.Tenants, item.Tenant):
		return nil, fmt.Sprintf("tenant %q is not among the settings", item.Tenant)
	case s.MaxBody > 0 && item.Body > s.MaxBody:
		return nil, fmt.Sprintf("its body of %d bytes is over today's limit of %d", item.Body, s.MaxBody)
	}
	return c, ""
}

// quietFrom returns the time from which no earlier call can run any more, neither at the dispatcher nor at the partner.
func (s *Settings) quietFrom(item *Item) Time {
	return item.Doubt.QuietFrom + s.Partner(item.Destination).SettleTime
}

// decideSafely decides whether a message may be sent now without the risk that it takes effect a second time.
func (s *Settings) decideSafely(item *Item, c *Class, now Time) Decision {
	d, p := &item.Doubt, s.Partner(item.Destination)
	if d.FirstSent == 0 || c.Effect == control.Free {
		return Decision{Action: Send}
	}
	key := item.HasKey && !c.Ordered && !d.AgeUnknown
	switch {
	case key && p.Proof == ByKey && now+c.Deadline+p.SettleTime+ageTolerance < d.FirstSent+p.RememberTime:
		return Decision{Action: Send} // the resend ends before the partner forgets the key
	case key && c.Effect == control.Guarded && now+ageTolerance < d.FirstSent+c.DedupWindow:
		return Decision{Action: SendInDoubt} // the decision module stops sending at the end of the window
	case p.Proof == ByInquiry:
		if d.AgeUnknown || now+ageTolerance >= d.FirstSent+p.RememberTime {
			return Decision{Action: Leave, Reason: reasonForgotten}
		}
		if quiet := s.quietFrom(item); now < quiet {
			return Decision{Action: Wait, At: quiet, Reason: "an earlier call may still be running at the partner"}
		}
		return Decision{Action: Ask}
	case p.Proof == ByKey:
		return Decision{Action: Leave, Reason: "it may have taken effect, and the partner may not remember its key for long enough"}
	}
	return Decision{Action: Leave, Reason: "it may have taken effect, and only an operator can say that it did not"}
}

// matches reports whether a rule matches a message.
func (r *Rule) matches(item *Item) bool {
	return emptyOrContains(r.Classes, item.Class) && emptyOrContains(r.Destinations, item.Destination) && emptyOrContains(r.Tenants, item.Tenant) && emptyOrContains(r.Causes, item.Cause) &&
		(r.Doubt == AnyDoubt || (r.Doubt == OnlyDoubt) == (item.Doubt.FirstSent != 0))
}

// emptyOrContains reports whether v is in list. An empty list contains every value.
func emptyOrContains[T comparable](list []T, v T) bool {
	return len(list) == 0 || slices.Contains(list, v)
}

// backoff returns pause n (from 0) of an exponential backoff with the jitter of this message.
func backoff(first, most Time, factor, jitter float64, no uint64, n int) Time {
	pause := min(float64(first)*math.Pow(max(factor, 1), float64(n)), float64(max(most, first)))
	return Time(pause * (1 + jitter*jitterFraction(no, n)))
}

// jitterFraction returns a pseudo-random number from 0 to 1 that depends only on the message and the try (splitmix64).
func jitterFraction(no uint64, n int) float64 {
	x := no*0x9E3779B97F4A7C15 + uint64(n+1)*0xD1B54A32D192ED03
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return float64((x^x>>31)>>11) / (1 << 53)
}
