package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"curlewmux/engine"
	"curlewmux/internal/journal"
	"curlewmux/ledger"
	"curlewmux/membership/partnerlist"
)

// settingsJSON are settings with one class of each effect, named after it, and one ordered class.
const settingsJSON = `{"classes":[
 {"effect":"guarded","gain":1,"group":"all","hard-limit":60000000,"late-worth":0.5,"name":"keyed","target":30000000,"window":%d},
 {"effect":"free","gain":2,"group":"all","hard-limit":60000000,"late-worth":0.5,"name":"free","target":30000000,"window":5000000},
 {"effect":"single_shot","gain":5,"group":"all","hard-limit":60000000,"late-worth":0.5,"name":"unsafe","target":30000000,"window":5000000},
 {"by-arrival":true,"effect":"free","gain":1,"group":"all","hard-limit":60000000,"late-worth":0.5,"name":"ordered","target":30000000,"window":5000000}],
 "dcs":["east","west"],"extra":{"batch-by-kind":[10,1],"late":"linear","routes-apart":[false,false],"slots":8},
 "host-types":["archives","hooks"],"instances":2,"me":0,"tick":5000,"zone":1,"weights":"nominal","over-share-worth":0.05,
 "limits":{"conn-idle":5000000,"connect-timeout":1500000,"max-open":%d,"max-retry-after":2000000,"may-cancel":true,
 "most-tries":6,"probes":true,"retry-after":true,"streams-per-conn":8},
 "report":{"names":[],"via":"none"},"rules":{"cold-from":0.19,"overload-for":2000000,"settle-after-doubt":300000,"stop-sending-within":1000000,
 "tip-multiple":2.0,"warm-up":10000000},
 "tenants":[{"fraction":0.6,"name":"core","quota-per-s":1000},{"fraction":0.4,"name":"docs","quota-per-s":1000}]}`

// testEnv is the environment of a dispatcher on loopback sockets: the discovery agent, endpoints and clients.
type testEnv struct {
	operatorText string // text of the operator's file, "" for none
	t            *testing.T
	agent        *httptest.Server
	agentAddr    string // address of the agent, or of a proxy before it
	addr         string // address that the dispatcher listens on
	dir          string // state folder of the dispatcher
	window       int    // of the keyed class, in microseconds
	maxOpen      int
	diskMB       float64
	memoryMB     int

	mu            sync.Mutex
	revision      int64
	entries       map[string]partnerlist.Entry
	changes       []partnerlist.Entry // all changes; their number is the revision
	changed       chan struct{}
	blockWatch    bool              // requests for the list get no response
	known         *partnerlist.List // the list that the configuration holds, nil for none
	rejectNotices bool              // notices are answered 500
	rejected      int               // number of requests with notices that were answered 500
	notices       map[string][]string
	calls         map[string]int // number of calls by message id
	extraEnv      []string       // variables added to the program's environment
	faultyDir     *faultyDir     // wraps dir for a dispatcher in this process
	stderr        *os.File       // stderr of the program
}

var testEnvs atomic.Int32

func newTestEnv(t *testing.T) *testEnv {
	// Each environment has its own loopback address, so that no other process takes the port while the dispatcher is down.
	n := testEnvs.Add(1)
	addr := fmt.Sprintf("127.%d.%d.%d:9000", 1+os.Getpid()%200, n/250, 1+n%250)
	w := &testEnv{
		t: t, addr: addr, dir: t.TempDir(), window: 60_000_000, maxOpen: 50, diskMB: 1, memoryMB: 192,
		entries: map[string]partnerlist.Entry{}, changed: make(chan struct{}), notices: map[string][]string{}, calls: map[string]int{},
	}
	w.agent = httptest.NewServer(http.HandlerFunc(w.discovery))
	w.agentAddr = w.agent.Listener.Addr().String()
	t.Cleanup(func() {
		w.agent.CloseClientConnections()
		w.agent.Close()
	})
	return w
}

