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

// settings returns settings with classes of each effect, a partner for each proof and two rules.
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

// item returns a message that the rule "all" resends at once, unless a change says otherwise.
func item(change ...func(*Item)) *Item {
	it := &Item{
		Number: 7, Class: "unsafe", Tenant: "core", Destination: 1, Cause: "time", Body: 100, KeptAt: now - hour, LastEnd: now - hour,
	}
	for _, f := range change {
		f(it)
	}
	return it
}

// inDoubt marks a message as in doubt: an attempt that may have run was sent that long ago, and its call ended 30 s later.
func inDoubt(ago Time) func(*Item) {
	return func(it *Item) { it.Doubt = Doubt{FirstSent: now - ago, QuietFrom: now - ago + 30*second} }
}

func dest(n int) func(*Item)        { return func(it *Item) { it.Destination = n } }
func class(name string) func(*Item) { return func(it *Item) { it.Class = name } }
func key(it *Item)                  { it.HasKey = true }
func ageUnknown(it *Item)           { it.Doubt.AgeUnknown = true }
func resent(n int, last Time) func(it *Item) {
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
		"never ran":                                   {it: item(), do: Send},
		"in doubt, harmless to repeat":                {it: item(class("free"), dest(3), inDoubt(second)), do: Send},
		"in doubt, the partner can be asked":          {it: item(inDoubt(hour)), do: Ask},
		"an earlier call may still be running":        {it: item(inDoubt(80 * second)), do: Wait, at: now + 10*second, why: "may still be running"},
		"the earlier call has just ended for certain": {it: item(inDoubt(90 * second)), do: Ask},
		"the partner has forgotten":                   {it: item(inDoubt(10 * hour)), do: Leave, why: "forgotten"},
		"age of the doubt unknown":                    {it: item(inDoubt(hour), ageUnknown), do: Leave, why: "forgotten"},
		"partner without proof":                       {it: item(dest(3), inDoubt(hour)), do: Leave, why: "only an operator"},
		"partner without settings":                    {it: item(dest(99), inDoubt(hour)), do: Leave, why: "only an operator"},
		"key is remembered":                           {it: item(dest(2), inDoubt(100*second), key), do: Send},
		"key is forgotten before a resend is over":    {it: item(dest(2), inDoubt(hour-80*second), key), do: Leave, why: "not remember its key"},
		"no key":                                                {it: item(dest(2), inDoubt(100*second)), do: Leave, why: "not remember its key"},
		"key, age of the doubt unknown":                         {it: item(dest(2), inDoubt(100*second), key, ageUnknown), do: Leave, why: "not remember its key"},
		"guarded class, within its dedup window":                {it: item(class("keyed"), dest(3), inDoubt(8*second), key), do: SendInDoubt},
		"guarded class, at the end of its dedup window":         {it: item(class("keyed"), dest(3), inDoubt(9*second), key), do: Leave, why: "only an operator"},
		"guarded class, after its dedup window":                 {it: item(class("keyed"), inDoubt(hour), key), do: Ask},
		"ordered class":                                         {it: item(class("ordered")), do: Leave, why: "in order"},
		"class is not among the settings":                       {it: item(class("gone")), do: Leave, why: `class "gone"`},
		"tenant is not among the settings":                      {it: item(func(it *Item) { it.Tenant = "x" }), do: Leave, why: `tenant "x"`},
		"body over the current limit":                           {it: item(func(it *Item) { it.Body = 1001 }), do: Leave, why: "over today's limit"},
		"has a hold reason":                                     {it: item(func(it *Item) { it.HoldReason = "seen" }), do: Leave, why: "seen"},
		"too old for the rule":                                  {it: item(func(it *Item) { it.KeptAt = now - 21*hour }), do: Leave, why: "older"},
		"first matching rule applies":                           {it: item(func(it *Item) { it.Cause, it.LastEnd = "never", now-10*second }), do: Wait, at: now - 10*second + hour, rule: "mail"},
		"next resend is due later":                              {it: item(resent(0, now-4*second)), do: Wait, at: now + 6*second, why: "due later"},
		"delay grows":                                           {it: item(resent(1, now)), do: Wait, at: now + 20*second},
		"delay is limited":                                      {it: item(resent(2, now)), do: Wait, at: now + 30*second},
		"no resends left":                                       {it: item(resent(3, 0)), do: Leave, why: "all 3 tries"},
		"too many failed inquiries":                             {it: item(inDoubt(hour), func(it *Item) { it.FailedInquiries, it.LastFailedInquiry = 30, 0 }), do: Leave, why: "inquiries"},
		"doubt counts from the first attempt that may have run": {it: item(inDoubt(hour), resent(2, 0)), do: Ask},
		"doubt of unknown age, harmless to repeat":              {it: item(class("free"), inDoubt(0), ageUnknown), do: Send},
	} {
		v := settings().Decide(c.it, now)
		if v.Action != c.do || v.At != c.at || !strings.Contains(v.Reason, c.why) {
			t.Errorf("%s: %v at %d (now %+d) %q, want %v at %d %q", name, v.Action, v.At, v.At-now, v.Reason, c.do, c.at, c.why)
		}
		if want := cmp.Or(c.rule, "all"); (c.do == Send || c.do == Ask || c.do == Wait) && v.Rule != want {
			t.Errorf("%s: decided by rule %q", name, v.Rule)
		}
	}
	s := settings()
	s.Rules[1].Doubt = NoDoubt
	if v := s.Decide(item(inDoubt(hour)), now); v.Action != Leave || !strings.Contains(v.Reason, "no rule") {
		t.Errorf("a rule for messages without doubt matches one in doubt: %+v", v)
	}
	s.Rules[1].Doubt = OnlyDoubt
	if v := s.Decide(item(), now); v.Action != Leave {
		t.Errorf("a rule for messages in doubt matches one without doubt: %+v", v)
	}
}

