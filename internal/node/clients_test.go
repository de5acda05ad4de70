package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// raw dials the dispatcher and writes text as it is.
func (w *world) raw(text string) (net.Conn, *bufio.Reader) {
	w.t.Helper()
	c, err := net.Dial("tcp", w.addr)
	must(w.t, err)
	w.t.Cleanup(func() { c.Close() })
	must(w.t, c.SetDeadline(time.Now().Add(generous)))
	_, err = io.WriteString(c, text)
	must(w.t, err)
	return c, bufio.NewReader(c)
}

// head is a good message's request line and headers but for those that tell its length.
func head(id string) string {
	return "POST /free HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + id + "\r\nX-Qos: free\r\nX-Customer: core\r\n" +
		"X-Expires-In-Ms: 60000\r\nEnvelope: dest=1\r\n"
}

// A request with two ways to tell its length may hide another: neither is taken on, and nothing behind it is read.
// The same holds behind whatever else can't be trusted.
func TestNothingBehindARequestThatCantBeTrusted(t *testing.T) {
	w := newWorld(t)
	w.start()
	hidden := head("hidden") + "Content-Length: 0\r\n\r\n"
	for name, c := range map[string]struct{ text, want string }{
		"both":         {head("outer") + fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", len(hidden)+5), "411"},
		"chunked":      {head("outer") + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "411"},
		"on a get":     {"GET /-/ready HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "411"},
		"other coding": {head("outer") + "Transfer-Encoding: gzip\r\nContent-Length: 5\r\n\r\n", "501"},
		"huge":         {head("outer") + "Content-Length: 60000000\r\n\r\n", "413"},
		"negative":     {head("outer") + "Content-Length: -1\r\n\r\n", "400"},
		"noise":        {"\x16\x03\x01 noise\r\n\r\n", "400"},
		"endless head": {head("outer") + strings.Repeat("X-A: "+strings.Repeat("a", 1000)+"\r\n", 20), "431"},
	} {
		_, br := w.raw(c.text + hidden)
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		io.Copy(io.Discard, res.Body)
		if got := fmt.Sprint(res.StatusCode); got != c.want {
			t.Errorf("%s: answered %s, want %s", name, got, c.want)
		}
		if rest, _ := io.ReadAll(br); strings.Contains(string(rest), "HTTP/1.1") {
			t.Errorf("%s: what stood behind it was answered: %q", name, rest)
		}
	}
	if left := w.journalled(); len(left) > 0 {
		t.Errorf("taken on: %v", left)
	}
}

// Whoever says nothing, or begins and does not end, is let go soon.
func TestBegunRequestsMustEnd(t *testing.T) {
	w := newWorld(t)
	w.start()
	type end struct {
		name string
		took time.Duration
		got  string
	}
	ends := make(chan end)
	texts := map[string]string{
		"silent": "", "half a head": head("m")[:40], "half a body": head("m") + "Content-Length: 10\r\n\r\nabc",
	}
	for name, text := range texts {
		_, br := w.raw(text)
		begun := time.Now()
		go func() {
			got, _ := io.ReadAll(br)
			ends <- end{name, time.Since(begun), string(got)}
		}()
	}
	for range texts {
		e := <-ends
		// The former limits were 10 s and 20 s.
		if e.took > 8*time.Second || strings.HasPrefix(e.got, "HTTP/1.1 2") {
			t.Errorf("%s: ended after %v with %q", e.name, e.took, e.got)
		}
	}
	if left := w.journalled(); len(left) > 0 {
		t.Errorf("taken on: %v", left)
	}
}

// Silent connections don't lock clients out, however many there are, and an open request keeps its connection.
func TestSilentConnectionsGiveWay(t *testing.T) {
	w := newWorld(t)
	w.start()
	cfg, err := parseConfig(w.config(), w.env)
	must(t, err)
	open, br := w.raw(head("open") + "Content-Length: 3\r\n\r\na")
	for range cfg.share().clients + 50 {
		w.raw("")
	}
	w.hand("free", "m", 1)
	_, err = io.WriteString(open, "bc")
	must(t, err)
	if res, err := http.ReadResponse(br, nil); err != nil || res.StatusCode != 202 {
		t.Errorf("a request that was open among silent connections: %v %v", res, err)
	}
}

// A crowd of clients that ask once and keep their connections does not lock out those that come next: near the limit
// connections end with their answers.
func TestACrowdIsServed(t *testing.T) {
	w := newWorld(t)
	w.maxOpen = 1000
	w.start()
	cfg, err := parseConfig(w.config(), w.env)
	must(t, err)
	closes := 0
	n := 2 * cfg.share().clients
	for i := range n {
		_, br := w.raw(head(fmt.Sprint("m", i)) + "Content-Length: 0\r\n\r\n")
		res, err := http.ReadResponse(br, nil)
		if err != nil || res.StatusCode != 202 {
			t.Fatalf("client %d of %d: %v %v", i, n, res, err)
		}
		if res.Close {
			closes++
		}
	}
	if closes == 0 || closes == n {
		t.Errorf("%d of %d connections ended with their answers", closes, n)
	}
}

func TestWhichConnectionGoes(t *testing.T) {
	now := time.Now()
	pair := func(spoke, open, braked bool, age time.Duration) *client {
		a, b := net.Pipe()
		t.Cleanup(func() { a.Close(); b.Close() })
		return &client{Conn: a, spoke: spoke, open: open, braked: braked, since: now.Add(-age)}
	}
	refused, silent := pair(true, true, true, 0), pair(false, false, false, time.Second)
	silent2, idle := pair(false, false, false, time.Second/2), pair(true, false, false, 3*time.Second)
	idle2, fresh := pair(true, false, false, 2500*time.Millisecond), pair(false, false, false, time.Millisecond)
	busy, young := pair(true, true, false, time.Hour), pair(true, false, false, time.Second)
	d := newDoor(nil, 8)
	for _, c := range []*client{young, busy, fresh, idle2, idle, silent2, silent, refused} {
		d.open[c] = true
	}
	for i, want := range []*client{refused, silent, silent2, idle, idle2, fresh, nil} {
		got := d.least(now)
		if got != want {
			t.Fatalf("the connection that goes as number %d is another one", i)
		}
		delete(d.open, got)
	}
	if !d.open[busy] || !d.open[young] {
		t.Error("a connection with an open request, or one just used, was closed")
	}
}

// Those who send again what was refused are slowed, but a burst is answered at once and nobody waits long.
func TestRefusalsArePaced(t *testing.T) {
	b, now := &brake{}, time.Now()
	waits := []time.Duration{}
	for range 1000 {
		waits = append(waits, b.next(now))
	}
	if waits[brakeFree-1] > 0 || waits[brakeFree+10] <= 0 || slices.Max(waits) > brakeMost {
		t.Errorf("waits %v, %v, most %v", waits[brakeFree-1], waits[brakeFree+10], slices.Max(waits))
	}
	if late := b.next(now.Add(time.Hour)); late > 0 {
		t.Errorf("a wait of %v after a calm hour", late)
	}
	w := newWorld(t)
	w.start()
	begun := time.Now()
	const n = 3 * brakeFree
	for range n {
		if code, _, _ := w.do(w.request("nothing", "m", 1)); code != 400 {
			t.Fatalf("answered %d", code)
		}
	}
	if took := time.Since(begun); took < (n-brakeFree-5)*brakeGap {
		t.Errorf("%d refusals were answered within %v", n, took)
	}
	w.hand("free", "m", 1)
}

// What no list ever named is refused for good; what is empty for the moment waits.
func TestOnlyDestinationsThatWereNamed(t *testing.T) {
	w := newWorld(t)
	w.start()
	if code, _, why := w.do(w.request("free", "m", 9)); code != 400 || !strings.Contains(why, "Envelope") {
		t.Errorf("%d %s", code, why)
	}
	m := Member{ID: "e9", HostPort: "127.0.0.1:1", Locality: "west", Flavor: "hooks", Cell: 9, Phase: "leaving"}
	w.tell(m)
	waitFor(t, func() bool { code, _, _ := w.do(w.request("free", "m", 9)); return code == 202 })
	m.Phase = "left"
	w.tell(m)
	w.name(8)
	waitFor(t, func() bool { code, _, _ := w.do(w.request("free", "n", 8)); return code == 202 })
	w.hand("free", "later", 9)
	if len(w.journalled()) != 3 {
		t.Errorf("journalled %v", w.journalled())
	}
}

// Bodies have a common bound; what ends, or is refused, gives its part back.
func TestBodiesShareABudget(t *testing.T) {
	w := newWorld(t)
	w.memoryMB, w.maxOpen, w.diskMB = 2, 1000, 50
	w.start()
	big := func(id string) int {
		code, h, _ := w.do(mustRequest(t, w.request("free", id, 1), strings.Repeat("x", 60000)))
		if code == 503 && h.Get("Retry-After") == "" {
			t.Error("no time to come back is told")
		}
		return code
	}
	taken := 0
	for i := 0; i < 20 && big(fmt.Sprint("m", i)) == 202; i++ {
		taken++
	}
	if most := 2 << 20 / bodyShare / 60000; taken != most {
		t.Errorf("%d large messages taken on, want %d", taken, most)
	}
	w.endpoint("e", 1, "hooks", respond(200))
	w.awaitEmpty()
	for i := range 20 { // refused by its destination: nothing stays charged
		w.do(mustRequest(t, w.request("free", fmt.Sprint("x", i), 9), strings.Repeat("x", 60000)))
	}
	if code := big("again"); code != 202 {
		t.Errorf("answered %d after all had ended", code)
	}
}
