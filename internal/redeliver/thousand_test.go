package redeliver_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"curlewmux/internal/host"
	"curlewmux/internal/standin/archive"
	"curlewmux/internal/standin/discovery"
)

const waitTimeout = 2 * time.Minute

// programs is the folder with the real programs, built once.
var programs string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "curlewmux")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(dir)
		programs = dir
		if out, err := exec.Command("go", "build", "-o", dir+"/", "../../cmd/curlewmux", "../../cmd/curlewctl").CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "building the programs: %v\n%s", err, out)
			return 1
		}
		return m.Run()
	}())
}

const settingsJSON = `{"classes":[
 {"effect":"single_shot","gain":5,"group":"all","hard-limit":800000,"late-worth":0.5,"name":"upload","target":400000,"window":5000000},
 {"effect":"single_shot","gain":5,"group":"all","hard-limit":800000,"late-worth":0.5,"name":"release","target":400000,"window":5000000},
 {"effect":"free","gain":2,"group":"all","hard-limit":800000,"late-worth":0.5,"name":"status","target":400000,"window":5000000}],
 "dcs":["east","west"],"extra":{"batch-by-kind":[1],"late":"linear","routes-apart":[false],"slots":64},
 "host-types":["archives"],"instances":1,"me":0,"tick":5000,"zone":0,"weights":"nominal","over-share-worth":0.05,
 "limits":{"conn-idle":5000000,"connect-timeout":1500000,"max-open":2000,"max-retry-after":2000000,"may-cancel":true,
 "most-tries":6,"probes":true,"retry-after":true,"streams-per-conn":8},
 "report":{"names":[],"via":"none"},"rules":{"cold-from":0.5,"overload-for":100000,"stop-sending-within":1000000,
 "tip-multiple":2.0,"warm-up":200000},"tenants":[{"fraction":1.0,"name":"core","quota-per-s":100000}]}`

// harness runs a real dispatcher against an archive with many destinations, all on loopback.
type harness struct {
	t       *testing.T
	agent   *discovery.Agent
	archive *archive.Server
	addr    string // where the dispatcher listens
	state   string // the dispatcher's state folder
	config  string // path of the dispatcher's settings
	op      string // path of the operator's file
	cmd     *exec.Cmd
	dests   int
	down    []string // addresses of the endpoints that are down at first
	n       int32    // number of this harness, part of its addresses
}

// newHarness starts everything but the dispatcher. Each destination has one endpoint. Destinations numbered up and
// above have theirs down.
func newHarness(t *testing.T, dests, up int) *harness {
	f := &harness{t: t, n: harnessCount.Add(1), archive: &archive.Server{Host: host.System{}}, dests: dests, state: t.TempDir()}
	var err error
	f.agent, err = discovery.Start()
	must(t, err)
	t.Cleanup(func() {
		f.agent.Close()
		f.archive.Close()
	})
	var op strings.Builder
	op.WriteString("[undelivered]\ndisk_share = 0.5\ntrial_s = 0.2\nslots_share = 0.5\n")
	for dest := range dests {
		addr := f.address(dest)
		if dest < up {
			f.serve(addr)
		} else {
			f.down = append(f.down, addr) // connections are refused until it is served
		}
		f.agent.Tell(discovery.Member{ID: fmt.Sprint("e", dest), HostPort: addr, Locality: "east", Flavor: "archives", Cell: dest, Phase: "active", Size: 100_000})
	}
	ask := f.address(dests)
	f.serve(ask)
	for dest := range dests {
		fmt.Fprintf(&op, "[[undelivered.partner]]\ndest = %d\nproof = \"inquiry\"\nsettle_s = 0.8\nremembers_s = 3600\naddress = %q\ntimeout_s = 0.3\n", dest, ask)
	}
	op.WriteString("[[undelivered.rule]]\nname = \"uploads\"\nclasses = [\"upload\"]\nfirst_s = 0.2\nfactor = 1.2\nmost_s = 1\ntries = 100\n")
	f.op = filepath.Join(t.TempDir(), "operator.toml")
	must(t, os.WriteFile(f.op, []byte(op.String()), 0o600))
	f.addr = f.address(dests + 1)
	f.config = filepath.Join(t.TempDir(), "config.json")
	must(t, os.WriteFile(f.config, fmt.Appendf(nil, `{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
		"limits":{"cores":2.0,"memory_mb":192,"sockets":1024,"disk_mb":20},"settings":%s}`, f.addr, f.agent.Addr(), settingsJSON), 0o600))
	return f
}

// address returns an address in this harness's own loopback range, so that no other process can have the port.
func (f *harness) address(n int) string {
	return fmt.Sprintf("127.%d.%d.%d:9000", 1+os.Getpid()%200, 100+f.n, n+1)
}

