package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"curlewmux/internal/admin"
	"curlewmux/internal/figures"
	"curlewmux/internal/journal"
	"curlewmux/internal/operator"
	"curlewmux/ledger"
)

// startWith is like start, with an operator's file.
func (w *testEnv) startWith(text string) (stop func() error) {
	w.t.Helper()
	w.listDestinations(1, 2, 3, 4)
	cfg, err := ParseConfig(w.config(), w.env)
	must(w.t, err)
	file, err := operator.Parse(text)
	must(w.t, err)
	must(w.t, cfg.ApplyOperatorFile(file))
	return w.runWith(cfg)
}

func (w *testEnv) get(path string) (int, http.Header, []byte) {
	w.t.Helper()
	res, err := http.Get("http://" + w.addr + path)
	must(w.t, err)
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	must(w.t, err)
	return res.StatusCode, res.Header, text
}

func (w *testEnv) query(command string) (lines []json.RawMessage, err error) {
	err = admin.Call(filepath.Join(w.dir, defaultSocketName), figures.Request{Command: command}, func(text json.RawMessage) error {
		lines = append(lines, text)
		return nil
	})
	return lines, err
}

// readSnapshot parses a ledger snapshot and checks its equations.
func readSnapshot(t *testing.T, text []byte) *ledger.Snapshot {
	t.Helper()
	s, err := ledger.ReadSnapshot(bytes.NewReader(text))
	must(t, err)
	if bad := s.Check(); len(bad) > 0 {
		t.Fatalf("%+v in %s", bad, text)
	}
	return s
}

func TestFiguresAreShownWhereTheFileSaysSo(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		file         string
		socket, port bool
	}{
		{"", false, false}, {"[ledger]", true, false}, {"[ledger]\nhttp = true", true, true}, {"[ledger]\nenabled = false\nhttp = true", false, false},
		{"[ledger]\n[undelivered]\nsocket = \"\"", true, false}, {"[undelivered]", true, false},
	} {
		t.Run(c.file, func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t)
			w.diskMB = 3
			stop := w.startWith(c.file)
			w.endpoint("e", 7, "hooks", respond(200))
			waitFor(t, func() bool { code, _, _ := w.do(w.request("free", "served", 7)); return code == 202 })
			if code, _, why := w.do(w.request("keyed", "waits", 1)); code != 202 {
				t.Fatalf("%d %s", code, why)
			}
			if _, err := os.Stat(filepath.Join(w.dir, defaultSocketName)); (err == nil) != c.socket {
				t.Errorf("%q: the socket: %v", c.file, err)
			}
			for _, path := range []string{"/-/ledger", "/-/metrics"} {
				if code, _, text := w.get(path); (code == 200) != c.port || !c.port && code != 405 {
					t.Errorf("%q: %s: %d %s", c.file, path, code, text)
				}
			}
			if books := strings.Contains(c.file, "[ledger]") && c.socket; books {
				waitFor(t, func() bool {
					lines, err := w.query(figures.CommandLedger)
					must(t, err)
					s := readSnapshot(t, lines[0])
					return len(lines) == 1 && s.Total.Accepted == 2 && s.Total.Delivered == 1 && s.Total.Open == 1 && s.Instance == "n0"
				})
				lines, err := w.query(figures.CommandQueues)
				var queues figures.QueuesReply
				if must(t, err); json.Unmarshal(lines[0], &queues) != nil || len(queues.Queues) != 1 || queues.Queues[0].Destination != 1 || queues.Queues[0].Condition != "unserved" {
					t.Errorf("%s", lines[0])
				}
				waitFor(t, func() bool { // the page may be figures.MaxAge old, as it was asked for above where there is a port
					lines, err := w.query(figures.CommandMetrics)
					var text string
					must(t, err)
					must(t, json.Unmarshal(lines[0], &text))
					return strings.Contains(text, "curlewmux_messages_open{class=\"keyed\",dest=\"1\",tenant=\"core\"} 1\n") &&
						strings.Contains(text, "\ncurlewmux_connections_opened_total 1\n")
				})
				if _, err := w.query("list"); (err == nil) != strings.Contains(c.file, "[undelivered]") {
					t.Errorf("%q: list: %v", c.file, err)
				}
			} else if c.socket {
				if _, err := w.query(figures.CommandLedger); err == nil || !strings.Contains(err.Error(), "[ledger]") {
					t.Errorf("%q: without a ledger: %v", c.file, err)
				}
			}
			if c.port {
				_, header, text := w.get("/-/metrics")
				if header.Get("Content-Type") != figures.ContentTypeMetrics || !bytes.HasSuffix(text, []byte("# EOF\n")) {
					t.Errorf("%v %s", header, text)
				}
				if _, header, text = w.get("/-/ledger"); header.Get("Content-Type") != figures.ContentTypeJSON || readSnapshot(t, text).Total.Accepted != 2 {
					t.Errorf("%v %s", header, text)
				}
			}
			if err := stop(); err != nil {
				t.Error(err)
			}
			if _, err := os.Lstat(filepath.Join(w.dir, defaultSocketName)); !errors.Is(err, fs.ErrNotExist) {
				t.Errorf("the socket stays: %v", err)
			}
			if strings.HasPrefix(c.file, "[ledger]") && c.socket {
				s, err := figures.ReadFolder(journal.OSDir(w.dir))
				if must(t, err); s.Total.Accepted != 2 || s.Total.Open != 1 || len(s.Check()) > 0 {
					t.Errorf("after the stop: %+v", s)
				}
			}
		})
	}
}

