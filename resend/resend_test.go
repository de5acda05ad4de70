package resend

import (
	"cmp"
	"strings"
	"testing"

	"curlewmux/control"
)

const (
	second = control.Second
	hour   = 3600 * second
	now    = 100 * hour
)

// settings have one class of each effect, and one partner of each proof.
func settings() *Settings {
	return &Settings{
		Classes: []Class{
			{Name: "unsafe", Effect: control.SingleShot, Deadline: 28 * second},
			{Name: "keyed", Effect: control.Guarded, Deadline: 24 * second, DedupWindow: 10 * second},
			{Name: "free", Effect: control.Free, Deadline: 5 * second},
			{Name: "ordered", Effect: control.SingleShot, Ordered: true, Deadline: 5 * second},
		},
		Tenants: []string{"core"}, MaxBody: 1000,
		Partners: []Partner{
			{Destination: 1, Proof: ByInquiry, SettleTime: 60 * second, RememberTime: 10 * hour},
			{Destination: 2, Proof: ByKey, SettleTime: 60 * second, RememberTime: hour},
			{Destination: 3, SettleTime: 60 * second},
		},
		Rules: []Rule{
			{Name: "mail", Causes: []string{"never"}, MaxResends: 1, FirstDelay: hour, MaxDelay: hour},
			{Name: "all", MaxResends: 3, FirstDelay: 10 * second, Factor: 2, MaxDelay: 30 * second, MaxAge: 20 * hour},
		},
	}
}

// item is one that a rule would send at once.
func item(change ...func(*Item)) *Item {
	it := &Item{
		Number: 7, Class: "unsafe", Tenant: "core", Destination: 1, Cause: "time", Body: 100, KeptAt: now - hour, LastEnd: now - hour,
	}
	for _, f := range change {
		f(it)
	}
	return it
}

// doubted says that it may have run so long ago, and that its call was over 30 s later.
func doubted(ago Time) func(*Item) {
	return func(it *Item) { it.Doubt = Doubt{FirstSent: now - ago, QuietFrom: now - ago + 30*second} }
}

func dest(n int) func(*Item)        { return func(it *Item) { it.Destination = n } }
func class(name string) func(*Item) { return func(it *Item) { it.Class = name } }
func key(it *Item)                  { it.HasKey = true }
func ageless(it *Item)              { it.Doubt.AgeUnknown = true }
func tried(n int, last Time) func(it *Item) {
	return func(it *Item) { it.Resends, it.LastEnd = n, last }
}

