package undelivered

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"curlewmux/internal/bench"
	"curlewmux/internal/journal"
	"curlewmux/internal/standin/discovery"
	"curlewmux/internal/standin/partner"
	store "curlewmux/undelivered"
)

const (
	pairs     = 5
	again     = 10_000                 // kept messages that are sent again
	reserve   = 1000                   // of these more for each run
	dests     = 4                      // destinations, and this is what each of them is listed with:
	listed    = 300                    // calls a second
	rate      = dests * listed / 2     // fresh messages a second: half load
	slots     = 32                     // of the dispatcher
	service   = 15 * time.Millisecond  // what a call takes at a partner
	settle    = 500 * time.Millisecond // of a run, which is not measured
	measured  = 1800 * time.Millisecond
	freshAims = "<= 1.25"
)

// fresh measures what fresh messages' p99, from the hand-in to the partner, loses while kept ones are sent again: pairs of
// runs of the real program, one with 10,000 kept and one with none, in turns.
func fresh(ctx context.Context, root string, progress io.Writer, r *bench.Report) error {
	program := filepath.Join(root, "curlewmux")
	top, err := exec.CommandContext(ctx, "go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		return fmt.Errorf("go list: %w", err)
	}
	build := exec.CommandContext(ctx, "go", "build", "-o", program, "./cmd/curlewmux")
	build.Dir = strings.TrimSpace(string(top))
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("go build: %w: %s", err, out)
	}
	// One folder serves all runs with kept messages: of the 10,000 a run sends some hundreds.
	full := filepath.Join(root, "full")
	if err := os.MkdirAll(full, 0o700); err != nil {
		return err
	}
	if err := fill(full, again+pairs*reserve); err != nil {
		return err
	}
	var with, without, ratios, resent []float64
	for n := range pairs {
		var p [2]float64
		for _, kept := range []int{again, 0} {
			dir := filepath.Join(root, fmt.Sprintf("run%d-%d", n, kept))
			state := full
			if kept == 0 {
				state = filepath.Join(dir, "state")
			}
			got, sent, err := serve(ctx, program, dir, state)
			if err != nil {
				return fmt.Errorf("run %d with %d kept: %w", n, kept, err)
			}
			p[min(kept, 1)] = got
			if kept > 0 {
				resent = append(resent, sent)
			}
			os.RemoveAll(dir)
		}
		with, without, ratios = append(with, p[1]), append(without, p[0]), append(ratios, p[1]/p[0])
		fmt.Fprintf(progress, "pair %d of %d: fresh p99 %.1f ms with 10,000 kept, %.0f a second sent again; %.1f ms without\n", n+1, pairs, p[1], resent[n], p[0])
	}
	r.Set("fresh_p99_while_sent_again_ms", round(bench.Median(with)))
	r.Set("fresh_p99_alone_ms", round(bench.Median(without)))
	r.Set("sent_again_per_s", round(bench.Median(resent)))
	if slices.Min(resent) < 10 {
		return fmt.Errorf("%.0f a second were sent again: this measures nothing", slices.Min(resent))
	}
	r.Aim("fresh p99 while 10,000 are sent again, against alone", freshAims, round(bench.Median(ratios)))
	return nil
}

const siteSettings = `{"classes":[
 {"effect":"free","gain":2,"group":"all","hard-limit":60000000,"late-worth":0.5,"name":"free","target":30000000,"window":5000000},
 {"effect":"single_shot","gain":5,"group":"all","hard-limit":60000000,"late-worth":0.5,"name":"unsafe","target":30000000,"window":5000000}],
 "dcs":["east","west"],"extra":{"batch-by-kind":[1],"late":"linear","routes-apart":[false],"slots":%d},
 "host-types":["archives"],"instances":1,"me":0,"tick":5000,"zone":0,"weights":"nominal","over-share-worth":0.05,
 "limits":{"conn-idle":5000000,"connect-timeout":1500000,"max-open":2000,"max-retry-after":2000000,"may-cancel":true,
 "most-tries":6,"probes":true,"retry-after":true,"streams-per-conn":8},
 "report":{"names":[],"via":"none"},"rules":{"cold-from":0.19,"overload-for":2000000,"stop-sending-within":1000000,
 "tip-multiple":2.0,"warm-up":10000000},"tenants":[{"fraction":1.0,"name":"core","quota-per-s":1000000}]}`