var harnessCount atomic.Int32

// serve lets the archive accept connections at an address.
func (f *harness) serve(addr string) {
	l, err := net.Listen("tcp", addr)
	must(f.t, err)
	f.t.Cleanup(func() { l.Close() })
	go f.archive.Serve(l)
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// start starts the dispatcher and waits until it is ready.
func (f *harness) start() {
	f.t.Helper()
	f.cmd = exec.Command(filepath.Join(programs, "curlewmux"), "--operator", f.op)
	f.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+f.config, "EDGE_STATE="+f.state)
	if testing.Verbose() {
		f.cmd.Stderr = os.Stderr
	}
	f.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(f.t, f.cmd.Start())
	cmd := f.cmd
	f.t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	f.until("the dispatcher is ready", func() bool {
		res, err := http.Get("http://" + f.addr + "/-/ready")
		if err != nil {
			return false
		}
		res.Body.Close()
		return res.StatusCode == 200
	})
}

// until waits until ok returns true, and ends the test after waitTimeout.
func (f *harness) until(what string, ok func() bool) {
	f.t.Helper()
	for limit := time.Now().Add(waitTimeout); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(limit) {
			out, _ := f.ctl("undelivered", "list", f.state, "--limit", "20")
			f.t.Fatalf("timed out waiting until %s\n%s", what, out)
		}
	}
}

// ctl runs curlewctl and returns what it printed and its exit status.
func (f *harness) ctl(args ...string) (string, int) {
	cmd := exec.Command(filepath.Join(programs, "curlewctl"), args...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		f.t.Error(err)
	}
	return out.String(), cmd.ProcessState.ExitCode()
}

// countEntries counts the open and the ended entries, as listed by curlewctl.
func (f *harness) countEntries() (n int, ended int) {
	out, _ := f.ctl("undelivered", "list", f.state, "--json", "--state=waiting,held,claimed,away,ended,damaged")
	for line := range strings.Lines(out) {
		var l struct{ Entry *struct{ State string } }
		if json.Unmarshal([]byte(line), &l) == nil && l.Entry != nil {
			if l.Entry.State == "ended" {
				ended++
			} else {
				n++
			}
		}
	}
	return n, ended
}

