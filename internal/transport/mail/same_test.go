package mailtransport

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	standin "curlewmux/internal/standin/mail"
	httptransport "curlewmux/internal/transport/http"
)

// partnerFaults are what partners do at stages that HTTP and mail both have, with the one outcome that both tell.
var partnerFaults = []struct {
	name         string
	http, mail   string // the answer behind the whole message; "" none
	drop, silent bool   // behind it; or, with refused, nobody listens
	refused      bool
	abort        bool // called off while the answer is waited for
	want         control.Result
}{
	{name: "delivered", http: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", mail: "250 ok\r\n", want: control.OK},
	{name: "refused for now", http: "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", mail: "451 busy\r\n", want: control.Refused},
	{name: "too many", http: "HTTP/1.1 429 Slow\r\nContent-Length: 0\r\n\r\n", mail: "452 slow\r\n", want: control.Refused},
	{name: "an answer that is none", http: "what?\r\n\r\n", mail: "what?\r\n", want: control.Unreadable},
	{name: "dropped without an answer", drop: true, want: control.Reset},
	{name: "silent", silent: true, want: control.TimedOut},
	{name: "called off", silent: true, abort: true, want: control.Cancelled},
	{name: "nobody listens", refused: true, want: control.ConnectFailed},
}

// partner answers as a row says, in either protocol: it reads a whole message first.
func partner(l net.Listener, asMail bool, answer string, silent bool) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		br := bufio.NewReader(nc)
		said := false
		if asMail {
			io.WriteString(nc, "220 ready\r\n")
		}
		for data := false; !said; {
			line, err := br.ReadString('\n')
			if err != nil {
				break
			}
			switch {
			case !asMail:
				said = line == "\r\n" // its body has come in one piece with it
			case data:
				said = line == ".\r\n"
			case strings.HasPrefix(line, "DATA"):
				io.WriteString(nc, "354 go on\r\n")
				data = true
			default:
				io.WriteString(nc, "250 ok\r\n")
			}
		}
		if said {
			io.WriteString(nc, answer)
			if silent {
				io.Copy(io.Discard, nc)
			}
		}
		nc.Close()
	}
}

func TestPartnersWithTheSameFaultsHaveTheSameOutcomesAsOverHTTP(t *testing.T) {
	t.Parallel()
	for _, f := range partnerFaults {
		for _, asMail := range []bool{false, true} {
			name := f.name + map[bool]string{false: " over HTTP", true: " over mail"}[asMail]
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				m := newSim(t, 1, Partner{}, &standin.Server{})
				var listener net.Listener
				m.far.Process().Go(func() {
					if f.refused {
						return
					}
					l, err := m.far.Process().Listen(":99")
					if err != nil {
						t.Error(err)
						return
					}
					listener = l
					answer := f.http
					if asMail {
						answer = f.mail
					}
					partner(l, asMail, answer, f.silent)
				})
				m.play(func() {
					pause := func(d time.Duration) { m.host.NewInbox().Take(nil, m.host.Now().Add(d)) }
					pause(10 * ms)
					var tr engine.Transport = m.tr
					if !asMail {
						web := httptransport.New(m.host, m.clock, httptransport.Settings{ConnectTimeout: time.Second})
						defer web.Close(generous)
						tr = web
					}
					o := &out{
						Call: &engine.Call{ID: 1, Endpoint: 1, Addr: "far:99", Items: m.rcpts(1, 5*time.Second)},
						t:    t, told: m.host.NewInbox(), ends: []engine.Outcome{{Item: -1}}, left: 1,
					}
					tr.Start(o.Call, o)
					if f.abort {
						pause(time.Second)
						tr.Abort(1)
					}
					if got := o.wait()[0]; got.Result != f.want {
						t.Errorf("outcome %s, want %s", nameOf(got), names[f.want])
					}
					if listener != nil {
						m.far.Process().Go(func() { listener.Close() })
						pause(10 * ms)
					}
				})
			})
		}
	}
}
