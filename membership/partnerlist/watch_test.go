package partnerlist

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"curlewmux/engine"
	"curlewmux/internal/host"
	"curlewmux/membership"
)

// watched runs a watch on a script until it ends.
func watched(s *script) (*Watch, *listing) {
	to := &listing{}
	w := NewWatch(s, "agent:1", quiet())
	w.tell = ListingCallback(to, names(), s, quiet())
	return w, to
}

func TestWhatDiscoverySaysIsToldInTheEnginesTerms(t *testing.T) {
	t.Parallel()
	l, err := decode([]byte(`{"revision":41,"complete":true,"more":1,"members":[
		{"id":"a","host_port":"10.1.0.18:9000","locality":"far west","flavor":"hooks","cell":3,"phase":"active","size":1.5,"up_since_ms":7},
		{"id":"b","host_port":"10.1.0.19:9000","locality":"moon","flavor":"?","cell":4,"phase":"leaving"},
		{"id":"c","locality":"east","phase":"left"}, {"id":"d","phase":"unheard of"}]}`))
	must(t, err)
	want := &engine.Members{Source: "partner-list", FullList: true, List: []engine.Member{
		{ID: "a", Addr: "10.1.0.18:9000", Destination: 3, Zone: 1, Kind: 0, Phase: engine.Active, Weight: 1.5},
		{ID: "b", Addr: "10.1.0.19:9000", Destination: 4, Zone: -1, Kind: -1, Phase: engine.Leaving},
		{ID: "c", Zone: 0, Kind: -1, Phase: engine.Gone},
		{ID: "d", Zone: -1, Kind: -1, Phase: engine.Leaving},
	}}
	if got := l.Members(names()); !reflect.DeepEqual(got, want) || l.Revision != 41 {
		t.Errorf("%+v", got)
	}
	if got := l.CachedMembers(names()); !got.Cached || !got.FullList || len(got.List) != 4 {
		t.Errorf("cached: %+v", got)
	}
}

func TestAListIsBounded(t *testing.T) {
	t.Parallel()
	most := `{"members":[` + strings.Repeat("{},", membersMost-1) + "{}"
	if l, err := decode([]byte(most + "]}")); err != nil || len(l.Entries) != membersMost {
		t.Errorf("the longest list: %v", err)
	}
	if _, err := decode([]byte(most + ",{}]}")); err == nil || !strings.Contains(err.Error(), "members: over 65536") {
		t.Errorf("a longer one: %v", err)
	}
	s := newScript(nil)
	w, to := watched(s)
	s.serve = func(c call) reply {
		if len(s.calls) == 1 {
			return reply{text: listText(1, true, strings.Repeat("x", listMost))}
		}
		w.Close()
		return reply{}
	}
	w.run()
	if to.text() != "failed" {
		t.Errorf("over %d bytes: told %.80q", listMost, to.text())
	}
}

// The first call asks for the whole list; each further one for what is newer, at once and on the same connection.
func TestAWatchFollowsTheList(t *testing.T) {
	t.Parallel()
	s := newScript(nil)
	w, to := watched(s)
	s.serve = func(c call) reply {
		switch len(s.calls) {
		case 1:
			return reply{text: listText(41, true, "a", "b")}
		case 2:
			return reply{after: time.Second, text: listText(42, false, "b")}
		case 3:
			return reply{after: watchWait, text: listText(42, false)} // no news in all that time
		case 4:
			return reply{after: 10 * time.Millisecond, text: listText(44, true)}
		}
		w.Close()
		return reply{}
	}
	w.run()
	if to.text() != "whole a b, changes b, whole" {
		t.Errorf("told %s", to.text())
	}
	paths := []string{}
	for i, c := range s.calls {
		paths = append(paths, c.path)
		if want := []time.Duration{0, 0, time.Second, watchWait, 10 * time.Millisecond}; i > 0 && c.at.Sub(s.calls[i-1].at) != want[i] {
			t.Errorf("call %d comes %v after the one before", i, c.at.Sub(s.calls[i-1].at))
		}
	}
	if want := "[/api/targets /api/targets?after=41&wait_ms=10000 /api/targets?after=42&wait_ms=10000" +
		" /api/targets?after=42&wait_ms=10000 /api/targets?after=44&wait_ms=10000]"; fmt.Sprint(paths) != want {
		t.Errorf("asked %v", paths)
	}
	if s.dials != 1 {
		t.Errorf("%d connections", s.dials)
	}
}