func TestWhatAnOperatorMayDo(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		it    *Item
		vouch bool
		do    Action
	}{
		"no resends left":                          {item(resent(9, now)), false, Send},
		"has a hold reason":                        {item(func(it *Item) { it.HoldReason = "x" }), false, Send},
		"ordered class":                            {item(class("ordered")), false, Send},
		"no proof, not vouched":                    {item(dest(3), inDoubt(hour)), false, Leave},
		"no proof, vouched":                        {item(dest(3), inDoubt(hour)), true, ClearDoubt},
		"vouched, a call may still be running":     {item(dest(3), inDoubt(80*second)), true, Wait},
		"vouched, age of the doubt unknown":        {item(inDoubt(hour), ageUnknown), true, ClearDoubt},
		"partner can be asked":                     {item(inDoubt(hour)), false, Ask},
		"vouched, partner can be asked":            {item(inDoubt(hour)), true, ClearDoubt},
		"vouched, class is not among the settings": {item(class("gone"), inDoubt(hour)), true, Leave},
		"vouched, never ran, harmless to repeat":   {item(class("free")), true, Send},
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
		"yes":                                    {item(inDoubt(hour)), now - second, Yes, MarkDelivered},
		"no":                                     {item(inDoubt(hour)), now - second, No, ClearDoubt},
		"no, asked while a call could still run": {item(inDoubt(91 * second)), now - 2*second, No, Wait},
		"no, forgotten by now":                   {item(inDoubt(10*hour - second)), now - 2*second, No, Leave},
		"no, age of the doubt unknown":           {item(inDoubt(hour), ageUnknown), now - second, No, Leave},
		"unknown":                                {item(inDoubt(hour)), now - second, Unknown, Leave},
		"no answer":                              {item(inDoubt(hour)), now - second, Unanswered, Wait},
		"yes, though the partner may have forgotten": {item(inDoubt(20 * hour)), now, Yes, MarkDelivered},
	} {
		if v := settings().DecideInquiry(c.it, c.asked, now, c.a); v.Action != c.do {
			t.Errorf("%s: %v %q, want %v", name, v.Action, v.Reason, c.do)
		}
	}
}

// TestNothingInDoubtGoesWithoutProof checks that a message that may have taken effect is resent only with a proof. Unless a
// key identifies the message, it is not resent while an earlier call may still run.
func TestNothingInDoubtGoesWithoutProof(t *testing.T) {
	t.Parallel()
	n := 0
	for _, proof := range []Proof{NoProof, ByKey, ByInquiry} {
		for _, k := range settings().Classes {
			for ago := Time(0); ago < 12*hour; ago += 7 * second {
				for bits := range 8 {
					s := settings()
					s.Partners[0].Proof = proof
					it := item(class(k.Name), inDoubt(ago))
					it.HasKey, it.Doubt.AgeUnknown, it.LastEnd = bits&1 != 0, bits&2 != 0, now-hour
					var v Decision
					if bits&4 != 0 {
						v = s.DecideManual(it, now, false)
					} else {
						v = s.Decide(it, now)
					}
					switch p := &s.Partners[0]; {
					case v.Action == ClearDoubt || v.Action == MarkDelivered:
						t.Fatalf("decision %v without an inquiry", v.Action)
					case v.Action == Ask && (proof != ByInquiry || now < it.Doubt.QuietFrom+p.SettleTime || ago >= p.RememberTime || it.Doubt.AgeUnknown):
						t.Fatalf("class %s: inquiry after %d s with proof %d", k.Name, ago/second, proof)
					case v.Action == SendInDoubt && (k.Effect != control.Guarded || ago >= k.DedupWindow || !it.HasKey || it.Doubt.AgeUnknown):
						t.Fatalf("class %s: resent in doubt after %d s", k.Name, ago/second)
					case v.Action == Send && k.Effect != control.Free &&
						(proof != ByKey || !it.HasKey || it.Doubt.AgeUnknown || k.Ordered || ago+k.Deadline >= p.RememberTime):
						t.Fatalf("class %s: resent after %d s with proof %d", k.Name, ago/second, proof)
					case v.Action == Send || v.Action == SendInDoubt || v.Action == Ask:
						n++
					}
				}
			}
		}
	}
	if n == 0 {
		t.Error("no message was ever resent or asked about, so the test checks nothing")
	}
}

func TestBackoffIsDeterministicPerMessage(t *testing.T) {
	t.Parallel()
	seen := map[Time]bool{}
	for no := range uint64(1000) {
		p := backoff(10*second, hour, 2, 0.5, no, 1)
		if p < 20*second || p > 30*second || p != backoff(10*second, hour, 2, 0.5, no, 1) {
			t.Fatalf("pause %d, want 20 to 30 s and the same each time", p)
		}
		seen[p] = true
	}
	if len(seen) < 900 {
		t.Errorf("%d different pauses for 1,000 messages", len(seen))
	}
	if p := backoff(10*second, hour, 10, 0, 1, 1000); p != hour {
		t.Errorf("pause 1000 is %d, want the maximum", p)
	}
}
