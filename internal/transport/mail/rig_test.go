package mailtransport

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/host"
	"curlewmux/internal/mail"
	standin "curlewmux/internal/standin/mail"
	"curlewmux/internal/vnet"
)

const (
	generous = 20 * time.Second
	ms       = time.Millisecond
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// sim is a transport on a simulated machine, and a stand-in server on another.
type sim struct {
	*vnet.World
	t      *testing.T
	far    *vnet.Machine
	server *standin.Server
	set    Settings
	limits vnet.Limits // of the dispatcher's machine

	// Of the dispatcher's process, while play runs:
	host  host.Host
	tr    *Transport
	clock engine.Clock
	calls engine.CallID
}

var allExtensions = []string{"PIPELINING", "SIZE 1000000", "8BITMIME", "SMTPUTF8", "DSN", "ENHANCEDSTATUSCODES"}

func newSim(t *testing.T, seed uint64, p Partner, s *standin.Server) *sim {
	t.Helper()
	w := vnet.New(seed, vnet.Options{Watchdog: generous})
	t.Cleanup(w.Close)
	m := &sim{World: w, t: t, far: w.Machine("far"), server: s, set: Settings{
		Name: "mux.example.org", Partners: map[int]Partner{0: p}, ConnectTimeout: time.Second, MostIdle: 8,
	}}
	s.LMTP = p.Protocol == mail.LMTP
	m.far.Boot(func(h host.Host) {
		s.Host = h
		l, err := h.Listen(":25")
		if err != nil {
			t.Error(err)
			return
		}
		s.Serve(l)
	})
	return m
}

// play runs f as the dispatcher's process, to its end.
func (m *sim) play(f func()) {
	m.t.Helper()
	var p *vnet.Process
	near := m.Machine(fmt.Sprint("mux", m.calls))
	near.Limit(m.limits)
	p = near.Boot(func(h host.Host) {
		m.host, m.clock = h, engine.Clock{Start: h.Now()}
		m.tr = New(h, m.clock, m.set)
		f()
		if err := m.tr.Close(generous); err != nil {
			m.t.Error(err)
		}
		if n := p.Goroutines(); n > 1 {
			m.t.Errorf("%d goroutines outlive Close: %q", n, p.Waiting())
		}
		if n := p.Descriptors(); n > 0 {
			m.t.Errorf("%d descriptors outlive Close", n)
		}
	})
	if err := m.Run(10*time.Hour, func() bool { return p.Dead() }); err != nil {
		m.t.Fatal(err)
	}
}

// out is a call under way.
type out struct {
	*engine.Call
	t    *testing.T
	may  func() []bool // nil: all
	told host.Inbox    // gets each of Ended's lists
	ends []engine.Outcome
	left int
}

func (o *out) MayWrite(engine.CallID) []bool {
	if o.may == nil {
		return slices.Repeat([]bool{true}, len(o.Items))
	}
	return o.may()
}

func (o *out) FirstLine(engine.CallID) {}

func (o *out) Ended(_ engine.CallID, outs []engine.Outcome) { o.told.Put(slices.Clone(outs)) }

// start starts a call to endpoint 1.
func (m *sim) start(may func() []bool, items ...engine.Item) *out {
	return m.startTo(1, may, items...)
}

func (m *sim) startTo(ep control.Endpoint, may func() []bool, items ...engine.Item) *out {
	return m.startAt(ep, "far:25", may, items...)
}

// startAt starts a call to an endpoint at an address.
func (m *sim) startAt(ep control.Endpoint, addr string, may func() []bool, items ...engine.Item) *out {
	m.calls++
	o := &out{
		Call: &engine.Call{ID: m.calls, Endpoint: ep, Addr: addr, Items: items}, t: m.t, may: may,
		told: m.host.NewInbox(), ends: make([]engine.Outcome, len(items)), left: len(items),
	}
	for i := range o.ends {
		o.ends[i].Item = -1
	}
	for _, it := range items {
		if it.Skip {
			o.left--
		}
	}
	m.tr.Start(o.Call, o)
	return o
}

// wait returns the outcomes by item once all have ended.
func (o *out) wait() []engine.Outcome {
	o.t.Helper()
	for o.left > 0 {
		for _, v := range o.told.Take(nil, time.Time{}) {
			for _, u := range v.([]engine.Outcome) {
				if o.ends[u.Item].Item >= 0 {
					o.t.Errorf("item %d ended twice", u.Item)
				}
				o.ends[u.Item] = u
				o.left--
			}
		}
	}
	return o.ends
}

// run makes a call and returns its outcomes.
func (m *sim) run(items ...engine.Item) []engine.Outcome {
	m.t.Helper()
	return m.start(nil, items...).wait()
}

const content = "Message-ID: <1@example.org>\r\nSubject: release\r\n\r\n.dots\r\n..\r\nend\r\n"

// item is a mail to a recipient that may take so long.
func (m *sim) item(rcpt string, within time.Duration) engine.Item {
	return m.itemOf("from@example.org", rcpt, content, within)
}

func (m *sim) itemOf(from, rcpt, content string, within time.Duration) engine.Item {
	e := mail.Envelope{From: mail.Path{Addr: from}, To: mail.Path{Addr: rcpt}, Content: []byte(content)}
	return engine.Item{ID: "id-" + rcpt, Body: e.Bytes(), Deadline: m.clock.At(m.host.Now().Add(within))}
}

// rcpts are mails with one content.
func (m *sim) rcpts(n int, within time.Duration) (list []engine.Item) {
	for i := range n {
		list = append(list, m.item(fmt.Sprintf("r%d@archive.example.org", i), within))
	}
	return list
}

// effects is how often each recipient's mail took effect. Every content must have come as it was.
func (m *sim) effects() map[string]int {
	m.t.Helper()
	out := map[string]int{}
	for _, a := range m.server.Accepted() {
		out[a.Rcpt]++
		trace, rest, _ := strings.Cut(a.Content, "\r\n")
		if !strings.HasPrefix(trace, "Received: by mux.example.org ") {
			m.t.Errorf("no trace field: %q", trace)
		}
		if rest != content {
			m.t.Errorf("the content came as %q", rest)
		}
	}
	return out
}