// Whatever faulty discovery answers at once, it is not asked without a pause; but a watch goes on only when the next call
// comes within 200 ms of an answer, and news is followed at once.
func TestFaultyDiscoveryMakesNoBusyLoop(t *testing.T) {
	t.Parallel()
	const span = time.Minute
	for name, c := range map[string]struct {
		answer func(n int, whole bool) string
		most   int // calls in that time
		least  int
		burst  int // calls that come at once
	}{
		"nothing new":          {func(_ int, whole bool) string { return listText(7, whole) }, 601, 550, 2},
		"a whole list again":   {func(int, bool) string { return listText(7, true, "a") }, 601, 550, 2},
		"always something new": {func(n int, whole bool) string { return listText(n, whole, "a") }, 1221, 1100, 15},
		"nothing but numbers":  {func(n int, whole bool) string { return listText(n, whole) }, 1221, 1100, 15},
		"unreadable":           {func(int, bool) string { return ok("[]") }, 70, 50, 1},
		"refused":              {func(int, bool) string { return status(500, "") }, 70, 50, 1},
	} {
		s := newScript(nil)
		w, _ := watched(s)
		s.in(span, w.Close)
		s.serve = func(k call) reply {
			return reply{text: c.answer(len(s.calls), !strings.Contains(k.path, "after="))}
		}
		w.run()
		if n := len(s.calls); n > c.most || n < c.least {
			t.Errorf("%s: %d calls in %v", name, n, span)
		}
		burst := 0
		for i, k := range s.calls {
			if k.at.Equal(s.calls[0].at) {
				burst++
			}
			if i > 0 && c.burst > 1 && k.at.Sub(s.calls[i-1].at) > 150*time.Millisecond {
				t.Errorf("%s: %v passed between an answer and the next call", name, k.at.Sub(s.calls[i-1].at))
				break
			}
		}
		if burst < c.burst {
			t.Errorf("%s: %d calls at once", name, burst)
		}
	}
}

// Discovery that answers one dispatcher after another may take seconds for a whole list: whoever gives the call up and asks
// again never hears one.
func TestAWholeListMayTakeSeconds(t *testing.T) {
	t.Parallel()
	s := newScript(nil)
	w, to := watched(s)
	s.in(20*time.Second, w.Close)
	s.serve = func(c call) reply {
		if len(s.calls) == 1 {
			return reply{after: 5 * time.Second, text: listText(7, true, "a")}
		}
		w.Close()
		return reply{}
	}
	w.run()
	if to.text() != "whole a" || len(s.calls) != 2 {
		t.Errorf("told %q by %d calls", to.text(), len(s.calls))
	}
}

// A failure is told once, until there has been an answer; pauses grow, and the watch then goes on where it was.
func TestAFailureIsToldOnce(t *testing.T) {
	t.Parallel()
	s := newScript(nil)
	w, to := watched(s)
	s.serve = func(c call) reply {
		switch n := len(s.calls); {
		case n == 1 || n == 10:
			return reply{text: listText(n, n == 1, "a")}
		case n == 2:
			return reply{} // silent
		case n == 11:
			return reply{text: status(500, "")}
		case n == 12:
			w.Close()
		}
		return reply{text: status(503, "")}
	}
	w.run()
	if to.text() != "whole a, failed, changes a, failed" {
		t.Errorf("told %s", to.text())
	}
	gaps := ""
	for i, c := range s.calls[2:] {
		gaps += fmt.Sprint(" ", c.at.Sub(s.calls[i+1].at))
	}
	if gaps != " 12.05s 100ms 200ms 400ms 800ms 1s 1s 1s 0s 50ms" {
		t.Errorf("calls come after%s", gaps)
	}
	if p := s.calls[9].path; p != "/api/targets?after=1&wait_ms=10000" {
		t.Errorf("the watch went on with %s", p)
	}
}

// An agent may close a connection between two calls: that is no failure of discovery.
func TestAConnectionThatWasClosedIsNoFailure(t *testing.T) {
	t.Parallel()
	s := newScript(nil)
	w, to := watched(s)
	s.serve = func(c call) reply {
		if len(s.calls) == 4 {
			w.Close()
		}
		return reply{text: listText(len(s.calls), true, "a"), hang: true}
	}
	w.run()
	if to.text() != "whole a, whole a, whole a" || s.dials < 4 {
		t.Errorf("told %s on %d connections", to.text(), s.dials)
	}
}

