package endpointslice

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"curlewmux/internal/standin/kubeapi"
	"curlewmux/membership"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testEnv is a stand-in API server, a source that reads from it and a table that the source reports to.
type testEnv struct {
	*testing.T
	api *kubeapi.Server
	src *Source

	mu        sync.Mutex
	table     *membership.Table
	kinds     []membership.UpdateKind
	history   map[string][]membership.Phase // phases of each endpoint, as reported by the table
	blockTell chan struct{}                 // if set, tell blocks until it is closed
}

var labels = map[string]string{"kubernetes.io/service-name": "archive"}

func newTestEnv(t *testing.T, o kubeapi.Options) *testEnv {
	t.Helper()
	api, err := kubeapi.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(api.Stop)
	w := &testEnv{T: t, api: api, history: map[string][]membership.Phase{}}
	w.table, err = membership.New(membership.Settings{Sources: []string{"endpointslice/archive"}})
	if err != nil {
		t.Fatal(err)
	}
	token := ""
	if len(o.Tokens) > 0 {
		token = o.Tokens[0]
	}
	w.src = w.source(Access{Server: api.URL(), CA: api.CA(), Token: token})
	return w
}

// source creates a source with short pauses.
func (w *testEnv) source(a Access) *Source {
	w.Helper()
	c, err := NewClient(a)
	if err != nil {
		w.Fatal(err)
	}
	w.Cleanup(c.Close)
	s, err := New(c, partner, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		w.Fatal(err)
	}
	s.timing.MinBackoff, s.timing.MaxBackoff, s.timing.EmptyListRecheck = 5*time.Millisecond, 50*time.Millisecond, 20*time.Millisecond
	return s
}

// run starts the source, which ends with the test.
func (w *testEnv) run() *testEnv {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.src.Run(ctx, w.tell)
	}()
	w.Cleanup(func() {
		cancel()
		<-done
	})
	return w
}

// tell applies an update of the source to the table.
func (w *testEnv) tell(u membership.Update) {
	w.mu.Lock()
	hold := w.blockTell
	w.mu.Unlock()
	if hold != nil {
		<-hold
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	changes, refused, err := w.table.Apply(time.Now(), w.src.Name(), u)
	if err != nil || len(refused) > 0 {
		w.Error(err, refused)
	}
	w.kinds = append(w.kinds, u.Kind)
	for _, e := range changes {
		w.history[e.ID] = append(w.history[e.ID], e.Phase)
	}
}

func (w *testEnv) list() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return show(w.table.List())
}

// await waits until the table has the wanted list, as "id phase" of each endpoint.
func (w *testEnv) await(want string) {
	w.Helper()
	w.until(func() bool { return w.list() == want }, func() string { return fmt.Sprintf("list %q, want %q", w.list(), want) })
}

// until waits until ok returns true. After 10 s it fails with the message what.
func (w *testEnv) until(ok func() bool, what func() string) {
	w.Helper()
	for limit := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			w.Fatal(what())
		}
	}
}

// awaitStats waits until ok returns true for the statistics of the source.
func (w *testEnv) awaitStats(ok func(Stats) bool) {
	w.Helper()
	w.until(func() bool { return ok(w.src.Stats()) }, func() string { return fmt.Sprintf("stats %+v", w.src.Stats()) })
}

// put writes a slice with pods as "uid@host", "uid@host n" (not ready) or "uid@host t" (terminating).
func (w *testEnv) put(name string, pods ...string) {
	w.api.Put(apiSlice(name, pods...))
}

// apiSlice returns a slice of the partner with pods as put takes them.
func apiSlice(name string, pods ...string) kubeapi.EndpointSlice {
	s := kubeapi.EndpointSlice{
		Namespace: "partners", Name: name, Labels: labels, AddressType: "IPv4",
		Ports: []kubeapi.Port{{Name: "http", Port: 80, Protocol: "TCP"}},
	}
	for _, p := range pods {
		who, flags, _ := strings.Cut(p, " ")
		uid, host, _ := strings.Cut(who, "@")
		s.Endpoints = append(s.Endpoints, kubeapi.Pod(uid, host, "east", flags != "n", flags == "t"))
	}
	return s
}