func TestWhatARuleDoesWithAMessage(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		it   *Item
		do   Action
		at   Time
		why  string
		rule string
	}{
		"it never ran":                          {it: item(), do: Send},
		"harmless in doubt":                     {it: item(class("free"), dest(3), doubted(second)), do: Send},
		"in doubt, to be asked about":           {it: item(doubted(hour)), do: Ask},
		"a call may still run":                  {it: item(doubted(80 * second)), do: Wait, at: now + 10*second, why: "may still be running"},
		"the call can just not run any more":    {it: item(doubted(90 * second)), do: Ask},
		"the partner has forgotten":             {it: item(doubted(10 * hour)), do: Leave, why: "forgotten"},
		"its age is not known":                  {it: item(doubted(hour), ageless), do: Leave, why: "forgotten"},
		"no proof":                              {it: item(dest(3), doubted(hour)), do: Leave, why: "only an operator"},
		"a partner that nobody named":           {it: item(dest(99), doubted(hour)), do: Leave, why: "only an operator"},
		"a key that is remembered":              {it: item(dest(2), doubted(100*second), key), do: Send},
		"remembered, but not for a life":        {it: item(dest(2), doubted(hour-80*second), key), do: Leave, why: "not remember its key"},
		"no key":                                {it: item(dest(2), doubted(100*second)), do: Leave, why: "not remember its key"},
		"a key of unknown age":                  {it: item(dest(2), doubted(100*second), key, ageless), do: Leave, why: "not remember its key"},
		"keyed, inside its window":              {it: item(class("keyed"), dest(3), doubted(8*second), key), do: SendInDoubt},
		"keyed, at the end of its window":       {it: item(class("keyed"), dest(3), doubted(9*second), key), do: Leave, why: "only an operator"},
		"keyed, out of it, to be asked about":   {it: item(class("keyed"), doubted(hour), key), do: Ask},
		"in order":                              {it: item(class("ordered")), do: Leave, why: "in order"},
		"the class is gone":                     {it: item(class("gone")), do: Leave, why: `class "gone"`},
		"the tenant is gone":                    {it: item(func(it *Item) { it.Tenant = "x" }), do: Leave, why: `tenant "x"`},
		"over today's limit":                    {it: item(func(it *Item) { it.Body = 1001 }), do: Leave, why: "over today's limit"},
		"held":                                  {it: item(func(it *Item) { it.HoldReason = "seen" }), do: Leave, why: "seen"},
		"too old for the rule":                  {it: item(func(it *Item) { it.KeptAt = now - 21*hour }), do: Leave, why: "older"},
		"the first rule that fits":              {it: item(func(it *Item) { it.Cause, it.LastEnd = "never", now-10*second }), do: Wait, at: now - 10*second + hour, rule: "mail"},
		"its next try is due later":             {it: item(tried(0, now-4*second)), do: Wait, at: now + 6*second, why: "due later"},
		"the pause grows":                       {it: item(tried(1, now)), do: Wait, at: now + 20*second},
		"up to its most":                        {it: item(tried(2, now)), do: Wait, at: now + 30*second},
		"poison: it had all its tries":          {it: item(tried(3, 0)), do: Leave, why: "all 3 tries"},
		"an inquiry failed":                     {it: item(doubted(hour), func(it *Item) { it.FailedInquiries, it.LastFailedInquiry = 30, 0 }), do: Leave, why: "inquiries"},
		"doubt counts from the first that ran":  {it: item(doubted(hour), tried(2, 0)), do: Ask},
		"doubt that is only of harmless effect": {it: item(class("free"), doubted(0), ageless), do: Send},
	} {
		v := settings().Decide(c.it, now)
		if v.Action != c.do || v.At != c.at || !strings.Contains(v.Reason, c.why) {
			t.Errorf("%s: %v at %d (now %+d) %q, want %v at %d %q", name, v.Action, v.At, v.At-now, v.Reason, c.do, c.at, c.why)
		}
		if want := cmp.Or(c.rule, "all"); (c.do == Send || c.do == Ask || c.do == Wait) && v.Rule != want {
			t.Errorf("%s: rule %q", name, v.Rule)
		}
	}
	s := settings()
	s.Rules[1].Doubt = NoDoubt
	if v := s.Decide(item(doubted(hour)), now); v.Action != Leave || !strings.Contains(v.Reason, "no rule") {
		t.Errorf("a rule for what never ran takes one in doubt: %+v", v)
	}
	s.Rules[1].Doubt = OnlyDoubt
	if v := s.Decide(item(), now); v.Action != Leave {
		t.Errorf("a rule for what may have run takes one that did not: %+v", v)
	}
}

func TestWhatAnOperatorMayDo(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		it    *Item
		vouch bool
		do    Action
	}{
		"poison":                           {item(tried(9, now)), false, Send},
		"held":                             {item(func(it *Item) { it.HoldReason = "x" }), false, Send},
		"in order":                         {item(class("ordered")), false, Send},
		"no proof, and nobody vouches":     {item(dest(3), doubted(hour)), false, Leave},
		"no proof, and somebody does":      {item(dest(3), doubted(hour)), true, ClearDoubt},
		"vouched while a call may run":     {item(dest(3), doubted(80*second)), true, Wait},
		"vouched with an age not known":    {item(doubted(hour), ageless), true, ClearDoubt},
		"to be asked about":                {item(doubted(hour)), false, Ask},
		"vouched where it could be asked":  {item(doubted(hour)), true, ClearDoubt},
		"the class is gone, and vouched":   {item(class("gone"), doubted(hour)), true, Leave},
		"harmless, vouched, a call is out": {item(class("free")), true, Send},
	} {
		if v := settings().DecideManual(c.it, now, c.vouch); v.Action != c.do {
			t.Errorf("%s: %v %q, want %v", name, v.Action, v.Reason, c.do)
		}
	}
}

