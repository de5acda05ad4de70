package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"curlewmux/control"
	"curlewmux/internal/host"
	"curlewmux/membership/partnerlist"
)

func TestDeliversEachClass(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	w.endpoint("a", 1, "archives", respond(200))
	w.endpoint("b", 2, "hooks", respond(200))
	stop := w.start()
	for i, class := range []string{"keyed", "free", "unsafe"} {
		w.submit(class, class, 1+i%2)
		w.awaitCalls(class, 1)
	}
	w.awaitEmpty()
	if err := stop(); err != nil {
		t.Error(err)
	}
	if len(w.notices) > 0 {
		t.Errorf("notices %v", w.notices)
	}
}

func mustRequest(t *testing.T, like *http.Request, body string) *http.Request {
	r, err := http.NewRequest(like.Method, like.URL.String(), strings.NewReader(body))
	must(t, err)
	r.Header = like.Header
	return r
}

// A client that has lost the response sends the same request again. It is the same message, whether open or finished.
func TestSameIDIsAcceptedOnce(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	w.start()
	w.submit("unsafe", "m", 1)
	w.submit("unsafe", "m", 1)
	w.endpoint("e", 1, "hooks", respond(200))
	w.awaitCalls("m", 1)
	w.awaitEmpty()
	w.submit("unsafe", "m", 1)
	w.submit("free", "n", 1)
	w.awaitCalls("n", 1)
	w.awaitEmpty()
	if n := w.called("m"); n != 1 {
		t.Errorf("%d calls", n)
	}
}

func TestWithNoRoomClientsAreTurnedAwayWithATime(t *testing.T) {
	t.Parallel()
	for name, set := range map[string]func(*testEnv){
		"held": func(w *testEnv) { w.maxOpen = 2 },
		"disk": func(w *testEnv) { w.diskMB, w.maxOpen = 0.05, 1000 },
	} {
		w := newTestEnv(t)
		set(w)
		w.start()
		code, header := 202, http.Header{}
		for i := 0; code == 202 && i < 500; i++ {
			code, header, _ = w.do(w.request("unsafe", fmt.Sprint("m", i), 1))
		}
		if code != 503 || header.Get("Retry-After") == "" {
			t.Errorf("%s: %d %v", name, code, header)
		}
		if n := diskUse(t, w.dir); n > int64(w.diskMB*1e6) {
			t.Errorf("%s: %d bytes on disk", name, n)
		}
		w.endpoint("e", 1, "hooks", respond(200)) // messages already accepted still have room to finish
		w.awaitEmpty()
	}
}

// Messages for one endpoint that are sent in one step share a call, if its kind allows that, up to the limit of the kind.
func TestMessagesAreBatchedIntoOneCall(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	w.start()
	for i := range 15 {
		w.submit("unsafe", fmt.Sprint("m", i), 1)
	}
	var mu sync.Mutex
	most := 0
	w.endpoint("e", 1, "archives", func(rw http.ResponseWriter, r *http.Request) {
		var list []struct{ ID string }
		if r.URL.Path == "/v1/messages:batch" {
			json.NewDecoder(r.Body).Decode(&list)
			out := []map[string]string{}
			for _, l := range list {
				out = append(out, map[string]string{"id": l.ID, "state": "delivered"})
			}
			json.NewEncoder(rw).Encode(out)
		}
		mu.Lock()
		most = max(most, len(list))
		mu.Unlock()
	})
	w.awaitEmpty()
	if most < 2 || most > 10 {
		t.Errorf("the largest call held %d messages", most)
	}
	for i := range 15 {
		if n := w.called(fmt.Sprint("m", i)); n != 1 {
			t.Errorf("message %d was called %d times", i, n)
		}
	}
}