func TestListAndWatch(t *testing.T) {
	t.Parallel()
	for _, noStreaming := range []bool{false, true} {
		t.Run(fmt.Sprintf("noStreaming %v", noStreaming), func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t, kubeapi.Options{NoStreaming: noStreaming, TLS: !noStreaming})
			w.put("a", "u1@10.0.0.1", "u2@10.0.0.2 n")
			other := apiSlice("other", "x@10.9.9.9")
			other.Labels = map[string]string{"kubernetes.io/service-name": "mirror"}
			w.api.Put(other)
			w.run().await("u1 active, u2 leaving")
			w.put("a", "u1@10.0.0.1 t", "u2@10.0.0.2")
			w.put("b", "u3@10.0.0.3")
			w.await("u1 leaving, u2 active, u3 active")
			w.api.Delete("partners", "b")
			w.await("u1 leaving, u2 active")
			if got := w.api.Requests("list") > 0; got != noStreaming {
				t.Errorf("pages were read: %v, want the opposite", got)
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			if !w.table.Complete() {
				t.Error("no full list was reported")
			}
		})
	}
}

func TestAllPagesOfListAreRead(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, kubeapi.Options{NoStreaming: true})
	for i := range 2*pageSize + 1 {
		w.put(fmt.Sprintf("s%04d", i), fmt.Sprintf("u%04d@10.0.%d.%d", i, i/250, i%250))
	}
	w.run().awaitStats(func(s Stats) bool { return s.Lists == 1 && s.Named == 2*pageSize+1 })
	if n := w.api.Requests("list"); n != 3 {
		t.Errorf("%d pages were read, want 3", n)
	}
}

func TestExpiredPageFallsBackToSingleRequest(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, kubeapi.Options{NoStreaming: true})
	for i := range pageSize + 1 {
		w.put(fmt.Sprintf("s%04d", i), fmt.Sprintf("u%04d@10.0.%d.%d", i, i/250, i%250))
	}
	first := w.src.query()
	first.Set("limit", fmt.Sprint(pageSize))
	p, err := w.src.fetchPage(t.Context(), first, func(*object, int) {})
	if err != nil || p.continueToken == "" {
		t.Fatal(err, p)
	}
	w.put("s0000", "u0000@10.0.0.0 t")
	w.api.Compact()
	first.Set("continue", p.continueToken)
	if _, err := w.src.fetchPage(t.Context(), first, func(*object, int) {}); err == nil || !strings.Contains(err.Error(), "410") {
		t.Fatal(err)
	}
	w.api.Fail(kubeapi.Fault{Verb: "list", Code: 410, Continued: true}) // as if the history were compacted faster than pages can be read
	w.run().awaitStats(func(s Stats) bool { return s.Lists == 1 && s.Named == pageSize+1 && s.Gone == 1 })
}

func TestExpiredVersionCausesNewList(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, kubeapi.Options{})
	w.put("a", "u1@10.0.0.1", "u2@10.0.0.2")
	w.put("b", "u3@10.0.0.3")
	w.run().await("u1 active, u2 active, u3 active")
	w.api.Mute()
	w.put("a", "u1@10.0.0.1 t", "u2@10.0.0.2")
	w.api.Delete("partners", "b")
	w.api.Compact()
	w.api.Heal()
	w.await("u1 leaving, u2 active")
	w.awaitStats(func(s Stats) bool { return s.Gone == 1 && s.Lists == 2 && s.Failures == 0 })
	w.mu.Lock()
	defer w.mu.Unlock()
	if h := w.history["7/u2"]; len(h) != 1 {
		t.Errorf("phases of u2: %v, want one", h)
	}
}