func TestWhatAnAnswerComesTo(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		it    *Item
		asked Time
		a     Answer
		do    Action
	}{
		"yes":                                  {item(doubted(hour)), now - second, Yes, MarkDelivered},
		"no":                                   {item(doubted(hour)), now - second, No, ClearDoubt},
		"no, asked while a call could run":     {item(doubted(91 * second)), now - 2*second, No, Wait},
		"no, and it has forgotten by now":      {item(doubted(10*hour - second)), now - 2*second, No, Leave},
		"no, of unknown age":                   {item(doubted(hour), ageless), now - second, No, Leave},
		"it can't tell":                        {item(doubted(hour)), now - second, Unknown, Leave},
		"none":                                 {item(doubted(hour)), now - second, Unanswered, Wait},
		"yes from one that may have forgotten": {item(doubted(20 * hour)), now, Yes, MarkDelivered},
	} {
		if v := settings().DecideInquiry(c.it, c.asked, now, c.a); v.Action != c.do {
			t.Errorf("%s: %v %q, want %v", name, v.Action, v.Reason, c.do)
		}
	}
}

// Whatever a message has behind it: one that may have taken effect is sent only with proof, and never while an earlier call
// may run, but by its key.
func TestNothingInDoubtGoesWithoutProof(t *testing.T) {
	t.Parallel()
	n := 0
	for _, proof := range []Proof{NoProof, ByKey, ByInquiry} {
		for _, k := range settings().Classes {
			for ago := Time(0); ago < 12*hour; ago += 7 * second {
				for bits := range 8 {
					s := settings()
					s.Partners[0].Proof = proof
					it := item(class(k.Name), doubted(ago))
					it.HasKey, it.Doubt.AgeUnknown, it.LastEnd = bits&1 != 0, bits&2 != 0, now-hour
					var v Decision
					if bits&4 != 0 {
						v = s.DecideManual(it, now, false)
					} else {
						v = s.Decide(it, now)
					}
					switch p := &s.Partners[0]; {
					case v.Action == ClearDoubt || v.Action == MarkDelivered:
						t.Fatalf("%v without being asked", v.Action)
					case v.Action == Ask && (proof != ByInquiry || now < it.Doubt.QuietFrom+p.SettleTime || ago >= p.RememberTime || it.Doubt.AgeUnknown):
						t.Fatalf("%s asked about after %d s with proof %d", k.Name, ago/second, proof)
					case v.Action == SendInDoubt && (k.Effect != control.Guarded || ago >= k.DedupWindow || !it.HasKey || it.Doubt.AgeUnknown):
						t.Fatalf("%s sent with its doubt after %d s", k.Name, ago/second)
					case v.Action == Send && k.Effect != control.Free &&
						(proof != ByKey || !it.HasKey || it.Doubt.AgeUnknown || k.Ordered || ago+k.Deadline >= p.RememberTime):
						t.Fatalf("%s sent after %d s with proof %d", k.Name, ago/second, proof)
					case v.Action == Send || v.Action == SendInDoubt || v.Action == Ask:
						n++
					}
				}
			}
		}
	}
	if n == 0 {
		t.Error("nothing was ever sent: this proves nothing")
	}
}

func TestPausesAreTheSameEachTimeAndDifferByMessage(t *testing.T) {
	t.Parallel()
	seen := map[Time]bool{}
	for no := range uint64(1000) {
		p := grown(10*second, hour, 2, 0.5, no, 1)
		if p < 20*second || p > 30*second || p != grown(10*second, hour, 2, 0.5, no, 1) {
			t.Fatalf("pause %d", p)
		}
		seen[p] = true
	}
	if len(seen) < 900 {
		t.Errorf("%d different pauses for 1,000 messages", len(seen))
	}
	if p := grown(10*second, hour, 10, 0, 1, 1000); p != hour {
		t.Errorf("the thousandth pause is %d", p)
	}
}
