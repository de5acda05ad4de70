package mailtransport

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/mail"
	standin "curlewmux/internal/standin/mail"
	"curlewmux/internal/vnet"
)

var lmtp = Partner{Protocol: mail.LMTP, BusyWait: time.Second, GreyWait: 3 * time.Second}

// at makes a script that acts at one stage for one recipient ("" any).
func at(stage standin.Stage, rcpt string, a standin.Act) func(standin.Step) standin.Act {
	return func(s standin.Step) standin.Act {
		if s.Stage == stage && (rcpt == "" || strings.HasPrefix(s.Rcpt, rcpt+"@")) {
			return a
		}
		return standin.Act{}
	}
}

// scripts asks several scripts; the first that does not do as usual counts.
func scripts(list ...func(standin.Step) standin.Act) func(standin.Step) standin.Act {
	return func(s standin.Step) standin.Act {
		for _, f := range list {
			if a := f(s); a != (standin.Act{}) {
				return a
			}
		}
		return standin.Act{}
	}
}

func ends(outs []engine.Outcome) string {
	var list []string
	for _, o := range outs {
		list = append(list, nameOf(o))
	}
	return strings.Join(list, " ")
}

// expect plays one call of n recipients to a server and compares outcomes and effects.
func expect(t *testing.T, p Partner, s *standin.Server, n int, want string, effects ...int) *sim {
	t.Helper()
	m := newSim(t, 1, p, s)
	m.play(func() {
		if got := ends(m.run(m.rcpts(n, time.Minute)...)); got != want {
			t.Errorf("outcomes %s, want %s", got, want)
		}
	})
	had := m.effects()
	for i, e := range effects {
		if r := fmt.Sprintf("r%d@archive.example.org", i); had[r] != e {
			t.Errorf("the mail to %s took effect %d times, want %d", r, had[r], e)
		}
	}
	return m
}

func TestRecipientsOfOneContentShareATransaction(t *testing.T) {
	t.Parallel()
	for _, p := range []mail.Protocol{mail.SMTP, mail.LMTP} {
		for _, ext := range [][]string{nil, allExtensions} {
			s := &standin.Server{Extensions: ext}
			m := expect(t, Partner{Protocol: p}, s, 10, strings.TrimSpace(strings.Repeat("ok ", 10)), 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
			if n := s.Sessions(); n != 1 {
				t.Errorf("%d sessions", n)
			}
			for _, a := range m.server.Accepted() {
				if a.From != "from@example.org" {
					t.Errorf("sender %q", a.From)
				}
			}
		}
	}
}

func TestAnLMTPServerRefusesSomeRecipientsAtRCPTAndAfterTheMail(t *testing.T) {
	t.Parallel()
	for _, ext := range [][]string{nil, allExtensions} {
		expect(t, lmtp, &standin.Server{Extensions: ext, Script: scripts(
			at(standin.Rcpt, "r0", actOf(no)), at(standin.Rcpt, "r1", actOf(later)),
			at(standin.Final, "r2", actOf(no)), at(standin.Final, "r4", actOf(later)),
		)}, 6, "moot! full moot! ok full ok", 0, 0, 0, 1, 0, 1)
	}
}

func TestADropAfterSomeRepliesLeavesTheOthersInDoubt(t *testing.T) {
	t.Parallel()
	for name, a := range map[string]standin.Act{
		"drop": {Drop: true}, "in a line": {Say: "250 2.0.0 kept", Cut: 9}, "behind a line": {Say: "250-2.0.0 kept", Close: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			expect(t, lmtp, &standin.Server{Extensions: allExtensions, Script: scripts(
				at(standin.Rcpt, "r1", actOf(no)), at(standin.Final, "r3", a),
			)}, 5, "ok moot! ok reset reset", 1, 0, 1)
		})
	}
}

func TestSilenceAfterSomeRepliesLeavesTheOthersInDoubt(t *testing.T) {
	t.Parallel()
	expect(t, lmtp, &standin.Server{Script: at(standin.Final, "r1", standin.Act{Silent: true})}, 3, "ok timed-out timed-out", 1)
}

func TestAReplyThatCannotBeReadLeavesDoubt(t *testing.T) {
	t.Parallel()
	for name, say := range map[string]string{
		"no code": "ok", "another code": "250-a\r\n251 b", "over its line": "250 " + strings.Repeat("x", 5000),
		"without end": strings.Repeat("250-more\r\n", 500) + "250 end", "3yz": "354 go on", "1yz": "150 wait", "a NUL": "250 a\x00b",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			expect(t, Partner{}, &standin.Server{Script: at(standin.Final, "", standin.Act{Say: say})}, 2, "unreadable unreadable")
			want := "connect-failed connect-failed"
			if name == "without end" || name == "over its line" || name == "another code" { // it begins with 2, and is still none
				want = "connect-failed connect-failed"
			}
			expect(t, Partner{}, &standin.Server{Script: at(standin.Rcpt, "", standin.Act{Say: say})}, 2, want, 0, 0)
		})
	}
}