func TestBookmarkAdvancesResourceVersion(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, kubeapi.Options{Bookmarks: 5 * time.Millisecond})
	w.put("a", "u1@10.0.0.1")
	w.run().await("u1 active")
	for i := range 20 {
		other := apiSlice("other", fmt.Sprintf("x%d@10.9.9.9", i))
		other.Labels = nil
		w.api.Put(other)
	}
	// The history now starts at the version of the last bookmark, so the watch can resume only from there.
	want := fmt.Sprint(w.api.Version())
	w.awaitStats(func(s Stats) bool { return s.Version == want })
	w.api.Compact()
	w.api.CutWatches(false)
	w.put("a", "u1@10.0.0.1 t")
	w.await("u1 leaving")
	if st := w.src.Stats(); st.Gone != 0 || st.Lists != 1 {
		t.Errorf("the watch did not resume: %+v", st)
	}
}

func TestBrokenWatchResumes(t *testing.T) {
	t.Parallel()
	for _, half := range []bool{false, true} {
		w := newTestEnv(t, kubeapi.Options{})
		w.put("a", "u1@10.0.0.1")
		w.run().await("u1 active")
		w.api.CutWatches(half)
		w.put("a", "u1@10.0.0.1", "u2@10.0.0.2")
		w.await("u1 active, u2 active")
		w.awaitStats(func(s Stats) bool { return s.Failures >= 1 && s.Lists == 1 })
		w.mu.Lock()
		for id, h := range w.history {
			if len(h) != 1 {
				t.Errorf("phases of %s: %v, want one", id, h)
			}
		}
		w.mu.Unlock()
	}
}

func TestEventInFragmentsIsRead(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, kubeapi.Options{})
	w.put("a", "u1@10.0.0.1")
	w.run().await("u1 active")
	w.api.Chop(60, time.Millisecond)
	w.put("a", "u1@10.0.0.1 t")
	w.await("u1 leaving")
}

func TestIdleWatchIsRestarted(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, kubeapi.Options{})
	w.src.timing.WatchIdleTimeout = 100 * time.Millisecond
	w.put("a", "u1@10.0.0.1")
	w.run().await("u1 active")
	w.api.Mute()
	w.put("a", "u1@10.0.0.1 t")
	w.awaitStats(func(s Stats) bool { return s.Silent >= 2 })
	if got := w.list(); got != "u1 active" {
		t.Fatal(got)
	}
	w.api.Heal()
	w.await("u1 leaving")
}

func TestStalledStreamingListFallsBackToPages(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, kubeapi.Options{})
	w.src.timing.InitialListIdleTimeout = 50 * time.Millisecond
	w.put("a", "u1@10.0.0.1")
	w.api.Chop(1, time.Second) // at one byte a second the first event takes minutes
	w.run().await("u1 active")
	if w.api.Requests("list") == 0 {
		t.Error("no page was read")
	}
	w.api.Heal()
}

func TestReconnectAfterAPIServerRestart(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, kubeapi.Options{TLS: true})
	w.put("a", "u1@10.0.0.1", "u2@10.0.0.2")
	w.run().await("u1 active, u2 active")
	w.api.Stop()
	w.awaitStats(func(s Stats) bool { return s.Failures >= 3 })
	if got := w.list(); got != "u1 active, u2 active" {
		t.Fatal("the endpoints changed while the API server was down:", got)
	}
	w.put("a", "u1@10.0.0.1 t", "u2@10.0.0.2")
	if err := w.api.Resume(); err != nil {
		t.Fatal(err)
	}
	w.await("u1 leaving, u2 active")
	w.until(func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.table.Sources()[0].Failed.IsZero()
	}, func() string { return "the source still counts as failing" })
}

func TestNewListAfterServerRestore(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, kubeapi.Options{})
	w.put("a", "u1@10.0.0.1", "u2@10.0.0.2")
	old := w.api.Version()
	w.run().await("u1 active, u2 active")
	for range 50 {
		w.put("a", "u1@10.0.0.1", "u2@10.0.0.2 t")
	}
	newest := fmt.Sprint(w.api.Version())
	w.awaitStats(func(s Stats) bool { return s.Version == newest }) // versions that have grown beyond the last known one can't be detected
	w.await("u1 active, u2 leaving")
	w.api.Stop()
	w.api.SetBack(old)
	w.put("b", "u3@10.0.0.3") // gets a version that the source has seen before
	if err := w.api.Resume(); err != nil {
		t.Fatal(err)
	}
	w.await("u1 active, u2 leaving, u3 active") // u2 was terminating and stays Leaving
	w.awaitStats(func(s Stats) bool { return s.SetBack == 1 })
}