// At a new address all begins anew, at once; what the old one still has to say is of no interest.
func TestAMoveBeginsAnew(t *testing.T) {
	t.Parallel()
	for name, old := range map[string]reply{
		"silent": {}, "in a pause": {text: status(500, "")}, "late": {after: time.Second, text: listText(9, true, "late")},
	} {
		s := newScript(nil)
		w, to := watched(s)
		s.serve = func(c call) reply {
			switch {
			case c.addr == "agent:2" && len(to.list) > 1 && to.text() != "whole a, failed":
				w.Close()
			case c.addr == "agent:2":
				return reply{text: listText(3, true, "b")}
			case len(s.calls) == 1:
				return reply{text: listText(5, true, "a")}
			}
			return old
		}
		s.in(30*time.Millisecond, func() {
			if !w.SetAddress("agent:2") || w.SetAddress("agent:2") {
				t.Errorf("%s: Move does not tell whether the address is another", name)
			}
		})
		w.run()
		if got := strings.Replace(to.text(), "failed, ", "", 1); got != "whole a, whole b" {
			t.Errorf("%s: told %s", name, to.text())
		}
		first := 0
		for first < len(s.calls) && s.calls[first].addr == "agent:1" {
			first++
		}
		if c := s.calls[first]; c.path != "/api/targets" || c.at.Sub(s.calls[0].at) != 30*time.Millisecond {
			t.Errorf("%s: the new address is asked for %s after %v", name, c.path, c.at.Sub(s.calls[0].at))
		}
	}
}

func TestAWatchEndsWithItsListing(t *testing.T) {
	t.Parallel()
	for _, answer := range []string{listText(1, true, "a"), status(500, "")} {
		s := newScript(func(call) reply { return reply{text: answer} })
		w, to := watched(s)
		to.gone = true
		w.run()
		if len(s.calls) != 1 {
			t.Errorf("%d calls", len(s.calls))
		}
	}
}

// The same answers give the same run: calls and their times are those of the run before.
func TestARunCanBeReplayed(t *testing.T) {
	t.Parallel()
	run := func() (string, string) {
		s := newScript(nil)
		w, to := watched(s)
		s.in(7*time.Second, func() { w.SetAddress("agent:2") })
		s.in(80*time.Second, w.Close)
		s.serve = func(c call) reply {
			n := len(s.calls)
			return reply{
				after: time.Duration(n*n*37%900) * time.Millisecond, hang: n%5 == 0,
				text: []string{listText(n, false, "a"), listText(n, true, "b"), status(500, ""), "noise", "", listText(n-1, false)}[n*7%6],
			}
		}
		w.run()
		return fmt.Sprint(s.calls), to.text()
	}
	calls, told := run()
	for range 3 {
		if c, l := run(); c != calls || l != told {
			t.Fatalf("%s and then %s", told, l)
		}
	}
	if len(told) < 100 {
		t.Errorf("told %s", told)
	}
}

// sockets is an agent on loopback whose watches wait for changes.
type sockets struct {
	*httptest.Server
	mu       sync.Mutex
	revision int
	changed  chan struct{}
	mute     bool
}

func newSockets(t *testing.T) *sockets {
	a := &sockets{changed: make(chan struct{})}
	a.Server = httptest.NewServer(a)
	t.Cleanup(func() {
		a.CloseClientConnections()
		a.Close()
	})
	return a
}

func (a *sockets) addr() string { return a.Listener.Addr().String() }