// discovery serves the endpoint list and accepts notices.
func (w *testEnv) discovery(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/reports" {
		text, err := io.ReadAll(r.Body)
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.rejectNotices || err != nil {
			w.rejected++
			rw.WriteHeader(500)
			return
		}
		for line := range strings.Lines(string(text)) {
			var n struct{ ID, Status string }
			if json.Unmarshal([]byte(line), &n) != nil {
				rw.WriteHeader(400)
				return
			}
			w.notices[n.ID] = append(w.notices[n.ID], n.Status)
		}
		rw.WriteHeader(204)
		return
	}
	after, wait := int64(-1), 0
	fmt.Sscan(r.URL.Query().Get("after"), &after)
	fmt.Sscan(r.URL.Query().Get("wait_ms"), &wait)
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for {
		w.mu.Lock()
		now, changed, mute := w.revision, w.changed, w.blockWatch
		out := partnerlist.List{Revision: now, Complete: after < 0}
		if after < 0 {
			for _, m := range w.entries {
				out.Entries = append(out.Entries, m)
			}
		} else if after < now {
			out.Entries = append(out.Entries, w.changes[after:]...)
		}
		w.mu.Unlock()
		if !mute && (after < now || wait == 0) {
			json.NewEncoder(rw).Encode(out)
			return
		}
		select {
		case <-changed:
		case <-limit:
			if mute {
				<-r.Context().Done()
				return
			}
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// setEntry changes an entry of the endpoint list.
func (w *testEnv) setEntry(m partnerlist.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision++
	w.changes = append(w.changes, m)
	w.entries[m.ID] = m
	if m.Phase == "left" {
		delete(w.entries, m.ID)
	}
	w.wake()
}

// cacheList puts the endpoint list as it is now into the configuration of later starts.
func (w *testEnv) cacheList() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.known = &partnerlist.List{Revision: w.revision, Complete: true, Entries: slices.Collect(maps.Values(w.entries))}
}

// wake wakes the requests that wait for a change. The caller holds w.mu.
func (w *testEnv) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// update changes the environment's own behaviour under its lock.
func (w *testEnv) update(do func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	do()
	w.wake()
}

// listDestinations lists destinations by a draining endpoint only, so that messages for them are accepted and wait.
func (w *testEnv) listDestinations(dests ...int) {
	for _, dest := range dests {
		w.setEntry(partnerlist.Entry{ID: fmt.Sprint("old", dest), HostPort: "127.0.0.1:1", Locality: "west", Flavor: "hooks", Cell: dest, Phase: "leaving"})
	}
}

// endpoint starts an endpoint of a destination and lists it. It counts the calls it reads and then runs do.
func (w *testEnv) endpoint(id string, dest int, flavor string, do http.HandlerFunc) partnerlist.Entry {
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.mu.Lock()
		for _, id := range idsOf(r, body) {
			w.calls[id]++
		}
		w.mu.Unlock()
		r.Body = io.NopCloser(bytes.NewReader(body))
		do(rw, r)
	}))
	w.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	m := partnerlist.Entry{ID: id, HostPort: s.Listener.Addr().String(), Locality: "west", Flavor: flavor, Cell: dest, Phase: "active", Size: 1000}
	w.setEntry(m)
	return m
}

// idsOf returns the ids of the messages in a call.
func idsOf(r *http.Request, body []byte) (ids []string) {
	if id := r.Header.Get("X-Trace-Id"); id != "" {
		return []string{id}
	}
	var list []struct{ ID string }
	if json.Unmarshal(body, &list) == nil {
		for _, l := range list {
			ids = append(ids, l.ID)
		}
	}
	return ids
}

// respond gives each call the same status. A 200 to a batch says that all of its messages are delivered.
func respond(code int) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		rw.WriteHeader(code)
		if code != http.StatusOK || !strings.HasSuffix(r.URL.Path, ":batch") {
			return
		}
		type state struct {
			ID    string `json:"id"`
			State string `json:"state"`
		}
		body, _ := io.ReadAll(r.Body)
		var list []state
		for _, id := range idsOf(r, body) {
			list = append(list, state{id, "delivered"})
		}
		json.NewEncoder(rw).Encode(list)
	}
}

// hang never responds; it keeps a call until its connection ends.
func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func (w *testEnv) config() []byte {
	known, err := json.Marshal(w.known)
	must(w.t, err)
	return fmt.Appendf(nil, `{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":1.0,"memory_mb":%d,"sockets":256,"disk_mb":%g},"known":%s,"settings":%s}`,
		w.addr, w.agentAddr, w.memoryMB, w.diskMB, known, fmt.Sprintf(settingsJSON, w.window, w.maxOpen))
}

func (w *testEnv) env(name string) string {
	if name == "EDGE_STATE" {
		return w.dir
	}
	return ""
}

// start runs a dispatcher in this process. stop ends it as SIGTERM does and waits.
func (w *testEnv) start() (stop func() error) {
	w.t.Helper()
	w.listDestinations(1, 2, 3, 4)
	cfg, err := ParseConfig(w.config(), w.env)
	must(w.t, err)
	return w.runWith(cfg)
}

// runWith is like start, with a configuration that has been read.
func (w *testEnv) runWith(cfg *Config) (stop func() error) {
	w.t.Helper()
	ctx, cancel := context.WithCancel(w.t.Context())
	done := make(chan error, 1)
	go func() { done <- Run(ctx, cfg, nil, discardLog()) }()
	w.t.Cleanup(cancel)
	w.awaitReady()
	return func() error {
		cancel()
		return <-done
	}
}

// spawn starts the real program.
func (w *testEnv) spawn() *exec.Cmd {
	w.t.Helper()
	w.listDestinations(1, 2, 3, 4)
	path := filepath.Join(w.t.TempDir(), "config.json")
	must(w.t, os.WriteFile(path, w.config(), 0o600))
	cmd := exec.Command(program)
	if w.operatorText != "" {
		file := filepath.Join(w.t.TempDir(), "operator.toml")
		must(w.t, os.WriteFile(file, []byte(w.operatorText), 0o600))
		cmd.Args = append(cmd.Args, "--operator", file)
	}
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+path, "EDGE_STATE="+w.dir)
	cmd.Env = append(cmd.Env, w.extraEnv...)
	switch {
	case w.stderr != nil:
		cmd.Stderr = w.stderr
	case testing.Verbose():
		cmd.Stderr = os.Stderr
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(w.t, cmd.Start())
	w.t.Cleanup(func() {
		if cmd.ProcessState == nil {
			cmd.Process.Kill()
			cmd.Wait()
		}
	})
	w.awaitReady()
	return cmd
}