func TestOlderVersionOnOpenWatchIsDetected(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, kubeapi.Options{Bookmarks: 5 * time.Millisecond})
	w.put("a", "u1@10.0.0.1")
	old := w.api.Version()
	w.run().await("u1 active")
	for range 50 {
		w.put("b", "u2@10.0.0.2")
	}
	w.await("u1 active, u2 active")
	w.api.SetBack(old) // causes no event, but bookmarks have the older version
	w.await("u1 active")
	w.awaitStats(func(s Stats) bool { return s.SetBack == 1 })
}

func TestErrorResponseKeepsEndpointsUntilRecovery(t *testing.T) {
	t.Parallel()
	for _, code := range []int{401, 403, 429, 500} {
		t.Run(fmt.Sprint(code), func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t, kubeapi.Options{Tokens: []string{"t1"}})
			w.put("a", "u1@10.0.0.1")
			w.run().await("u1 active")
			w.api.Fail(kubeapi.Fault{Code: code})
			w.api.CutWatches(false)
			w.awaitStats(func(s Stats) bool { return s.Failures >= 4 && (s.Denied > 0) == (code < 429) })
			w.put("a", "u1@10.0.0.1", "u2@10.0.0.2")
			if got := w.list(); got != "u1 active" {
				t.Fatal(got)
			}
			w.mu.Lock()
			failed := w.table.Sources()[0]
			w.mu.Unlock()
			if failed.Failed.IsZero() || !strings.Contains(failed.Err, fmt.Sprint(code)) {
				t.Errorf("state of the source: %+v", failed)
			}
			w.api.Heal()
			w.await("u1 active, u2 active")
		})
	}
}

func TestErrorEventsOnAWatch(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, kubeapi.Options{})
	w.put("a", "u1@10.0.0.1")
	w.run().await("u1 active")
	w.api.Fail(kubeapi.Fault{Verb: "watch", Code: 500, Event: true, Times: 2})
	w.api.CutWatches(false)
	w.put("a", "u1@10.0.0.1 t")
	w.await("u1 leaving")
	w.api.Fail(kubeapi.Fault{Verb: "watch", Code: 410, Event: true, Times: 1})
	w.api.CutWatches(false)
	w.put("a", "u2@10.0.0.2")
	w.await("u2 active")
	w.awaitStats(func(s Stats) bool { return s.Gone == 1 && s.Lists >= 2 })
}

func TestRetryAfterIsHonoured(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, kubeapi.Options{})
	w.api.Fail(kubeapi.Fault{Code: 429, RetryAfter: 1, Times: 1})
	w.put("a", "u1@10.0.0.1")
	began := time.Now()
	w.run().await("u1 active")
	if d := time.Since(began); d < time.Second {
		t.Errorf("retried after only %v", d)
	}
}