func (a *sockets) set(do func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	do()
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *sockets) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	after := -1
	var wait int64
	fmt.Sscan(r.URL.Query().Get("after"), &after)
	fmt.Sscan(r.URL.Query().Get("wait_ms"), &wait)
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		a.mu.Lock()
		now, changed, mute := a.revision, a.changed, a.mute
		a.mu.Unlock()
		if !mute && (after < now || wait == 0) {
			fmt.Fprintf(rw, `{"revision":%d,"complete":%v,"members":[`, now, after < 0)
			for i := max(after, 0); i < now; i++ {
				if i > max(after, 0) {
					fmt.Fprint(rw, ",")
				}
				fmt.Fprintf(rw, `{"id":"e%d"}`, i)
			}
			fmt.Fprint(rw, "]}")
			return
		}
		select {
		case <-changed:
		case <-limit:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// teller passes on what a listing is told.
type teller chan *engine.Members

func (c teller) Members(m *engine.Members) bool { c <- m; return true }

func (c teller) want(t *testing.T, kind string, members int) {
	t.Helper()
	select {
	case m := <-c:
		if got := (&listing{list: []*engine.Members{m}}).text(); !strings.HasPrefix(got, kind) || len(m.List) != members {
			t.Fatalf("told %s, want %s with %d", got, kind, members)
		}
	case <-time.After(generous):
		t.Fatalf("%s is not told", kind)
	}
}

// While discovery is silent the list at hand serves; what changed meanwhile is learned after that. An address that a
// reload names is asked at once, and Close ends a watch that hangs.
func TestDiscoverySilent(t *testing.T) {
	t.Parallel()
	a, b := newSockets(t), newSockets(t)
	a.set(func() { a.revision = 1 })
	w := NewWatch(host.System{}, a.addr(), quiet())
	w.wait, w.margin = 100*time.Millisecond, 200*time.Millisecond
	to := make(teller, 10)
	w.Start(ListingCallback(to, names(), host.System{}, quiet()))
	defer w.Close()
	to.want(t, "whole", 1)
	a.set(func() { a.revision = 2 })
	to.want(t, "changes", 1)
	a.set(func() { a.mute = true })
	to.want(t, "failed", 0)
	a.set(func() { a.revision = 3 })
	a.set(func() { a.mute = false })
	to.want(t, "changes", 1)
	a.set(func() { a.mute = true })
	b.set(func() { b.revision = 5 })
	if !w.SetAddress(b.addr()) {
		t.Error("another address is not told as one")
	}
	for m := range to {
		if !m.Failed { // discovery may have been found silent just before
			to <- m
			break
		}
	}
	to.want(t, "whole", 5)
	b.set(func() { b.mute = true })
}

func TestACloseWithoutAStartAndAStartAfterAClose(t *testing.T) {
	t.Parallel()
	w := NewWatch(host.System{}, "127.0.0.1:1", quiet())
	w.Close()
	w.Start(ListingCallback(make(teller), names(), host.System{}, quiet()))
	w.Close()
	if w.SetAddress("127.0.0.1:2") {
		t.Error("a closed watch moves")
	}
}

// Whatever discovery answers, a list that can be read is bounded and told entry by entry.
func FuzzList(f *testing.F) {
	_, body, _ := strings.Cut(listText(3, true, "a", "b"), "\r\n\r\n")
	for _, s := range []string{body, `{"members":null}`, `{"members":{}}`, `{"members":[1]}`, `{"revision":1e3}`, `{"Members":[{"ID":"x"}]}`, `[]`, `{"members":[{}]`, `{"members":[{"cell":-1,"size":-1e308}]}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := decode(text)
		if err != nil {
			return
		}
		m := l.Members(names())
		if m.Source != Name || m.FullList != l.Complete || m.Failed || len(m.List) != len(l.Entries) || len(m.List) > membersMost {
			t.Fatalf("%+v of %q", m, text)
		}
		for i, e := range m.List {
			if e.ID != l.Entries[i].ID || e.Zone < -1 || e.Zone > 1 || e.Kind < -1 || e.Kind > 0 || e.Phase > engine.Active {
				t.Fatalf("%+v of %q", e, text)
			}
		}
	})
}

// The first answer must be the whole list: from changes alone nobody knows what is not there.
func TestChangesInPlaceOfTheFirstListAreAFailure(t *testing.T) {
	t.Parallel()
	s := newScript(nil)
	w, to := watched(s)
	s.serve = func(c call) reply {
		if len(s.calls) == 1 {
			return reply{text: listText(1, false, "a")}
		}
		if len(s.calls) == 2 {
			return reply{text: listText(2, true, "a")}
		}
		w.Close()
		return reply{}
	}
	w.run()
	if len(to.list) < 2 || !to.list[0].Failed || !to.list[1].FullList {
		t.Errorf("told %+v", to.list)
	}
}

// What the watch hears reaches a membership table in its terms, until the source is told to end.
func TestASourceTellsATableWhatDiscoverySays(t *testing.T) {
	t.Parallel()
	a := newSockets(t)
	a.set(func() { a.revision = 1 })
	ctx, cancel := context.WithCancel(t.Context())
	updates := make(chan membership.Update, 10)
	ended := make(chan error, 1)
	go func() {
		ended <- NewSource(host.System{}, a.addr(), quiet()).Run(ctx, func(u membership.Update) { updates <- u })
	}()
	u := <-updates
	if u.Kind != membership.FullList || len(u.Endpoints) == 0 || u.Endpoints[0].ID == "" {
		t.Errorf("told %+v", u)
	}
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("ended with %v", err)
	}
}