// post submits a message once and returns the status, 0 if there was no response.
func (f *harness) post(class, id, body string, dest int) int {
	r, err := http.NewRequest("POST", "http://"+f.addr+"/"+class, strings.NewReader(body))
	if err != nil {
		return 0
	}
	for k, v := range map[string]string{
		"X-Trace-Id": id, "X-Qos": class, "X-Customer": "core", "X-Expires-In-Ms": "500", "Envelope": fmt.Sprint("dest=", dest),
	} {
		r.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// callScripts returns what the archive does with the first calls of an upload: each outcome that a partner can bring
// about, with and without effect. Late effects occur within half a second.
func callScripts() map[string]archive.Act {
	out := map[string]archive.Act{
		"ok": {}, "over": {Status: 410, NoEffect: true}, "wait": {Status: 429, Wait: 100 * time.Millisecond, NoEffect: true},
		"full": {Status: 503, NoEffect: true}, "moot": {Status: 504, NoEffect: true}, "slow": {Delay: 300 * time.Millisecond},
		"hang, late": {Hang: true, After: 500 * time.Millisecond}, "error, late": {Status: 500, After: 500 * time.Millisecond}, "reset, late": {Drop: true, After: 500 * time.Millisecond},
	}
	for name, a := range map[string]archive.Act{"error": {Status: 500}, "reset": {Drop: true}, "cut-answer": {Raw: "HTTP/1.1 2"}, "hang": {Hang: true}} {
		out[name+", ran"] = a
		a.NoEffect = true
		out[name+", did not run"] = a
	}
	return out
}

// A thousand uploads fail in different ways while the dispatcher is stopped with SIGKILL and SIGTERM. Rules and
// operators resend them, sometimes at the same moment. Each must take effect at the archive exactly once.
func TestAThousandUploads(t *testing.T) {
	t.Parallel()
	const uploads, dests = 1000, 40
	f := newHarness(t, dests, dests-2)
	acts := callScripts()
	names := make([]string, 0, len(acts))
	for name := range acts {
		names = append(names, name)
	}
	rand.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	closed := func(n int) bool { return names[n%len(names)] == "over" }
	var seen sync.Map // number of calls of each upload
	f.archive.Script = func(items []archive.Item, _ bool) archive.Act {
		body := string(items[0].Body)
		var n int
		if _, err := fmt.Sscanf(body, "upload %d", &n); err != nil {
			return archive.Act{}
		}
		c, _ := seen.LoadOrStore(body, new(atomic.Int32))
		if c.(*atomic.Int32).Add(1) > int32(1+n/dests%4/3) { // one or two calls fail
			return archive.Act{}
		}
		return acts[names[n%len(names)]]
	}
	var asked atomic.Int32
	f.archive.Answers = func([]string, string) archive.Lie {
		switch n := asked.Add(1); { // some of the first inquiries hang or fail
		case n > 100:
		case n%10 == 3:
			return archive.Lie{Hang: true}
		case n%10 == 6:
			return archive.Lie{Status: 500}
		}
		return archive.Lie{}
	}
	f.start()

	// Clients submit each upload until it is accepted, and again under a new id if it is refused.
	var clients sync.WaitGroup
	var submissions atomic.Int32
	work := make(chan int)
	unconfirmed := sync.Map{}
	done := make(chan struct{})
	for range 150 {
		clients.Go(func() {
			for n := range work {
				class, body, dest := []string{"upload", "release"}[n/2%2], fmt.Sprintf("upload %d", n), n%dests
				for try := 0; ; try++ {
					id := fmt.Sprintf("u%d.%d", n, try)
					code := 0
					for code != 202 && code != 410 {
						if code = f.post(class, id, body, dest); code == 500 {
							unconfirmed.Store(body, true)
							break
						}
						if code != 202 {
							time.Sleep(20 * time.Millisecond)
						}
					}
					submissions.Add(1)
					if code != 202 || closed(n) || !f.waitDeferred(id, body, done) { // for 410 no result is reported
						break
					}
				}
			}
		})
	}
	clients.Go(func() { // harmless messages for each destination; the dispatcher uses them first for trial calls
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(8 * time.Millisecond):
				f.post("status", fmt.Sprint("s", n), "status", n%dests)
			}
		}
	})
	var restarts sync.WaitGroup
	stop := make(chan struct{})
	restarts.Go(func() { // kills and restarts the dispatcher
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(900 * time.Millisecond):
			}
			if n%4 == 3 {
				f.cmd.Process.Signal(syscall.SIGTERM)
			} else {
				f.cmd.Process.Kill()
			}
			f.cmd.Wait()
			f.start()
		}
	})
	var operators sync.WaitGroup
	for _, who := range []string{"ana", "ben"} { // both repeatedly resend all entries
		operators.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(600 * time.Millisecond):
				}
				f.ctl("undelivered", "resend", f.state, "--all", "--by", who, "--why", "the night's failures", "--json")
			}
		})
	}
	begun := time.Now()
	for n := range uploads {
		work <- n
		if n == uploads/4 { // the two endpoints that are down come back
			for _, addr := range f.down {
				f.serve(addr)
			}
		}
	}
	close(work)
	t.Logf("all uploads submitted after %v", time.Since(begun))
	close(stop)
	restarts.Wait()
	missing := func() (left []string) {
		effects := f.archive.Effects()
		for n := range uploads {
			body := fmt.Sprintf("upload %d", n)
			if _, ok := unconfirmed.Load(body); !ok && !closed(n) && effects[body] == 0 {
				left = append(left, body)
			}
		}
		return left
	}
	f.until("all uploads have taken effect", func() bool { return len(missing()) == 0 })
	t.Logf("all uploads took effect after %v", time.Since(begun))
	close(done)
	clients.Wait()
	operators.Wait()
	f.until("no open entry is left", func() bool { n, _ := f.countEntries(); return n == 0 })
	effects := f.archive.Effects()
	for n := range uploads {
		body := fmt.Sprintf("upload %d", n)
		if effects[body] > 1 {
			t.Errorf("%s (%s) took effect %d times", body, names[n%len(names)], effects[body])
		}
	}
	_, ended := f.countEntries()
	calls, inquiries := f.archive.Counts()
	t.Logf("%d submissions, %d kept and resent, %d calls, %d inquiries", submissions.Load(), ended, calls, inquiries)
	if ended < uploads/5 {
		t.Errorf("only %d of %d uploads were kept, too few for this test", ended, uploads)
	}
}

// waitDeferred waits for the end of an accepted message and reports whether it was returned to its client.
func (f *harness) waitDeferred(id, body string, done <-chan struct{}) bool {
	for {
		if list := f.agent.Of(id); len(list) > 0 {
			return list[0].Status == discovery.Deferred
		}
		if f.archive.Effect(body) > 0 {
			return false
		}
		select {
		case <-done:
			return false
		case <-time.After(30 * time.Millisecond):
		}
	}
}