func TestRotatedCredentialsAreReloaded(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, kubeapi.Options{TLS: true, Tokens: []string{"t1"}})
	dir := t.TempDir()
	token, ca := filepath.Join(dir, "token"), filepath.Join(dir, "ca.crt")
	for path, text := range map[string][]byte{token: []byte("t1\n"), ca: w.api.CA(), filepath.Join(dir, "namespace"): []byte("partners")} {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	host := strings.Split(strings.TrimPrefix(w.api.URL(), "https://"), ":")
	env := map[string]string{"KUBERNETES_SERVICE_HOST": host[0], "KUBERNETES_SERVICE_PORT": host[1]}
	a, err := inCluster(func(k string) string { return env[k] }, dir)
	if err != nil || a.Namespace != "partners" {
		t.Fatal(err, a)
	}
	w.src = w.source(a)
	w.put("a", "u1@10.0.0.1")
	w.run().await("u1 active")
	w.api.SetTokens("t2")
	w.api.CutWatches(false)
	w.awaitStats(func(s Stats) bool { return s.Denied >= 1 })
	if err := os.WriteFile(token, []byte("t2\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	w.put("a", "u1@10.0.0.1 t")
	w.await("u1 leaving")
	if err := w.api.RotateCA(); err != nil {
		t.Fatal(err)
	}
	failures := w.src.Stats().Failures
	w.awaitStats(func(s Stats) bool { return s.Failures > failures })
	if err := os.WriteFile(ca, w.api.CA(), 0o600); err != nil {
		t.Fatal(err)
	}
	w.put("a", "u2@10.0.0.2")
	w.await("u2 active")
}

func TestMalformedListIsAnError(t *testing.T) {
	t.Parallel()
	for _, body := range []string{
		`{}`, `null`, `[]`, ``, `{"kind":"Status","status":"Failure","code":500}`,
		`{"kind":"EndpointSliceList","metadata":{"resourceVersion":"1"}}`, `{"kind":"EndpointSliceList","metadata":{},"items":[]}`,
		`{"kind":"EndpointSliceList","metadata":{"resourceVersion":"1"},"items":[`,
		`{"kind":"EndpointSliceList","metadata":{"resourceVersion":"1"},"items":{}}`,
		`{"kind":"PodList","metadata":{"resourceVersion":"1"},"items":[]}`,
	} {
		if _, err := readPage(strings.NewReader(body), func(*object, int) {}); err == nil {
			t.Errorf("%q was accepted as a list", body)
		}
	}
	p, err := readPage(strings.NewReader(`{"kind":"EndpointSliceList","metadata":{"resourceVersion":"1"},"items":null}`), nil)
	if err != nil || p.version != "1" {
		t.Error(err, p)
	}
}

func TestEmptyListIsReadAgain(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, kubeapi.Options{})
	w.put("a", "u1@10.0.0.1")
	w.run().await("u1 active")
	w.api.Blind(true)
	w.api.Compact()
	w.api.CutWatches(false)
	w.put("b") // makes the version of the watch expire
	w.api.Compact()
	w.await("u1 leaving")
	w.awaitStats(func(s Stats) bool { return s.Emptied == 1 && s.Lists >= 4 })
	w.api.Blind(false) // the server sends no event for this
	w.await("u1 active")
	w.mu.Lock()
	defer w.mu.Unlock()
	if h := w.history["7/u1"]; len(h) != 3 {
		t.Errorf("phases of u1: %v, want three", h)
	}
}

func TestUnreadableSliceDoesNotAffectOthers(t *testing.T) {
	t.Parallel()
	for _, noStreaming := range []bool{false, true} {
		w := newTestEnv(t, kubeapi.Options{NoStreaming: noStreaming})
		w.put("a", "u1@10.0.0.1")
		w.api.PutRaw("partners", "b", labels, `"addressType":"IPv4","endpoints":"none","ports":[]`)
		w.api.PutRaw("partners", "c", labels, `"addressType":"FQDN","endpoints":[{"addresses":["a.example"]}],"ports":[{"name":"http","port":80}]`)
		w.api.PutRaw("partners", "d", labels, `"addressType":"IPv4","endpoints":[{"addresses":[7]},{"addresses":["10.0.0.4"],"targetRef":{"uid":"u4"}}],"ports":[{"name":"http","port":80}]`)
		w.api.PutRaw("partners", "e", labels, `"addressType":"IPv4","endpoints":[{"addresses":["10.0.0.5"]}],"x":`+strings.Repeat("[", 300)+strings.Repeat("]", 300))
		w.put("f", "u6@10.0.0.6")
		w.run().await("u1 active, u4 active, u6 active")
		w.api.PutRaw("partners", "a", labels, `"x":"`+strings.Repeat("y", maxObjectBytes)+`"`)
		w.put("f", "u7@10.0.0.7")
		w.await("u1 active, u4 active, u7 active")
		w.awaitStats(func(s Stats) bool { return s.Unreadable >= 4 && s.Failures == 0 })
	}
}

func TestBusyReceiverGetsOnlyNewestState(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, kubeapi.Options{})
	w.put("a", "u1@10.0.0.1")
	w.run().await("u1 active")
	hold := make(chan struct{})
	w.mu.Lock()
	w.blockTell = hold
	w.mu.Unlock()
	const n = 2000
	for i := range n {
		w.put("b", fmt.Sprintf("v%d@10.0.1.1", i), "w@10.0.1.2")
	}
	w.put("a", "u1@10.0.0.1 t")
	w.awaitStats(func(s Stats) bool { return s.Events == n+2 })
	w.src.mu.Lock()
	waiting := len(w.src.set.changed)
	w.src.mu.Unlock()
	if waiting > 10 {
		t.Errorf("%d changes are waiting, want 10 at most", waiting)
	}
	w.mu.Lock()
	w.blockTell = nil
	w.mu.Unlock()
	close(hold)
	w.await(fmt.Sprintf("u1 leaving, v%d active, w active", n-1))
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.history) > 10 {
		t.Errorf("%d endpoints were reported, want 10 at most", len(w.history))
	}
}