// serve runs the program on a folder, and returns fresh messages' p99 in milliseconds and how many a second were sent
// again.
func serve(ctx context.Context, program, dir, state string) (p99, resent float64, err error) {
	for _, d := range []string{dir, state} {
		if err := os.MkdirAll(d, 0o700); err != nil {
			return 0, 0, err
		}
	}
	agent, err := discovery.Start()
	if err != nil {
		return 0, 0, err
	}
	defer agent.Close()
	p := partner.New(partner.Options{})
	defer p.Close()
	run := &load{start: map[string]time.Time{}}
	for dest := 1; dest <= dests; dest++ {
		e, err := p.Endpoint(fmt.Sprint("e", dest), run.script)
		if err != nil {
			return 0, 0, err
		}
		agent.Tell(discovery.Member{ID: e.ID(), HostPort: e.Addr(), Locality: "east", Flavor: "archives", Cell: dest, Phase: "active", Size: listed})
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, err
	}
	addr := l.Addr().String()
	l.Close()
	operator := filepath.Join(dir, "operator.toml")
	const text = "[undelivered]\ndisk_share = 0.8\n[[undelivered.rule]]\nname = \"all\"\nfirst_s = 0.001\n"
	if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
		return 0, 0, err
	}
	config, err := json.Marshal(map[string]any{
		"name": "n0", "listen": addr, "discovery": agent.Addr(), "seed": "8c1f30d27a5be964", "settings": json.RawMessage(fmt.Sprintf(siteSettings, slots)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 512, "disk_mb": 100},
	})
	if err != nil {
		return 0, 0, err
	}
	file := filepath.Join(dir, "config.json")
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return 0, 0, err
	}
	cmd := exec.CommandContext(ctx, program, "--operator", operator)
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+file, "EDGE_STATE="+state)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return 0, 0, err
	}
	defer func() {
		cmd.Process.Kill()
		cmd.Wait() // its error is the signal
	}()
	for {
		if res, err := http.Get("http://" + addr + "/-/ready"); err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				break
			}
		}
		select {
		case <-ctx.Done():
			return 0, 0, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	return run.play(ctx, addr)
}

// fill keeps messages in a folder that never ran, as an earlier process would have.
func fill(dir string, n int) error {
	s, err := store.Open(journal.OSDir(dir), settings())
	if err != nil {
		return err
	}
	s.Reconcile(nil, nil)
	for i := range n {
		if _, err := s.Keep(message(i), store.Submission{ID: message(i).ID, Disposition: "failed", Cause: "time", AttemptCount: 1}); err != nil {
			return err
		}
	}
	return s.Close()
}

// load is one run's messages.
type load struct {
	mu     sync.Mutex
	start  map[string]time.Time // fresh messages that are on their way
	took   []float64            // milliseconds of those that count
	begun  time.Time            // those handed in from then on count
	resent atomic.Int64
}

func (l *load) script(r *partner.Request) partner.Reply {
	for _, m := range r.Messages {
		if !strings.HasPrefix(m.ID, "f") {
			l.resent.Add(1)
			continue
		}
		l.mu.Lock()
		if begun, ok := l.start[m.ID]; ok {
			delete(l.start, m.ID)
			if !begun.Before(l.begun) {
				l.took = append(l.took, float64(r.At.Sub(begun).Microseconds())/1000)
			}
		}
		l.mu.Unlock()
	}
	return partner.Reply{Ran: true, Delay: service}
}

// play hands fresh messages in at an even rate, over some connections.
func (l *load) play(ctx context.Context, addr string) (p99, resent float64, err error) {
	const conns = 8
	first := time.Now()
	l.begun = first.Add(settle)
	end := l.begun.Add(measured)
	var before atomic.Int64
	time.AfterFunc(settle, func() { before.Store(l.resent.Load()) })
	errs := make([]error, conns)
	var all sync.WaitGroup
	for c := range conns {
		all.Go(func() { errs[c] = l.client(ctx, addr, c, conns, first, end) })
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return 0, 0, err
		}
	}
	resent = float64(l.resent.Load()-before.Load()) / measured.Seconds()
	time.Sleep(300 * time.Millisecond) // the last ones arrive
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, begun := range l.start { // what has not arrived took this long at least
		if !begun.Before(l.begun) {
			l.took = append(l.took, float64(time.Since(begun).Microseconds())/1000)
		}
	}
	slices.Sort(l.took)
	if want := int(rate * measured.Seconds() * 0.9); len(l.took) < want {
		return 0, 0, fmt.Errorf("%d fresh messages, want %d", len(l.took), want)
	}
	return at(l.took, 0.99), resent, nil
}

func (l *load) client(ctx context.Context, addr string, c, conns int, first, end time.Time) error {
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer nc.Close()
	br := bufio.NewReader(nc)
	body := strings.Repeat("b", bodyBytes)
	for i := c; ; i += conns {
		due := first.Add(time.Duration(i) * time.Second / rate)
		if due.After(end) {
			return nil
		}
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return ctx.Err()
		}
		id := "f" + strconv.Itoa(i)
		l.mu.Lock()
		l.start[id] = time.Now()
		l.mu.Unlock()
		_, err := fmt.Fprintf(nc, "POST /free HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nX-Qos: free\r\nX-Customer: core\r\nX-Expires-In-Ms: 30000\r\n"+
			"Content-Length: %d\r\nEnvelope: dest=%d\r\n\r\n%s", id, len(body), 1+i%dests, body)
		if err != nil {
			return err
		}
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return err
		}
		if res.StatusCode != http.StatusAccepted {
			return fmt.Errorf("a fresh message is answered %s", res.Status)
		}
	}
}