// Messages of an ordered class are sent one at a time per key, in the order of acceptance. Other keys don't wait.
func TestOrderedClassKeepsOrderPerKey(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	release := make(chan bool)
	var mu sync.Mutex
	var order []string
	out, most := map[string]int{}, 0
	w.endpoint("e", 1, "hooks", func(_ http.ResponseWriter, r *http.Request) {
		id, key := r.Header.Get("X-Trace-Id"), r.Header.Get("Idempotency-Key")
		mu.Lock()
		order = append(order, id)
		out[key]++
		most = max(most, out[key])
		mu.Unlock()
		if id == "a0" {
			<-release
		}
		mu.Lock()
		out[key]--
		mu.Unlock()
	})
	w.start()
	submit := func(id, key string) {
		r := w.request("ordered", id, 1)
		r.Header.Set("Idempotency-Key", key)
		if code, _, why := w.do(r); code != 202 {
			t.Fatalf("message %s: %d %s", id, code, why)
		}
	}
	for i := range 5 {
		submit(fmt.Sprint("a", i), "a")
	}
	w.awaitCalls("a0", 1)
	submit("b0", "b")
	w.awaitCalls("b0", 1) // another key does not wait
	if n := w.called("a1"); n > 0 {
		t.Error("the second of a key went out beside the first")
	}
	close(release)
	w.awaitEmpty()
	order = slices.DeleteFunc(order, func(id string) bool { return id == "b0" })
	if want := []string{"a0", "a1", "a2", "a3", "a4"}; !slices.Equal(order, want) || most != 1 {
		t.Errorf("order %v, %d at once", order, most)
	}
}

func TestFailedUnsafeMessageIsNotRetried(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	w.endpoint("e", 1, "hooks", respond(500))
	w.start()
	w.submit("unsafe", "u", 1)
	w.awaitNotice("u", "undeliverable")
	w.awaitEmpty()
	if n := w.called("u"); n != 1 {
		t.Errorf("%d calls", n)
	}
}

// No call is made before a Retry-After has passed, whatever the class of the message.
func TestRetryAfterIsHonoured(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	const wait = 700 * time.Millisecond
	var mu sync.Mutex
	var toldAt time.Time
	early := 0
	w.endpoint("e", 1, "hooks", func(rw http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if toldAt.IsZero() {
			toldAt = time.Now()
			rw.Header().Set("Retry-After", "0.7")
			rw.WriteHeader(429)
		} else if time.Since(toldAt) < wait {
			early++
		}
	})
	w.start()
	w.submit("unsafe", "a", 1)
	w.awaitCalls("a", 1)
	waitFor(t, func() bool { e := w.journalled()["a"]; return e != nil && e.DoubtAt == 0 }) // the response has been recorded
	for i := range 10 {
		w.submit("free", fmt.Sprint("f", i), 1)
	}
	w.awaitEmpty()
	if early > 0 || w.called("a") != 2 {
		t.Errorf("%d calls within the wait; %d of the first message", early, w.called("a"))
	}
}

func TestDrainingEndpointGetsNoNewCalls(t *testing.T) {
	t.Parallel()
	for _, phase := range []string{"leaving", "left"} {
		w := newTestEnv(t)
		var calls atomic.Int32
		old := w.endpoint("old", 1, "hooks", func(http.ResponseWriter, *http.Request) { calls.Add(1) })
		w.start()
		w.submit("free", "before", 1)
		w.awaitCalls("before", 1)
		w.awaitEmpty()
		old.Phase = phase
		w.setEntry(old)
		w.endpoint("other", 2, "hooks", respond(200)) // when this endpoint is known, the drain is known, too
		w.submit("free", "known", 2)
		w.awaitCalls("known", 1)
		for i := range 8 {
			w.submit("free", fmt.Sprint("m", i), 1)
		}
		w.endpoint("new", 1, "hooks", respond(200))
		w.awaitEmpty()
		if n := calls.Load(); n != 1 {
			t.Errorf("%s: %d calls, want only the one from before", phase, n)
		}
		for i := range 8 {
			if n := w.called(fmt.Sprint("m", i)); n != 1 {
				t.Errorf("%s: message %d was called %d times", phase, i, n)
			}
		}
	}
}

// An endpoint on an unreachable machine never responds. Its messages are sent to another endpoint.
func TestUnreachableEndpointDoesNotDelayMessages(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	w.setEntry(partnerlist.Entry{ID: "v", HostPort: unreachableAddr(t), Locality: "west", Flavor: "hooks", Cell: 1, Phase: "active", Size: 1000})
	w.endpoint("e", 1, "hooks", respond(200))
	w.start()
	for i := range 6 {
		w.submit("unsafe", fmt.Sprint("m", i), 1)
	}
	w.awaitEmpty()
	for i := range 6 {
		if n := w.called(fmt.Sprint("m", i)); n != 1 {
			t.Errorf("message %d was called %d times", i, n)
		}
	}
}

