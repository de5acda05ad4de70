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

// startWith is start with an operator's file.
func (w *world) startWith(text string) (stop func() error) {
	w.t.Helper()
	w.name(1, 2, 3, 4)
	cfg, err := ParseConfig(w.config(), w.env)
	must(w.t, err)
	file, err := operator.Parse(text)
	must(w.t, err)
	must(w.t, cfg.ApplyOperatorFile(file))
	return w.runWith(cfg)
}

func (w *world) get(path string) (int, http.Header, []byte) {
	w.t.Helper()
	res, err := http.Get("http://" + w.addr + path)
	must(w.t, err)
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	must(w.t, err)
	return res.StatusCode, res.Header, text
}

func (w *world) ask(command string) (lines []json.RawMessage, err error) {
	err = admin.Call(filepath.Join(w.dir, usualSocket), figures.Request{Command: command}, func(text json.RawMessage) error {
		lines = append(lines, text)
		return nil
	})
	return lines, err
}

// cut reads a snapshot that must add up.
func cut(t *testing.T, text []byte) *ledger.Snapshot {
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
			w := newWorld(t)
			w.diskMB = 3
			stop := w.startWith(c.file)
			w.endpoint("e", 7, "hooks", respond(200))
			waitFor(t, func() bool { code, _, _ := w.do(w.request("free", "served", 7)); return code == 202 })
			if code, _, why := w.do(w.request("keyed", "waits", 1)); code != 202 {
				t.Fatalf("%d %s", code, why)
			}
			if _, err := os.Stat(filepath.Join(w.dir, usualSocket)); (err == nil) != c.socket {
				t.Errorf("%q: the socket: %v", c.file, err)
			}
			for _, path := range []string{"/-/ledger", "/-/metrics"} {
				if code, _, text := w.get(path); (code == 200) != c.port || !c.port && code != 405 {
					t.Errorf("%q: %s: %d %s", c.file, path, code, text)
				}
			}
			if books := strings.Contains(c.file, "[ledger]") && c.socket; books {
				waitFor(t, func() bool {
					lines, err := w.ask(figures.CommandLedger)
					must(t, err)
					s := cut(t, lines[0])
					return len(lines) == 1 && s.Total.Accepted == 2 && s.Total.Delivered == 1 && s.Total.Open == 1 && s.Instance == "n0"
				})
				lines, err := w.ask(figures.CommandQueues)
				var held figures.QueuesReply
				if must(t, err); json.Unmarshal(lines[0], &held) != nil || len(held.Queues) != 1 || held.Queues[0].Destination != 1 || held.Queues[0].Condition != "unserved" {
					t.Errorf("%s", lines[0])
				}
				lines, err = w.ask(figures.CommandMetrics)
				var text string
				if must(t, err); json.Unmarshal(lines[0], &text) != nil || !strings.Contains(text, "curlewmux_messages_open{class=\"keyed\",dest=\"1\",tenant=\"core\"} 1\n") {
					t.Errorf("%s", lines[0])
				}
				if _, err := w.ask("list"); (err == nil) != strings.Contains(c.file, "[undelivered]") {
					t.Errorf("%q: list: %v", c.file, err)
				}
			} else if c.socket {
				if _, err := w.ask(figures.CommandLedger); err == nil || !strings.Contains(err.Error(), "[ledger]") {
					t.Errorf("%q: without books: %v", c.file, err)
				}
			}
			if c.port {
				_, header, text := w.get("/-/metrics")
				if header.Get("Content-Type") != figures.ContentTypeMetrics || !bytes.HasSuffix(text, []byte("# EOF\n")) {
					t.Errorf("%v %s", header, text)
				}
				if _, header, text = w.get("/-/ledger"); header.Get("Content-Type") != figures.ContentTypeJSON || cut(t, text).Total.Accepted != 2 {
					t.Errorf("%v %s", header, text)
				}
			}
			if err := stop(); err != nil {
				t.Error(err)
			}
			if _, err := os.Lstat(filepath.Join(w.dir, usualSocket)); !errors.Is(err, fs.ErrNotExist) {
				t.Errorf("the socket stays: %v", err)
			}
			if strings.HasPrefix(c.file, "[ledger]") && c.socket {
				s, err := figures.ReadFolder(journal.OSDir(w.dir))
				if must(t, err); s.Total.Accepted != 2 || s.Total.Open != 1 || len(s.Check()) > 0 {
					t.Errorf("at rest: %+v", s)
				}
			}
		})
	}
}

var (
	scrapeRate = flag.Int("scrapes", 1000, "scrapes a second beside messages, 0 for none")
	apart      = flag.Bool("apart", false, "the dispatcher is a process of its own, with one core")
	accounts   = flag.Int("accounts", 10, "accounts that there are beside the one of the messages")
)

// A folder whose name is too long for a socket does not keep a dispatcher from its work.
func TestBooksAreKeptWhereNoSocketFits(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
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

// Scrapes in the middle of rounds show each message in one account, and messages are taken and served meanwhile as they
// come: a thousand scrapes a second, and readers that stop reading.
func TestMessagesGoOnUnderAThousandScrapesASecond(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.maxOpen, w.diskMB = 1000, 3
	const books = "[ledger]\nhttp = true"
	var stop func() error
	if *apart {
		w.operator = books
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
		w.name(100 + i)
		waitFor(t, func() bool { code, _, _ := w.do(w.request("free", fmt.Sprint("a", i), 100+i)); return code == 202 })
	}
	for range 3 { // they ask and read nothing
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
				time.Sleep(time.Until(due)) // their pace, not what is waited for
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
				if reader%2 == 1 || *apart && n%100 != 0 {
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
	var took []time.Duration
	for i := range messages {
		time.Sleep(time.Until(began.Add(time.Duration(i) * span / messages))) // their pace
		at := time.Now()
		if code, _, why := w.do(w.request("free", fmt.Sprint("m", i), 7)); code != 202 {
			t.Fatalf("%d %s", code, why)
		}
		took = append(took, time.Since(at))
	}
	readers.Wait()
	waitFor(t, func() bool {
		_, _, text := w.get("/-/ledger")
		s, err := ledger.ReadSnapshot(bytes.NewReader(text))
		return err == nil && s.Total.Accepted == ledger.Count(messages+1+*accounts) && s.Total.Delivered == messages+1
	})
	slices.Sort(took)
	if late := took[len(took)*9/10]; late > 200*time.Millisecond {
		t.Errorf("one in ten hand-ins took %v or more", late)
	}
	t.Logf("%d scrapes, %d shown; hand-ins: half %v, one in a hundred %v", scrapes.Load(), shown.Load(), took[len(took)/2], took[len(took)*99/100])
	if shown.Load() < scrapes.Load()/4 {
		t.Errorf("%d of %d scrapes were answered", shown.Load(), scrapes.Load())
	}
	if err := stop(); err != nil {
		t.Error(err)
	}
}
