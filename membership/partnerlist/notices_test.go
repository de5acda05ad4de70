package partnerlist

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"curlewmux/engine"
	"curlewmux/internal/host"
)

// newScriptNotices creates Notices on a script. They are closed when there is nothing left to wait for. acknowledged
// collects the ids of acknowledged notices.
func newScriptNotices(s *script) (n *Notices, acknowledged *[]string) {
	n = NewNotices(s, "agent:1", discardLog())
	acknowledged = &[]string{}
	n.acknowledged = func(ids []string) { *acknowledged = append(*acknowledged, ids...) }
	s.onIdle = n.Close
	return n, acknowledged
}

func refused(id string, again time.Duration) *engine.Done {
	return &engine.Done{ID: id, Disposition: engine.Refused, RetryAfter: again}
}

func failed(id string) *engine.Done { return &engine.Done{ID: id, Disposition: engine.Failed} }

// idsOf parses a body of notices and returns their ids.
func idsOf(t *testing.T, body string) (ids []string) {
	t.Helper()
	for line := range strings.Lines(body) {
		var n struct{ ID string }
		requireNoError(t, json.Unmarshal([]byte(line), &n))
		ids = append(ids, n.ID)
	}
	return ids
}

// Notices are retried until discovery accepts them, and several go into one request.
func TestNoticesAreRetriedUntilAccepted(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	bodies := []string{}
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		text, err := io.ReadAll(r.Body)
		if err != nil || r.Method != "POST" || r.URL.Path != "/reports" {
			t.Errorf("%s %s: %v", r.Method, r.URL.Path, err)
		}
		mu.Lock()
		defer mu.Unlock()
		bodies = append(bodies, string(text))
		if len(bodies) < 3 {
			rw.WriteHeader(503)
			return
		}
		rw.WriteHeader(204)
	}))
	defer s.Close()
	n := NewNotices(host.System{}, s.Listener.Addr().String(), discardLog())
	acknowledged := make(chan []string, 10)
	n.agent.inbox.Put(&notice{id: "a"}) // goes into the same request as the next one
	n.agent.inbox.Put(&notice{id: "b", deferred: true, retryAfter: time.Second})
	n.Start(func(ids []string) { acknowledged <- ids })
	defer n.Close()
	select {
	case ids := <-acknowledged:
		want := `{"id":"a","status":"undeliverable"}` + "\n" + `{"id":"b","status":"deferred","again_ms":1000}` + "\n"
		if !slices.Equal(ids, []string{"a", "b"}) || !slices.Equal(bodies, []string{want, want, want}) {
			t.Errorf("%v acknowledged, bodies %q", ids, bodies)
		}
	case <-time.After(testTimeout):
		t.Fatal("the first two notices were not acknowledged")
	}
	n.Completed(refused("c", 0))
	if ids := <-acknowledged; !slices.Equal(ids, []string{"c"}) {
		t.Errorf("%v acknowledged", ids)
	}
	mu.Lock()
	defer mu.Unlock()
	if last := bodies[len(bodies)-1]; last != `{"id":"c","status":"deferred"}`+"\n" {
		t.Errorf("notice without a retry delay: %q", last)
	}
}

func TestNoNoticeUnlessUndelivered(t *testing.T) {
	t.Parallel()
	s := newScript(func(call) reply { return reply{text: status(204, "")} })
	n, acknowledged := newScriptNotices(s)
	for i, how := range []engine.Disposition{engine.Delivered, engine.Closed, engine.Withdrawn} {
		n.Completed(&engine.Done{ID: fmt.Sprint(i), Disposition: how})
	}
	n.run()
	if len(s.calls) > 0 || len(*acknowledged) > 0 {
		t.Errorf("notices %v were sent, %v acknowledged", s.calls, *acknowledged)
	}
}

// No body is larger than discovery accepts, and the order is kept over many requests.
func TestNoticesGoOutInOrderAndInBoundedBodies(t *testing.T) {
	t.Parallel()
	s := newScript(nil)
	n, acknowledged := newScriptNotices(s)
	var want, got []string
	s.serve = func(c call) reply {
		if len(c.body) > maxReportBytes {
			t.Errorf("a request has a body of %d bytes", len(c.body))
		}
		if len(s.calls)%2 == 0 {
			return reply{text: status(503, "")}
		}
		got = append(got, idsOf(t, c.body)...)
		return reply{text: status(204, "")}
	}
	end := func(i int) {
		id := fmt.Sprintf("%04d%s", i, strings.Repeat("x", 100))
		want = append(want, id)
		n.Completed(failed(id))
	}
	for i := range 3000 {
		end(i)
	}
	for i := range 20 { // during the pauses
		s.after(time.Duration(i)*10*time.Millisecond, func() { end(3000 + i) })
	}
	n.run()
	if !slices.Equal(got, want) || !slices.Equal(*acknowledged, want) {
		t.Errorf("%d notices accepted and %d acknowledged of %d, or in the wrong order", len(got), len(*acknowledged), len(want))
	}
	if cap(n.pending) > 0 {
		t.Errorf("memory for %d notices is kept after the burst", cap(n.pending))
	}
}