// A service that has to be asked for its list tells nothing while it can't be reached, so the cached list counts. Where lists
// are pushed it does not: TestNoCallsByTheCachedListWhileTheAgentIsSilent.
func TestStartsWithCachedListWithoutDiscovery(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	w.endpoint("e", 1, "hooks", respond(200))
	w.cacheList()
	w.update(func() { w.blockWatch = true })
	text := strings.Replace(string(w.config()), `"tick":5000`, `"tick":5000,"membership-mode":"subscribe"`, 1)
	cfg, err := ParseConfig([]byte(text), w.env)
	must(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go Run(ctx, cfg, nil, discardLog())
	w.awaitReady()
	w.submit("unsafe", "u", 1)
	w.awaitCalls("u", 1)
	w.awaitEmpty()
}

func TestConfig(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	cfg, err := ParseConfig(w.config(), w.env)
	must(t, err)
	s := cfg.Settings
	if s.Slots != 8 || s.Kinds[0].Batch != 10 || s.Classes[2].Effect != control.SingleShot || s.Tenants[1].Name != "docs" ||
		s.TipMultiple != 2 || !s.MayCancel || s.Classes[0].Deadline != 60*control.Second || cfg.Zones[1] != "west" {
		t.Errorf("settings %+v", s)
	}
	for from, want := range map[string]string{
		`"disk_mb":1`: "disk_mb", `"tick":5000`: "tick", `"effect":"free"`: "classes.1.effect", `"seed":"8c`: "seed",
	} {
		text := strings.Replace(string(w.config()), from, strings.Replace(from, ":", `:"?" ,"was":`, 1), 1)
		if _, err := ParseConfig([]byte(text), w.env); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v", from, err)
		}
	}
	if _, err := ParseConfig(w.config(), func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "EDGE_STATE") {
		t.Errorf("error %v", err)
	}
}

// With few descriptors each use still gets some, and the slots are reduced to the calls that remain possible.
func TestDescriptorsAreDivided(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ sockets, slots int }{{256, 30}, {256, 250}, {24, 8}, {16, 1000}} {
		cfg := &Config{Sockets: c.sockets, Memory: 32 << 20}
		cfg.Settings.Slots = c.slots
		s := cfg.shareDescriptors()
		if s.clients < 1 || s.calls < 1 || s.clients+s.calls+s.idle > c.sockets-min(reservedFiles, c.sockets/2) ||
			c.sockets == 256 && (s.clients < 256/3 || s.calls < 30) {
			t.Errorf("%d descriptors, %d slots: %+v", c.sockets, c.slots, s)
		}
	}
	w := newTestEnv(t)
	cfg, err := ParseConfig(w.config(), w.env)
	must(t, err)
	cfg.Sockets = 20
	n := New(host.System{}, cfg, discardLog())
	must(t, n.assemble())
	_, err = n.open()
	must(t, err)
	must(t, n.journal.Close())
	if cfg.Settings.Slots != 3 {
		t.Errorf("%d slots with 20 descriptors", cfg.Settings.Slots)
	}
}

// The stop waits for calls that end after the clients have been shut down, so that they leave no message in doubt.
// It does not wait for ever.
func TestStopWaitsForCallsInProgress(t *testing.T) {
	t.Parallel()
	for _, ends := range []bool{true, false} {
		w := newTestEnv(t)
		release := make(chan bool)
		w.endpoint("e", 1, "hooks", func(_ http.ResponseWriter, r *http.Request) {
			select {
			case <-release:
			case <-r.Context().Done():
			}
		})
		cfg, err := ParseConfig(w.config(), w.env)
		must(t, err)
		if cfg.stopSchedule = (stopSchedule{giveUp: time.Second}); ends {
			cfg.stopSchedule.giveUp = testTimeout
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- Run(ctx, cfg, nil, discardLog()) }()
		w.awaitReady()
		w.submit("unsafe", "u", 1)
		w.awaitCalls("u", 1)
		http.DefaultClient.CloseIdleConnections()
		cancel()
		waitFor(t, func() bool {
			c, err := net.Dial("tcp", w.addr)
			if err == nil {
				c.Close()
			}
			return err != nil
		})
		if ends {
			close(release)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
		if left := len(w.journalled()); (left == 0) != ends {
			t.Errorf("the call ended: %v, %d messages are left", ends, left)
		}
	}
}