func TestALongOrManyLinedReplyWithinBoundsCounts(t *testing.T) {
	t.Parallel()
	say := strings.Repeat("250-2.0.0 "+strings.Repeat("x", 600)+"\r\n", 20) + "250 2.0.0 end"
	expect(t, Partner{}, &standin.Server{Script: at(standin.Final, "", standin.Act{Say: say})}, 1, "ok", 1)
}

func TestTooManyRepliesSpoilTheConnectionAndNoOutcome(t *testing.T) {
	t.Parallel()
	s := &standin.Server{Extensions: allExtensions, Script: func(st standin.Step) (a standin.Act) {
		if st.Stage == standin.Final && st.Session == 1 && strings.HasPrefix(st.Rcpt, "r1@") {
			a.Say, a.Extra = "250 kept", "250 and one more\r\n"
		}
		return a
	}}
	m := newSim(t, 1, lmtp, s)
	m.play(func() {
		if got := ends(m.run(m.rcpts(2, time.Minute)...)); got != "ok ok" {
			t.Errorf("outcomes %s", got)
		}
		if got := ends(m.run(m.item("r7@archive.example.org", time.Minute))); got != "ok" {
			t.Errorf("the next: %s", got)
		}
	})
	if n := s.Sessions(); n != 2 {
		t.Errorf("%d sessions: the spoilt connection was used again", n)
	}
	m.play(func() { // the next transaction of the same call, which the server refuses
		m.set.Partners[0] = Partner{}
		s.Script = scripts(at(standin.Rcpt, "r2", actOf(no)), func(st standin.Step) (a standin.Act) {
			if st.Stage == standin.Final && st.Session == 3 {
				a.Extra = "250 one\r\n250 two\r\n"
			}
			return a
		})
		list := append(m.rcpts(2, time.Minute), m.itemOf("", "r2@x.example", content, time.Minute))
		if got := ends(m.run(list...)); got != "ok ok moot!" {
			t.Errorf("outcomes %s", got)
		}
	})
}

// A reply too many ahead of a mail would make each be taken for the one before, the last RCPT's for the mail's own.
func TestARefusalIsNotTakenForSuccessBehindAReplyTooMany(t *testing.T) {
	t.Parallel()
	large := "Subject: a\r\n\r\n" + strings.Repeat("0123456789\r\n", 6_000)
	for _, stage := range []standin.Stage{standin.Greeting, standin.Hello, standin.Mail, standin.Rcpt} {
		for _, text := range []string{content, large} {
			for _, ext := range [][]string{{"CHUNKING"}, {"CHUNKING", "PIPELINING"}} {
				s := &standin.Server{Extensions: ext, Script: scripts(
					at(stage, "", standin.Act{Extra: "250 one too many\r\n"}), at(standin.Final, "", actOf(no)),
				)}
				m := newSim(t, 1, Partner{}, s)
				m.play(func() {
					if got := ends(m.run(m.itemOf("a@x.example", "b@x.example", text, time.Minute))); got != "connect-failed" {
						t.Errorf("%s, %d bytes, %v: %s", stage, len(text), ext, got)
					}
				})
			}
		}
	}
}

// Only a final dot could end a mail that the server wants although it has refused all recipients, and it would send one.
func TestNoDotIsSentWhereEveryRecipientWasRefused(t *testing.T) {
	t.Parallel()
	for name, script := range map[string]func(standin.Step) standin.Act{
		"RCPT": scripts(at(standin.Rcpt, "", actOf(no)), at(standin.Data, "", standin.Act{Say: "354 go on"})),
		"MAIL": scripts(at(standin.Mail, "", actOf(no)), at(standin.Data, "", standin.Act{Say: "354 go on"})),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, p := range []mail.Protocol{mail.SMTP, mail.LMTP} {
				asked := 0
				s := &standin.Server{Extensions: allExtensions, Script: scripts(func(st standin.Step) (a standin.Act) {
					if st.Stage == standin.Final {
						asked++
					}
					return a
				}, script)}
				expect(t, Partner{Protocol: p}, s, 2, "moot! moot!", 0, 0)
				if asked > 0 {
					t.Error("a mail was ended")
				}
			}
		})
	}
}

