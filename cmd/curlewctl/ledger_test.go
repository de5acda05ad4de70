package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"curlewmux/internal/admin"
	"curlewmux/internal/figures"
	"curlewmux/ledger"
)

// fill makes a ledger of so many messages, of which one is open; its epoch is what the number says.
func fill(t *testing.T, name string, epoch uint64, messages int) *ledger.Ledger {
	t.Helper()
	l, err := ledger.New(ledger.Settings{Instance: name}, ledger.NewEpoch(epoch, int64(epoch)*1e6, ledger.ReasonNoLedger, ""))
	if err != nil {
		t.Fatal(err)
	}
	a := l.Account(ledger.Key{Class: "mail\x1b[31m\n", Destination: 7, Tenant: "core"})
	for i := range messages {
		l.Post(a, ledger.Accepted)
		l.Post(a, ledger.AttemptSent)
		if l.Post(a, ledger.AttemptAnswered); i > 0 {
			l.Post(a, ledger.Delivered)
		}
	}
	return l
}

func save(t *testing.T, dir, name string, s *ledger.Snapshot) string {
	t.Helper()
	text, err := json.Marshal(s)
	path := filepath.Join(dir, name)
	if err := errors.Join(err, os.WriteFile(path, text, 0o600)); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestTheLedgersCommandsTellByTheirExitStatus(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	good := save(t, dir, "good", fill(t, "n0", 7, 3).Snapshot(1))
	later := save(t, dir, "later", fill(t, "n0", 7, 5).Snapshot(2_000_001))
	anew := save(t, dir, "anew", fill(t, "n0", 8, 2).Snapshot(3_000_001))
	other := save(t, dir, "other", fill(t, "n1", 9, 4).Snapshot(9_000_001))
	broken := fill(t, "n2", 7, 3).Snapshot(1)
	broken.Accounts[0].Delivered++
	broken.Total.Delivered++
	bad := save(t, dir, "bad", broken)
	great := fill(t, "n0", 7, 0).Snapshot(1)
	great.Accounts[0].Accepted, great.Accounts[0].Delivered = 1<<53+1, 1<<53+1
	great.Total = great.Accounts[0].Counts
	big := save(t, dir, "big", great)
	provisional := fill(t, "n0", 7, 9).Snapshot(1)
	provisional.Provisional = true
	early := save(t, dir, "early", provisional)
	odd := filepath.Join(dir, "odd")
	if err := os.WriteFile(odd, []byte(`{"format": 99}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args   []string
		status int
		want   string
	}{
		{[]string{"show", good}, 0, `"mail\x1b[31m\n"  7     "core"  3`}, {[]string{"show", big}, 0, "9007199254740993"},
		{[]string{"show", "--json", big}, 0, `"taken":"9007199254740993"`}, {[]string{"show", early}, 0, "provisional"},
		{[]string{"show", dir}, 1, "no ledger"}, {[]string{"show", filepath.Join(dir, "none")}, 1, "no such file"}, {[]string{"show", odd}, 1, "not a ledger snapshot"},
		{[]string{"check", good}, 0, "1 accounts add up"}, {[]string{"check", big}, 0, "add up"},
		{[]string{"check", bad}, 1, `BREACH messages of "mail\x1b[31m\n/7/core": 3 in the books, 4 counted`},
		{[]string{"check", "--json", bad}, 1, `"books":"3","counted":"4"`},
		{[]string{"diff", good, later}, 0, "taken              3       5      +2"}, {[]string{"diff", later, good}, 1, "BACK"},
		{[]string{"diff", good, anew}, 0, "epoch 0000000000000007 ended"}, {[]string{"diff", good, other}, 1, "two dispatchers"},
		{[]string{"diff", early, good}, 0, "may have taken these back"}, {[]string{"diff", "--json", good, later}, 0, `"instance":"n0"`},
		{[]string{"sum", good, later, anew, other}, 0, `left        "n0"`}, {[]string{"sum", good, later, other, "--lost", "n1"}, 0, "lost machines leave 1 messages open"},
		{[]string{"sum", "--json", later, other, "--lost", "n1"}, 0, `"lost":[{"account":{"class":"mail\u001b[31m\n","dest":7,"tenant":"core"},"instance":"n1","epoch":"0000000000000009","open":"1"}]`},
		{[]string{"sum", good, other, "--lost", "n7"}, 2, "--lost"}, {[]string{"sum", good, bad}, 1, "bad: figures do not add up"},
		{[]string{"metrics", good}, 0, `curlewmux_messages_taken_total{class="mail` + "\x1b" + `[31m\n",dest="7",tenant="core"} 3`},
		{[]string{"show"}, 2, "<where>"}, {[]string{"diff", good}, 2, "<newer>"}, {[]string{"sum"}, 2, "<files>"}, {[]string{"audit"}, 2, "audit"},
		{[]string{"check", "--deep", good}, 2, "--deep"},
	} {
		status, out := run(t, append([]string{"ledger"}, c.args...)...)
		if status != c.status || !strings.Contains(out, c.want) {
			t.Errorf("%v: status %d, want %d, with %q:\n%s", c.args, status, c.status, c.want, out)
		}
		if c.args[0] != "metrics" && strings.Contains(out, "\x1b") {
			t.Errorf("%v: a client's name reaches the terminal as it is", c.args)
		}
	}
}

// books are behind a socket as a dispatcher's are.
type served struct{ l *ledger.Ledger }

func (s served) Ledger(time.Duration) (*ledger.Snapshot, error) {
	return s.l.Snapshot(time.Now().UnixMicro()), nil
}

func TestARunningDispatcherIsAskedByItsSocket(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	l := fill(t, "n0", 7, 3)
	board := figures.New(served{l}, time.Now)
	s, err := admin.Listen(filepath.Join(dir, "curlewmux.sock"), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Serve(func(_ context.Context, _ admin.Peer, text json.RawMessage, reply func(any) error) error {
			var r figures.Request
			if err := json.Unmarshal(text, &r); err != nil {
				return err
			}
			if r.Command == figures.CommandQueues {
				return reply(figures.QueuesReply{Queues: []figures.DestinationQueue{{Destination: 7, OldestSeconds: 1.5, Condition: "ailing"}}})
			}
			page, err := board.JSON()
			if err != nil {
				return err
			}
			return reply(admin.Raw(page))
		})
	}()
	defer func() {
		s.Close()
		<-done
	}()
	for _, c := range []struct {
		args   []string
		status int
		want   string
	}{
		{[]string{"ledger", "show", dir}, 0, `dispatcher "n0"`}, {[]string{"ledger", "check", dir}, 0, "add up"},
		{[]string{"top", dir, "--count", "2", "--interval", "250ms"}, 0, "open=1 out=0 doubt=0 oldest=1.5s breaches=0 held=7:1(1.5s,ailing)\n"},
		{[]string{"top", dir, "--interval", "1ms"}, 2, "--interval"}, {[]string{"top", dir, "--count", "-1"}, 2, "--count"},
		{[]string{"top", t.TempDir(), "--count", "1"}, 1, "no ledger"}, {[]string{"top"}, 2, "<where>"},
	} {
		status, out := run(t, c.args...)
		if status != c.status || !strings.Contains(out, c.want) {
			t.Errorf("%v: status %d, want %d, with %q:\n%s", c.args, status, c.status, c.want, out)
		}
		if c.args[0] == "top" && status == 0 && strings.Count(out, "\n") != 2 {
			t.Errorf("not a line a look:\n%q", out)
		}
	}
}

func TestTopsTableFitsTheTerminal(t *testing.T) {
	t.Parallel()
	l, err := ledger.New(ledger.Settings{Instance: "n0"}, ledger.NewEpoch(7, 1, ledger.ReasonNoLedger, ""))
	if err != nil {
		t.Fatal(err)
	}
	post := func(n int) {
		for dest := range 40 {
			for range n * dest {
				l.Post(l.Account(ledger.Key{Class: "free", Destination: dest}), ledger.Accepted)
			}
		}
	}
	now := time.Now()
	post(1)
	before := &look{Snapshot: l.Snapshot(0), at: now}
	post(2)
	after := &look{Snapshot: l.Snapshot(2e6), at: now.Add(2 * time.Second)}
	after.held.Queues = []figures.DestinationQueue{{Destination: 3, OldestSeconds: 9, Condition: "unserved"}, {Destination: 4, OldestSeconds: 7, Condition: "well"}}
	var b bytes.Buffer
	if err := after.table(&b, before, 24); err != nil {
		t.Fatal(err)
	}
	rows := strings.Split(strings.TrimSpace(b.String()), "\n")
	if len(rows) > 24 || !strings.HasPrefix(b.String(), "\x1b[H\x1b[J") || !strings.Contains(b.String(), "and 20 destinations more") {
		t.Errorf("%d rows:\n%s", len(rows), b.String())
	}
	for i, want := range []string{"total 780.0", "3 3.0", "4 4.0", "39 39.0"} {
		if got := strings.Join(strings.Fields(rows[2+i])[:2], " "); got != want {
			t.Errorf("row %d: %q, want %q", i, got, want)
		}
	}
	// A clock that was stepped, and an epoch that began anew.
	after.Wall = -5
	if got := after.rate(before, 30, 10); got != "10.0" {
		t.Errorf("with the clock set back: %s", got)
	}
	after.Epoch.ID = "8"
	if got := after.rate(before, 30, 10); got != "-" {
		t.Errorf("in another epoch: %s", fmt.Sprint(got))
	}
}