func (w *testEnv) kill(cmd *exec.Cmd) {
	w.t.Helper()
	must(w.t, cmd.Process.Kill())
	cmd.Wait() // the error only reports the signal
}

func (w *testEnv) awaitReady() {
	w.t.Helper()
	waitFor(w.t, func() bool {
		res, err := http.Get("http://" + w.addr + "/-/ready")
		if err != nil {
			return false
		}
		defer res.Body.Close()
		return res.StatusCode == 200
	})
}

// request returns the request by which a client submits a message.
func (w *testEnv) request(class, id string, dest int) *http.Request {
	r, err := http.NewRequest("POST", "http://"+w.addr+"/"+class, strings.NewReader("body of "+id))
	must(w.t, err)
	for k, v := range map[string]string{
		"X-Trace-Id": id, "X-Qos": class, "X-Customer": "core", "X-Expires-In-Ms": "60000",
		"Idempotency-Key": "key-" + id, "Envelope": fmt.Sprint("dest=", dest),
	} {
		r.Header.Set(k, v)
	}
	return r
}

func (w *testEnv) do(r *http.Request) (int, http.Header, string) {
	w.t.Helper()
	res, err := http.DefaultClient.Do(r)
	must(w.t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	must(w.t, err)
	return res.StatusCode, res.Header, string(body)
}

// submit submits a message that must be accepted.
func (w *testEnv) submit(class, id string, dest int) {
	w.t.Helper()
	if code, _, why := w.do(w.request(class, id, dest)); code != 202 {
		w.t.Fatalf("message %s: %d %s", id, code, why)
	}
}

func (w *testEnv) called(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls[id]
}

func (w *testEnv) awaitCalls(id string, n int) {
	w.t.Helper()
	waitFor(w.t, func() bool { return w.called(id) >= n })
}

func (w *testEnv) awaitNotice(id, want string) {
	w.t.Helper()
	var got []string
	waitFor(w.t, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		got = w.notices[id]
		return len(got) > 0
	})
	if got[0] != want {
		w.t.Errorf("notice of %s: %s, want %s", id, got[0], want)
	}
}

// awaitEmpty waits until the journal holds no open message and no pending notice.
func (w *testEnv) awaitEmpty() {
	w.t.Helper()
	waitFor(w.t, func() bool { return len(w.journalled()) == 0 })
}

// leaves returns the ledger's accounts in the state folder, which a process may be writing to.
func (w *testEnv) leaves() []ledger.Leaf {
	r, err := journal.Check(journal.OSDir(w.dir))
	must(w.t, err)
	return r.Leaves
}

// journalled returns the journaled messages by id. It reads a copy, because the dispatcher has locked the folder.
func (w *testEnv) journalled() map[string]*engine.RestoredMessage {
	w.t.Helper()
	dir, err := os.MkdirTemp("", "copy")
	must(w.t, err)
	defer os.RemoveAll(dir)
	waitFor(w.t, func() bool { return copyFolder(w.dir, dir) })
	j, state, err := journal.Open(journal.OSDir(dir), journal.Settings{Disk: 100e6, Owner: "n0", Random: rand.Uint64})
	must(w.t, err)
	must(w.t, j.Close())
	out := map[string]*engine.RestoredMessage{}
	for _, m := range state.Live {
		out[m.Message.ID] = m
	}
	return out
}

// copyFolder copies a journal's files. It returns false if a file was added or removed meanwhile, because records may
// have moved between files.
func copyFolder(from, to string) bool {
	names := func() (out []string) {
		files, err := os.ReadDir(from)
		if err != nil {
			return nil
		}
		for _, f := range files {
			if f.Type().IsRegular() { // skip the operators' socket
				out = append(out, f.Name())
			}
		}
		return out
	}
	before := names()
	old, _ := os.ReadDir(to)
	for _, f := range old {
		os.Remove(filepath.Join(to, f.Name()))
	}
	for _, name := range before {
		text, err := os.ReadFile(filepath.Join(from, name))
		if err != nil || os.WriteFile(filepath.Join(to, name), text, 0o600) != nil {
			return false
		}
	}
	return before != nil && slices.Equal(before, names())
}

// program is the path of the real program, built once for all tests.
var program string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "curlewmux")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(dir)
		program = filepath.Join(dir, "curlewmux")
		if out, err := exec.Command("go", "build", "-o", program, "../../cmd/curlewmux").CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "building the program: %v\n%s", err, out)
			return 1
		}
		return m.Run()
	}())
}