func TestTheSameAddressTwiceIsTwoTransactions(t *testing.T) {
	t.Parallel()
	s := &standin.Server{Extensions: allExtensions}
	m := newSim(t, 1, lmtp, s)
	m.play(func() {
		a, b := m.item("r0@archive.example.org", time.Minute), m.item("r0@Archive.example.org", time.Minute)
		if got := ends(m.run(a, b)); got != "ok ok" {
			t.Errorf("outcomes %s", got)
		}
	})
	if list := s.Accepted(); len(list) != 2 || s.Sessions() != 1 {
		t.Errorf("%d mails over %d sessions", len(list), s.Sessions())
	}
}

func TestOtherContentsAndSendersGoInTransactionsOfTheirOwn(t *testing.T) {
	t.Parallel()
	s := &standin.Server{Extensions: allExtensions, Script: at(standin.Rcpt, "r1", actOf(no))}
	m := newSim(t, 1, lmtp, s)
	m.play(func() {
		list := []engine.Item{
			m.itemOf("a@example.org", "r0@x.example", content, time.Minute), m.itemOf("b@example.org", "r1@x.example", content, time.Minute),
			m.itemOf("a@example.org", "r2@x.example", "X: y\r\n\r\n", time.Minute), m.itemOf("", "r3@x.example", content, time.Minute),
			m.itemOf("a@example.org", "r4@x.example", content, time.Minute),
		}
		if got := ends(m.run(list...)); got != "ok moot! ok ok ok" {
			t.Errorf("outcomes %s", got)
		}
	})
	from := ""
	for _, a := range s.Accepted() {
		from += a.Rcpt[:2] + "<" + a.From + "> "
	}
	if from != "r0<a@example.org> r4<a@example.org> r2<a@example.org> r3<> " || s.Sessions() != 1 {
		t.Errorf("accepted %sover %d sessions", from, s.Sessions())
	}
}

func TestRecipientsThatAreTooManyGoWithTheNextTransaction(t *testing.T) {
	t.Parallel()
	begun := 0
	s := &standin.Server{Extensions: allExtensions, Script: func(st standin.Step) (a standin.Act) {
		switch {
		case st.Stage == standin.Mail:
			begun = 0
		case st.Stage == standin.Rcpt:
			if begun++; begun > 3 {
				a.Say = "452 4.5.3 too many"
			}
		}
		return a
	}}
	expect(t, Partner{}, s, 8, "ok ok ok ok ok ok ok ok", 1, 1, 1, 1, 1, 1, 1, 1)
	if s.Sessions() != 1 {
		t.Errorf("%d sessions", s.Sessions())
	}
	s = &standin.Server{Extensions: append([]string{"LIMITS RCPTMAX=3 MAILMAX=2"}, allExtensions...)}
	expect(t, Partner{}, s, 8, "ok ok ok ok ok ok ok ok", 1, 1, 1, 1, 1, 1, 1, 1)
	if s.Sessions() != 2 {
		t.Errorf("%d sessions, with two mails each", s.Sessions())
	}
}

func TestAConnectionIsUsedAgainAndARefusedTransactionIsReset(t *testing.T) {
	t.Parallel()
	for _, ext := range [][]string{nil, allExtensions} {
		resets := 0
		s := &standin.Server{Extensions: ext, Script: func(st standin.Step) standin.Act {
			if st.Stage == standin.Reset {
				resets++
			}
			return at(standin.Rcpt, "r0", actOf(no))(st)
		}}
		m := newSim(t, 1, lmtp, s)
		m.play(func() {
			for i := range 6 {
				want := []string{"moot!", "ok"}[i%2]
				if got := ends(m.run(m.item(fmt.Sprintf("r%d@x.example", i%2), time.Minute))); got != want {
					t.Errorf("outcome %s, want %s", got, want)
				}
			}
		})
		if s.Sessions() != 1 || resets != 3 {
			t.Errorf("%d sessions, %d times RSET", s.Sessions(), resets)
		}
	}
}

