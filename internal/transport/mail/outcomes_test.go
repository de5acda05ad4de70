package mailtransport

import (
	"fmt"
	"testing"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/mail"
	standin "curlewmux/internal/standin/mail"
)

// What happens at a stage.
const (
	later   = "4yz"
	no      = "5yz"
	garbage = "garbage"
	drop    = "drop"
	silence = "silence"
)

func actOf(what string) standin.Act {
	switch what {
	case later:
		return standin.Act{Say: "450 4.7.1 come again"}
	case no:
		return standin.Act{Say: "554 5.7.1 no"}
	case garbage:
		return standin.Act{Say: "what?"}
	case drop:
		return standin.Act{Drop: true}
	}
	return standin.Act{Silent: true}
}

// outcomes is the table of docs/operators/outcomes-mail.md. A row is a stage, then what follows from 4yz, 5yz, garbage, a drop
// and silence; ! says that the message ends so for good.
var outcomes = []struct {
	stage standin.Stage
	ends  [5]string
}{
	{standin.Greeting, [5]string{"full", "connect-failed", "connect-failed", "connect-failed", "connect-failed"}},
	{standin.Hello, [5]string{"full", "connect-failed", "connect-failed", "connect-failed", "connect-failed"}},
	{standin.Mail, [5]string{"full", "moot!", "connect-failed", "connect-failed", "connect-failed"}},
	{standin.Rcpt, [5]string{"full", "moot!", "connect-failed", "connect-failed", "connect-failed"}},
	{standin.Data, [5]string{"full", "moot!", "connect-failed", "connect-failed", "connect-failed"}},
	{standin.Body, [5]string{"ok", "ok", "ok", "reset", "timed-out"}}, // the mail is one block, and that was begun
	{standin.Final, [5]string{"full", "moot!", "unreadable", "reset", "timed-out"}},
	{standin.Quit, [5]string{"ok", "ok", "ok", "ok", "ok"}},
}

var names = []string{"ok", "errored", "full", "timed-out", "connect-failed", "reset", "cancelled", "moot", "unsent", "unreadable"}

func nameOf(o engine.Outcome) string {
	s := names[o.Result]
	if o.Permanent {
		s += "!"
	}
	return s
}

func TestOutcomesAreThoseOfTheTable(t *testing.T) {
	t.Parallel()
	for _, row := range outcomes {
		for n, what := range []string{later, no, garbage, drop, silence} {
			for _, p := range []mail.Protocol{mail.SMTP, mail.LMTP} {
				for _, ext := range [][]string{nil, allExtensions} {
					t.Run(fmt.Sprint(row.stage, " ", what, " ", p, " ", len(ext)), func(t *testing.T) {
						t.Parallel()
						want := row.ends[n]
						s := &standin.Server{Extensions: ext, Script: func(s standin.Step) (a standin.Act) {
							if s.Stage == row.stage {
								a = actOf(what)
							}
							return a
						}}
						m := newSim(t, 1, Partner{Protocol: p, GreyWait: 3 * time.Second}, s)
						m.play(func() {
							o := m.run(m.rcpts(1, time.Minute)...)[0]
							if nameOf(o) != want {
								t.Errorf("outcome %s (%s), want %s", nameOf(o), o.Reason, want)
							}
							if o.Result == control.Refused && o.RetryAfter != 3*time.Second {
								t.Errorf("told to wait %v", o.RetryAfter)
							}
							if o.Permanent && o.Reason == "" {
								t.Error("the refusal has no reason")
							}
						})
						count := m.effects()["r0@archive.example.org"]
						if count > 1 || count == 1 && control.NeverRan(resultOf(want)) || count == 0 && want == "ok" {
							t.Errorf("it took effect %d times, with %s", count, want)
						}
					})
				}
			}
		}
	}
}

func resultOf(name string) control.Result {
	for i, n := range names {
		if n == name || n+"!" == name {
			return control.Result(i)
		}
	}
	panic(name)
}