// If discovery can't read one of many notices, only that one is dropped. All count as acknowledged.
func TestOneUnreadableNoticeIsDroppedAlone(t *testing.T) {
	t.Parallel()
	for name, bad := range map[string][]int{
		"first": {0}, "last": {699}, "middle": {350}, "some": {17, 18, 400}, "none": nil,
	} {
		s := newScript(nil)
		n, acknowledged := newScriptNotices(s)
		isBad := func(id string) bool {
			return slices.ContainsFunc(bad, func(i int) bool { return fmt.Sprint(i) == id })
		}
		var got []string
		s.serve = func(c call) reply {
			ids := idsOf(t, c.body)
			if slices.ContainsFunc(ids, isBad) {
				return reply{text: status(400, "can't be read")}
			}
			got = append(got, ids...)
			return reply{text: status(204, "")}
		}
		var all, good []string
		for i := range 700 {
			id := fmt.Sprint(i)
			if all = append(all, id); !isBad(id) {
				good = append(good, id)
			}
			n.Completed(failed(id))
		}
		n.run()
		if !slices.Equal(got, good) || !slices.Equal(*acknowledged, all) {
			t.Errorf("%s: %d accepted, %d acknowledged, or in the wrong order", name, len(got), len(*acknowledged))
		}
		if most := 1 + 22*len(bad); len(s.calls) > most { // up to twice the number of times that 700 can be halved, plus one
			t.Errorf("%s: %d calls, want %d at most", name, len(s.calls), most)
		}
	}
}

// If discovery can read no notice at all, calls are paced, and no notice is kept for ever.
func TestNoBusyLoopIfNoticesAreUnreadable(t *testing.T) {
	t.Parallel()
	s := newScript(func(call) reply { return reply{text: status(400, "")} })
	n, acknowledged := newScriptNotices(s)
	for i := range 100 {
		n.Completed(failed(fmt.Sprint(i)))
	}
	begun := s.now
	n.run()
	if len(*acknowledged) != 100 {
		t.Errorf("%d of 100 acknowledged", len(*acknowledged))
	}
	if took := s.now.Sub(begun); len(s.calls) > paceBurst+1+int(took/paceInterval) {
		t.Errorf("%d calls in %v, more than the pacing allows", len(s.calls), took)
	}
}

// Notices that the old address has not accepted go to the new one at once.
func TestNoticesFollowAddress(t *testing.T) {
	t.Parallel()
	for name, old := range map[string]reply{
		"silent": {}, "in a pause": {text: status(500, "")}, "unreadable": {delay: 4 * time.Millisecond, text: status(400, "")},
		"late": {delay: time.Second, text: status(400, "")},
	} {
		s := newScript(nil)
		n, acknowledged := newScriptNotices(s)
		var lines bytes.Buffer
		n.log = slog.New(slog.NewTextHandler(&lines, nil))
		var got []string
		moved := 0
		s.serve = func(c call) reply {
			if c.addr == "agent:1" {
				return old
			}
			if moved++; moved == 1 && c.at.Sub(s.calls[0].at) != 5*time.Millisecond {
				t.Errorf("%s: first call to the new address after %v, want 5 ms", name, c.at.Sub(s.calls[0].at))
			}
			got = append(got, idsOf(t, c.body)...)
			return reply{text: status(204, "")}
		}
		s.after(5*time.Millisecond, func() {
			if !n.SetAddress("agent:2") {
				t.Errorf("%s: SetAddress returns false for a different address", name)
			}
		})
		for _, id := range []string{"a", "b", "c", "d"} {
			n.Completed(failed(id))
		}
		n.run()
		if !slices.Equal(got, []string{"a", "b", "c", "d"}) || !slices.Equal(*acknowledged, got) {
			t.Errorf("%s: accepted %v, acknowledged %v", name, got, *acknowledged)
		}
		if moved != 1 {
			t.Errorf("%s: %d calls to the new address, want 1", name, moved)
		}
		if faulty := name == "in a pause"; (lines.Len() > 0) != faulty {
			t.Errorf("%s: logged %s", name, &lines)
		}
	}
}

// The connection of a call is closed when the call has ended, when the address changes, and by Close.
func TestConnectionOfACallIsClosed(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(*Notices, net.Conn){
		"response": func(_ *Notices, c net.Conn) { io.WriteString(c, status(204, "")) },
		"move":     func(n *Notices, _ net.Conn) { n.SetAddress("127.0.0.1:1") },
		"close":    func(n *Notices, _ net.Conn) { n.Close() },
	} {
		l, err := host.System{}.Listen("127.0.0.1:0")
		requireNoError(t, err)
		defer l.Close()
		n := NewNotices(host.System{}, l.Addr().String(), discardLog())
		n.Start(func([]string) {})
		defer n.Close()
		n.Completed(failed("a"))
		c, err := l.Accept()
		requireNoError(t, err)
		defer c.Close()
		requireNoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
		br := bufio.NewReader(c)
		r, err := http.ReadRequest(br)
		requireNoError(t, err)
		_, err = io.Copy(io.Discard, r.Body)
		requireNoError(t, err)
		end(n, c)
		if _, err := br.ReadByte(); err != io.EOF {
			t.Errorf("%s: reading from the connection returns %v, want EOF", name, err)
		}
	}
}

// If the deadline of a call passes on a persistent connection, no new one is dialled, since the dial would have no limit.
func TestNoDialAfterDeadline(t *testing.T) {
	t.Parallel()
	s := newScript(nil)
	a := newAgent(s, "agent:1")
	if err := a.dial(a.currentAddress(), s.now); !errors.Is(err, os.ErrDeadlineExceeded) || s.dials > 0 {
		t.Errorf("error %v after %d dials, want a timeout without a dial", err, s.dials)
	}
}

// Close aborts a hanging call. Later results are dropped, since the store still has them.
func TestCloseAbortsHangingCall(t *testing.T) {
	t.Parallel()
	asked := make(chan bool, 1)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		asked <- true
		<-r.Context().Done()
	}))
	defer s.Close()
	n := NewNotices(host.System{}, s.Listener.Addr().String(), discardLog())
	n.Start(func(ids []string) { t.Errorf("%v acknowledged though the call was aborted", ids) })
	n.Completed(failed("a"))
	<-asked
	n.Close()
	n.Completed(failed("b"))
}