// Servers that end a connection after each mail, by a word or without one, cost a dial and no outcome.
func TestServersThatTakeOneMailAConnection(t *testing.T) {
	t.Parallel()
	for name, script := range map[string]func(standin.Step) standin.Act{
		"closes":       at(standin.Final, "", standin.Act{Say: "250 2.0.0 kept", Close: true}),
		"closes later": func(st standin.Step) standin.Act { return standin.Act{Drop: st.Stage == standin.Mail && st.Mail > 0} },
		"421 at MAIL": func(st standin.Step) (a standin.Act) {
			if st.Stage == standin.Mail && st.Mail > 0 {
				a.Say, a.Close = "421 4.7.0 one mail only", true
			}
			return a
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &standin.Server{Extensions: allExtensions, Script: script}
			m := newSim(t, 1, Partner{BusyWait: time.Second}, s)
			m.play(func() {
				for range 3 {
					list := []engine.Item{m.item("a@x.example", time.Minute), m.itemOf("", "b@x.example", content, time.Minute)}
					if got := ends(m.run(list...)); got != "ok ok" {
						t.Errorf("outcomes %s", got)
					}
				}
			})
			if n := len(s.Accepted()); n != 6 || s.Sessions() != 6 {
				t.Errorf("%d mails over %d sessions", n, s.Sessions())
			}
		})
	}
}

func TestOneMailOverEachConnectionWhereThePartnerWantsIt(t *testing.T) {
	t.Parallel()
	s := &standin.Server{Extensions: allExtensions}
	m := newSim(t, 1, Partner{PerConnection: 1}, s)
	m.play(func() {
		if got := ends(m.run(m.item("a@x.example", time.Minute), m.itemOf("", "b@x.example", content, time.Minute))); got != "ok ok" {
			t.Errorf("outcomes %s", got)
		}
	})
	if s.Sessions() != 2 {
		t.Errorf("%d sessions", s.Sessions())
	}
}

func TestA421EndsTheCallAndItsWaitIsTold(t *testing.T) {
	t.Parallel()
	for _, stage := range []standin.Stage{standin.Greeting, standin.Hello, standin.Mail, standin.Rcpt, standin.Data, standin.Final} {
		m := newSim(t, 1, Partner{BusyWait: time.Second}, &standin.Server{Extensions: allExtensions, Script: at(stage, "",
			standin.Act{Say: "421 4.3.2 closing", Close: true})})
		m.play(func() {
			for i, o := range m.run(m.rcpts(3, time.Minute)...) {
				if o.Result != control.Refused || o.RetryAfter != time.Second {
					t.Errorf("%s: item %d ended as %s, wait %v", stage, i, nameOf(o), o.RetryAfter)
				}
			}
		})
	}
}

// What a server does not offer a mail that needs it fails for, by name, and what it needs not is left out.
func TestAMailThatNeedsWhatIsNotOfferedFailsByName(t *testing.T) {
	t.Parallel()
	plain := "Subject: a\r\n\r\n"
	for _, c := range []struct{ from, to, content, ext, why string }{
		{"a@x.example", "b@x.example", plain + "\xc3\xa9\r\n", "", "8BITMIME"},
		{"a@x.example", "b@x.example", plain + "\xc3\xa9\r\n", "8BITMIME", ""},
		{"a@x.example", "b@x.example", "Subject: \xc3\xa9\r\n\r\n", "8BITMIME", "SMTPUTF8"},
		{"a@x.example", "b@x.example", "Subject: \xc3\xa9\r\n\r\n", "8BITMIME SMTPUTF8", ""},
		{"\xc3\xa9@x.example", "b@x.example", plain, "8BITMIME", "SMTPUTF8"},
		{"a@x.example", "\xc3\xa9@x.example", plain, "", "SMTPUTF8"},
		{"a@x.example", "b@x.example", plain + strings.Repeat("0123456789\r\n", 100), "SIZE=1000", "SIZE: the mail has 13"},
		{"a@x.example", "b@x.example", plain + strings.Repeat("0123456789\r\n", 100), "SIZE=2000", ""},
		{"a@x.example", "b@x.example", plain + "no line end", "", "CHUNKING"},
		{"a@x.example", "b@x.example", plain + "no line end", "CHUNKING", ""},
		{"a@x.example", "b@x.example", plain + "a\nb\r\n", "CHUNKING", "line feed without"},
		{"a@x.example", "b@x.example", plain + "a\rb\r\n", "CHUNKING", "carriage return without"},
		{"a@x.example", "b@x.example", plain + "a\r\n.\r\r\nMAIL FROM:<x>\r\n", "CHUNKING", "carriage return without"},
		{"a@x.example", "b@x.example", plain + "a\n.\n", "CHUNKING", "line feed without"},
		{"a@x.example", "b@x.example", plain + "a\n.\r\n", "", "line feed without"},
		{"a@x.example", "b@x.example", plain + "a\x00\r\n", "CHUNKING", "NUL"},
		{"a@x.example", "b@x.example", plain + strings.Repeat("x", 999) + "\r\n", "CHUNKING", "998"},
		{"a@x.example", "b@x.example", plain + strings.Repeat("x", 998) + "\r\n", "", ""},
		{"a@x.example", "b@x.example BODY=BINARYMIME", plain, "BINARYMIME", "RCPT: parameter BODY"},
		{"a@x.example NOTIFY=NEVER", "b@x.example", plain, "DSN", "MAIL: parameter NOTIFY"},
		{"a@x.example BODY=8BITMIME SMTPUTF8 RET=HDRS", "b@x.example NOTIFY=NEVER", plain, "", ""},
	} {
		name := fmt.Sprintf("%q to %q %.30q %s", c.from, c.to, c.content, c.ext)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := &standin.Server{Extensions: strings.Fields(strings.ReplaceAll(c.ext, "SIZE=", "SIZE_"))}
			for i := range s.Extensions {
				s.Extensions[i] = strings.ReplaceAll(s.Extensions[i], "_", " ")
			}
			m := newSim(t, 1, Partner{}, s)
			m.play(func() {
				from, fromArgs, _ := strings.Cut(c.from, " ")
				to, toArgs, _ := strings.Cut(c.to, " ")
				body := fmt.Sprintf("MAIL FROM:<%s> %s\r\nRCPT TO:<%s> %s\r\n\r\n%s", from, fromArgs, to, toArgs, c.content)
				o := m.run(engine.Item{ID: "m", Body: []byte(body), Deadline: m.clock.At(m.host.Now().Add(time.Minute))})[0]
				want := "moot!"
				if c.why == "" {
					want = "ok"
				}
				if nameOf(o) != want || !strings.Contains(o.Reason, c.why) {
					t.Errorf("outcome %s (%s), want %s with %q", nameOf(o), o.Reason, want, c.why)
				}
			})
			list := s.Accepted()
			if len(list) > 1 || (len(list) == 1) != (c.why == "") {
				t.Fatalf("%d mails took effect", len(list))
			}
			if len(list) == 1 && !strings.HasSuffix(list[0].Content, "\r\n"+c.content) {
				t.Errorf("it came as %q", list[0].Content)
			}
		})
	}
}

