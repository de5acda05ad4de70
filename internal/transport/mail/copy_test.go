package mailtransport

import (
	"bufio"
	"fmt"
	"strings"
	"testing"

	"curlewmux/control"
	"curlewmux/internal/host"
	"curlewmux/internal/mail"
	standin "curlewmux/internal/standin/mail"
)

// A late copy of a reply must not be taken for the reply to a mail that goes by BDAT.
func TestLateCopyOfAReplyIsNotTheReplyToAChunk(t *testing.T) {
	t.Parallel()
	m := newSim(t, 1, Partner{Protocol: mail.SMTP}, &standin.Server{})
	m.Machine("copying").Boot(func(h host.Host) {
		l, err := h.Listen(":25")
		if err != nil {
			t.Error(err)
			return
		}
		for mails := 0; ; {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			say := func(line string) { fmt.Fprint(nc, line, "\r\n") }
			say("220 copying")
			previous := ""
			for br := bufio.NewReader(nc); ; {
				line, err := br.ReadString('\n')
				if err != nil {
					break
				}
				var size int
				switch verb, _, _ := strings.Cut(strings.TrimSpace(line), " "); verb {
				case "EHLO":
					say("250-copying\r\n250 CHUNKING")
				case "BDAT":
					fmt.Sscanf(line, "BDAT %d", &size)
					br.Discard(size)
					if mails++; mails > 1 {
						say("550 no such mailbox")
						continue
					}
					previous = "250 queued"
					say(previous)
				case "QUIT":
					say("221 bye")
				case "MAIL":
					if previous != "" {
						say(previous)
					}
					previous = "250 sender ok"
					say(previous)
				default:
					say("250 ok")
				}
			}
			nc.Close()
		}
	})
	const noLineEnd = "Subject: a\r\n\r\nno line end"
	m.play(func() {
		for n, want := range []bool{true, false} {
			item := m.itemOf("from@example.org", fmt.Sprintf("r%d@example.org", n), noLineEnd, generous)
			o := m.startAt(2, "copying:25", nil, item).wait()[0]
			if (o.Result == control.OK) != want {
				t.Errorf("mail %d: result %v, delivered: want %t", n, o.Result, want)
			}
		}
	})
}