func TestTenThousandEndpoints(t *testing.T) {
	t.Parallel()
	for _, noStreaming := range []bool{false, true} {
		w := newTestEnv(t, kubeapi.Options{NoStreaming: noStreaming})
		pods := func(slice int) (all []string) {
			for i := range 1000 {
				all = append(all, fmt.Sprintf("u%d-%d@10.%d.%d.%d", slice, i, slice, i/250, i%250))
			}
			return all
		}
		for i := range 10 {
			w.put(fmt.Sprint("s", i), pods(i)...)
		}
		w.run().awaitStats(func(s Stats) bool { return s.Lists == 1 && s.Named == 10_000 && s.Refused == 0 })
		last := pods(3)
		last[500] += " t"
		w.put("s3", last...)
		w.until(func() bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			e, _ := w.table.Get("7/u3-500")
			return e.Phase == membership.Leaving
		}, func() string { return "the terminating pod is not leaving" })
		w.mu.Lock()
		if n := len(w.table.List()); n != 10_000 || len(w.history["7/u3-499"]) != 1 {
			t.Errorf("%d endpoints, want 10,000; phases of one that did not change: %v, want one", n, w.history["7/u3-499"])
		}
		w.mu.Unlock()
	}
}

// A redirect must not be followed, since the token would go to another server.
func TestRedirectIsNotFollowed(t *testing.T) {
	t.Parallel()
	got := make(chan string, 10)
	target := httpServer(t, func(rw http.ResponseWriter, r *http.Request) { got <- r.Header.Get("Authorization") })
	from := httpServer(t, func(rw http.ResponseWriter, r *http.Request) { http.Redirect(rw, r, target, http.StatusFound) })
	c, err := NewClient(Access{Server: from, Token: "secret"})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.get(newRequest(t.Context()), "/", nil); err == nil || !strings.Contains(err.Error(), "302") {
		t.Error(err)
	}
	if len(got) > 0 {
		t.Error("the redirect was followed")
	}
}

func TestLinesAreBounded(t *testing.T) {
	t.Parallel()
	long := strings.Repeat("x", 100_000)
	in := lineReader{r: strings.NewReader("a\n" + long + "\nb\n\nc" + long + "\n" + "d\ne"), maxBytes: 50_000}
	var got []string
	for {
		line, err := in.next()
		if err != nil {
			got = append(got, err.Error())
			if err != errTooLong {
				break
			}
			continue
		}
		got = append(got, string(line))
	}
	if s := strings.Join(got, "|"); s != "a|line is too long|b||line is too long|d|unexpected EOF" {
		t.Error(s)
	}
	if cap(in.buf) > 400_000 {
		t.Errorf("the buffer has grown to %d bytes", cap(in.buf))
	}
}

// httpServer starts a server that ends with the test and returns its URL.
func httpServer(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}