func TestABodyThatHoldsNoMailFailsByName(t *testing.T) {
	t.Parallel()
	m := newSim(t, 1, Partner{}, &standin.Server{})
	m.play(func() {
		var list []engine.Item
		for _, body := range []string{
			"", "hello", "MAIL FROM:<a@b.example>\r\n\r\n", "MAIL FROM:<a@b.example>\r\nRCPT TO:<>\r\n\r\n", "MAIL FROM:<a@b.example>\r\nRCPT TO:<b@c.example>\r\n",
			"MAIL FROM:a@b.example\r\nRCPT TO:<b@c.example>\r\n\r\n", "MAIL FROM:<a@b.example>\r\nRCPT TO:<b@c.example>\r\nDATA\r\n\r\n",
		} {
			list = append(list, engine.Item{ID: "m", Body: []byte(body), Deadline: m.clock.At(m.host.Now().Add(time.Minute))})
		}
		for i, o := range m.run(list...) {
			if nameOf(o) != "moot!" || !strings.Contains(o.Reason, "envelope") {
				t.Errorf("%q: %s (%s)", list[i].Body, nameOf(o), o.Reason)
			}
		}
	})
	if m.server.Sessions() > 0 {
		t.Error("the server was called")
	}
}

func TestALargeMailGoesInBlocksAndADropBeforeTheLastNeverRan(t *testing.T) {
	t.Parallel()
	large := "Subject: a\r\n\r\n" + strings.Repeat(".0123456789\r\n", 20_000)
	for _, ext := range []string{"", "CHUNKING"} {
		for _, cut := range []int{0, 10_000, 150_000} {
			s := &standin.Server{Extensions: []string{ext}, Cuts: func(int) standin.Cut { return standin.Cut{Read: cut} }}
			m := newSim(t, 1, Partner{}, s)
			m.limits = vnet.Limits{SendBuffer: 16 << 10} // so that the writer notices an end
			m.play(func() {
				want := "ok"
				if cut > 0 {
					want = "connect-failed"
				}
				if got := ends(m.run(m.itemOf("a@x.example", "b@x.example", large, time.Minute))); got != want {
					t.Errorf("%s cut at %d: %s, want %s", ext, cut, got, want)
				}
			})
			if list := s.Accepted(); cut == 0 && (len(list) != 1 || !strings.HasSuffix(list[0].Content, large)) {
				t.Errorf("%s: it did not come unchanged", ext)
			}
		}
	}
}