var (
	scrapeRate      = flag.Int("scrapes", 1000, "scrapes per second while messages are processed, 0 for none")
	separateProcess = flag.Bool("apart", false, "run the dispatcher as a separate process, with one core")
	accounts        = flag.Int("accounts", 10, "number of ledger accounts in addition to the one of the messages")
)

// A path that is too long for a Unix socket must not keep the dispatcher from starting.
func TestLedgerIsKeptWithoutSocket(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	w.diskMB, w.dir = 3, filepath.Join(w.dir, strings.Repeat("long", 30))
	must(t, os.Mkdir(w.dir, 0o700))
	stop := w.startWith("[ledger]\nhttp = true")
	if code, _, text := w.get("/-/ledger"); code != 200 {
		t.Errorf("%d %s", code, text)
	}
	if err := stop(); err != nil {
		t.Error(err)
	}
}

// A thousand scrapes per second, and clients that request pages without reading them, must not delay messages. Each
// snapshot must add up, also when it is taken while messages are being processed.
func TestMessagesUnderAThousandScrapesPerSecond(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	w.maxOpen, w.diskMB = 1000, 3
	const books = "[ledger]\nhttp = true"
	var stop func() error
	if *separateProcess {
		w.operatorText = books
		cmd := w.spawn()
		stop = func() error {
			status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
			for line := range strings.Lines(string(status)) {
				if strings.HasPrefix(line, "VmHWM") || strings.HasPrefix(line, "VmRSS") {
					t.Log(strings.TrimSpace(line))
				}
			}
			return errors.Join(err, cmd.Process.Kill())
		}
	} else {
		stop = w.startWith(books)
	}
	w.endpoint("e", 7, "hooks", respond(200))
	waitFor(t, func() bool { code, _, _ := w.do(w.request("free", "first", 7)); return code == 202 })
	for i := range *accounts {
		w.listDestinations(100 + i)
		waitFor(t, func() bool { code, _, _ := w.do(w.request("free", fmt.Sprint("a", i), 100+i)); return code == 202 })
	}
	for range 3 { // clients that send requests and read no response
		c, err := net.Dial("tcp", w.addr)
		must(t, err)
		defer c.Close()
		_, err = io.WriteString(c, strings.Repeat("GET /-/metrics HTTP/1.1\r\nHost: x\r\n\r\n", 100))
		must(t, err)
	}
	const span, messages = 2 * time.Second, 200
	var scrapes, shown atomic.Int64
	var readers sync.WaitGroup
	began := time.Now()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, Timeout: 20 * time.Second}
	defer client.CloseIdleConnections()
	for reader := range min(4, *scrapeRate) {
		readers.Go(func() {
			var last *ledger.Snapshot
			for {
				n := scrapes.Add(1)
				due := began.Add(time.Duration(n) * time.Second / time.Duration(*scrapeRate))
				if due.Sub(began) > span {
					return
				}
				time.Sleep(time.Until(due)) // paces the scrapes; waits for no condition
				res, err := client.Get("http://" + w.addr + [...]string{"/-/ledger", "/-/metrics"}[reader%2])
				if err != nil {
					t.Error(err)
					return
				}
				text, err := io.ReadAll(res.Body)
				res.Body.Close()
				if err != nil || res.StatusCode != 200 && res.StatusCode != 503 {
					t.Errorf("%s %v", res.Status, err)
					return
				}
				if res.StatusCode != 200 {
					continue
				}
				shown.Add(1)
				if reader%2 == 1 || *separateProcess && n%100 != 0 {
					continue
				}
				s, err := ledger.ReadSnapshot(bytes.NewReader(text))
				if err != nil || len(s.Check()) > 0 {
					t.Errorf("%v in %s", err, text)
					return
				}
				if last != nil {
					if d, err := ledger.Diff(last, s); err != nil || len(d.Decreases) > 0 {
						t.Errorf("%v %+v", err, d)
						return
					}
				}
				last = s
			}
		})
	}
	var latencies []time.Duration
	for i := range messages {
		time.Sleep(time.Until(began.Add(time.Duration(i) * span / messages))) // paces the messages
		at := time.Now()
		if code, _, why := w.do(w.request("free", fmt.Sprint("m", i), 7)); code != 202 {
			t.Fatalf("%d %s", code, why)
		}
		latencies = append(latencies, time.Since(at))
	}
	readers.Wait()
	waitFor(t, func() bool {
		_, _, text := w.get("/-/ledger")
		s, err := ledger.ReadSnapshot(bytes.NewReader(text))
		return err == nil && s.Total.Accepted == ledger.Count(messages+1+*accounts) && s.Total.Delivered == messages+1
	})
	slices.Sort(latencies)
	if late := latencies[len(latencies)*9/10]; late > 200*time.Millisecond {
		t.Errorf("one in ten submissions took %v or more", late)
	}
	t.Logf("%d scrapes, %d shown; submissions: median %v, p99 %v", scrapes.Load(), shown.Load(), latencies[len(latencies)/2], latencies[len(latencies)*99/100])
	if shown.Load() < scrapes.Load()/4 {
		t.Errorf("%d of %d scrapes were answered", shown.Load(), scrapes.Load())
	}
	if err := stop(); err != nil {
		t.Error(err)
	}
}
