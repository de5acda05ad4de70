package node

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/smtp"
	"net/textproto"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"curlewmux/internal/host"
	"curlewmux/internal/operator"
	standin "curlewmux/internal/standin/mail"
	"curlewmux/membership/partnerlist"
)

// mailEnv is a testEnv with mail servers and a dispatcher that accepts mail.
type mailEnv struct {
	*testEnv
	smtp string // address of the SMTP listener
	lmtp string // address of the LMTP listener
}

func newMailEnv(t *testing.T) *mailEnv {
	w := newTestEnv(t)
	host := strings.TrimSuffix(w.addr, ":9000")
	return &mailEnv{testEnv: w, smtp: host + ":9025", lmtp: host + ":9024"}
}

func (w *mailEnv) operatorFile() string {
	return fmt.Sprintf(`
[mail]
name = "mux.example.org"
[[mail.partner]]
kind = "archives"
protocol = "lmtp"
tls = "off"
busy_wait_s = 0.1
greylist_wait_s = 0.1
[mail.front]
smtp = %q
lmtp = %q
remember_s = 60
[[mail.route]]
recipient = "@archive.example.org"
dest = 1
class = "unsafe"
tenant = "core"
expires_s = 40
[[mail.route]]
recipient = "@build.example.org"
dest = 2
class = "keyed"
tenant = "core"
expires_s = 40
`, w.smtp, w.lmtp)
}

// startMailServer starts a mail server for a destination and lists it.
func (w *mailEnv) startMailServer(id string, dest int, script func(standin.Step) standin.Act) *standin.Server {
	w.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(w.t, err)
	s := &standin.Server{Host: host.System{}, LMTP: true, Extensions: []string{"PIPELINING", "8BITMIME", "SIZE 1000000"}, Script: script}
	go s.Serve(l)
	w.t.Cleanup(func() {
		l.Close()
		s.Close()
	})
	w.setEntry(partnerlist.Entry{ID: id, HostPort: l.Addr().String(), Locality: "west", Flavor: "archives", Cell: dest, Phase: "active", Size: 1000})
	return s
}

// run runs a dispatcher in this process. stop ends it as SIGTERM does and waits.
func (w *mailEnv) run() (stop func() error) {
	w.t.Helper()
	w.listDestinations(1, 2, 3, 4)
	cfg, err := ParseConfig(w.config(), w.env)
	must(w.t, err)
	f, err := operator.Parse(w.operatorFile())
	must(w.t, err)
	cfg.Mail, err = ReadMail(f.Mail, cfg)
	must(w.t, err)
	return w.runWith(cfg)
}

// spawnMail starts the real program with the mail settings.
func (w *mailEnv) spawnMail() *exec.Cmd {
	w.t.Helper()
	w.listDestinations(1, 2, 3, 4)
	dir := w.t.TempDir()
	config, settings := filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.toml")
	must(w.t, os.WriteFile(config, w.config(), 0o600))
	must(w.t, os.WriteFile(settings, []byte(w.operatorFile()), 0o600))
	cmd := exec.Command(program, "--operator", settings)
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+config, "EDGE_STATE="+w.dir)
	if testing.Verbose() {
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

// send sends a mail to the recipients over SMTP.
func (w *mailEnv) send(id string, rcpts ...string) error {
	c, err := smtp.Dial(w.smtp)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.Mail("log@build.example.org"); err != nil {
		return err
	}
	for _, r := range rcpts {
		if err := c.Rcpt(r); err != nil {
			return err
		}
	}
	d, err := c.Data()
	if err != nil {
		return err
	}
	io.WriteString(d, "Message-ID: <"+id+"@build.example.org>\r\nSubject: a release\r\n\r\nbody of "+id+"\r\n")
	return d.Close()
}

// sendUntilAccepted repeats a mail until it is accepted.
func (w *mailEnv) sendUntilAccepted(id string, rcpts ...string) {
	for limit := time.Now().Add(testTimeout); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		err := w.send(id, rcpts...)
		var no *textproto.Error
		switch {
		case err == nil, errors.As(err, &no) && strings.Contains(no.Msg, "came before"): // accepted before, and finished
			return
		case errors.As(err, &no) && no.Code >= 500:
			w.t.Errorf("mail %s: %v", id, err)
			return
		}
	}
	w.t.Errorf("mail %s was not accepted in time", id)
}

// mailOutcomes returns by mail and recipient how often the mail took effect, and how often its sender was notified that
// it failed or is in doubt.
func mailOutcomes(archive, senders *standin.Server) (effects, notified map[string]int) {
	effects, notified = map[string]int{}, map[string]int{}
	id := func(text, rcpt string) string {
		_, rest, _ := strings.Cut(text, "Message-ID: <")
		id, _, _ := strings.Cut(rest, "@")
		return id + " " + rcpt
	}
	for _, a := range archive.Accepted() {
		effects[id(a.Content, a.Rcpt)]++
	}
	seen := map[string]bool{} // a server of a keyed class drops duplicates by Message-ID
	for _, a := range senders.Accepted() {
		_, key, _ := strings.Cut(a.Content, "Message-ID: <")
		if key, _, _ = strings.Cut(key, ">"); seen[key] {
			continue
		}
		seen[key] = true
		_, rest, _ := strings.Cut(a.Content, "Final-Recipient: rfc822; ")
		rcpt, _, _ := strings.Cut(rest, "\r\n")
		_, original, _ := strings.Cut(a.Content, "text/rfc822-headers\r\n")
		notified[id(original, rcpt)]++
	}
	return effects, notified
}

func TestMailFromSMTPToLMTPWithFailureNotices(t *testing.T) {
	t.Parallel()
	w := newMailEnv(t)
	archive := w.startMailServer("archive", 1, func(s standin.Step) (a standin.Act) {
		if s.Stage == standin.Rcpt && strings.HasPrefix(s.Rcpt, "nobody@") {
			a.Say = "550 5.1.1 no such user"
		}
		return a
	})
	senders := w.startMailServer("senders", 2, nil)
	hook := w.endpoint("hook", 3, "hooks", respond(200))
	stop := w.run()
	if err := w.send("m1", "a@archive.example.org", "nobody@archive.example.org", "b@archive.example.org"); err != nil {
		t.Fatal(err)
	}
	if err := w.send("m1", "a@archive.example.org", "b@archive.example.org"); err != nil { // resent, as if the reply had been lost
		t.Fatal(err)
	}
	if err := w.send("m2", "a@elsewhere.example.org"); err == nil || !strings.Contains(err.Error(), "no destination") {
		t.Errorf("relayed: %v", err)
	}
	w.submit("unsafe", "over-http", 3)
	w.awaitCalls("over-http", 1)
	waitFor(t, func() bool { return archive.Count() >= 2 && senders.Count() >= 1 })
	w.awaitEmpty()
	must(t, stop())
	effects, notified := mailOutcomes(archive, senders)
	if len(effects) != 2 || effects["m1 a@archive.example.org"] != 1 || effects["m1 b@archive.example.org"] != 1 ||
		len(notified) != 1 || notified["m1 nobody@archive.example.org"] != 1 {
		t.Errorf("effects %v, notified %v, %s", effects, notified, hook.ID)
	}
	if n := senders.Accepted()[0]; n.From != "" || n.Rcpt != "log@build.example.org" || !strings.Contains(n.Content, "Status: 5.1.1") {
		t.Errorf("the notification: %+v", n)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.notices {
		if strings.HasPrefix(id, "mail:") {
			t.Errorf("the platform was notified of %s", id)
		}
	}
}

// The process is killed or stopped while the archive is silent at each stage of a session. After a restart each mail
// must have taken effect or its sender must have been notified, and none may take effect twice.
func TestEveryMailIsAnsweredWhereverTheDispatcherEnds(t *testing.T) {
	t.Parallel()
	for _, sig := range []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM} {
		for _, stage := range []standin.Stage{standin.Greeting, standin.Mail, standin.Rcpt, standin.Data, standin.Final} {
			t.Run(fmt.Sprint(sig, " ", stage), func(t *testing.T) {
				t.Parallel()
				w := newMailEnv(t)
				asked := make(chan bool, 100)
				var mu sync.Mutex
				stuck := true
				archive := w.startMailServer("archive", 1, func(s standin.Step) (a standin.Act) {
					mu.Lock()
					defer mu.Unlock()
					if stuck && s.Stage == stage && (stage != standin.Final || strings.HasPrefix(s.Rcpt, "b@")) {
						asked <- true
						a.Silent = true
						if stage == standin.Final {
							a = standin.Act{Say: "250 2.0.0 kept", Cut: 7} // takes effect, but the reply is cut off
						}
					}
					return a
				})
				senders := w.startMailServer("senders", 2, nil)
				first := w.spawnMail()
				w.sendUntilAccepted("m1", "a@archive.example.org", "b@archive.example.org", "c@archive.example.org")
				select {
				case <-asked:
				case <-time.After(testTimeout):
					t.Fatal("the archive was not reached in time")
				}
				must(t, first.Process.Signal(sig))
				first.Wait()
				mu.Lock()
				stuck = false
				mu.Unlock()
				w.spawnMail()
				w.awaitEmpty()
				effects, notified := mailOutcomes(archive, senders)
				for _, r := range []string{"m1 a@archive.example.org", "m1 b@archive.example.org", "m1 c@archive.example.org"} {
					if effects[r] > 1 || notified[r] > 1 || effects[r]+notified[r] == 0 {
						t.Errorf("%s took effect %d times, and its sender was notified %d times", r, effects[r], notified[r])
					}
				}
			})
		}
	}
}

// The process is killed or stopped while a client is at each stage of a session. The client then sends the same mail
// again.
func TestMailIsAcceptedOnceWhenStoppedAtAnyClientStage(t *testing.T) {
	t.Parallel()
	head := "EHLO c.example.org\r\nMAIL FROM:<log@build.example.org>\r\nRCPT TO:<a@archive.example.org>\r\nRCPT TO:<b@archive.example.org>\r\nDATA\r\n"
	body := "Message-ID: <m1@build.example.org>\r\nSubject: a release\r\n\r\nbody of m1\r\n"
	for _, sig := range []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM} {
		for name, text := range map[string]string{
			"greeting": "", "hello": "EHLO c.example.org\r\n", "mail": head[:strings.Index(head, "RCPT")], "rcpt": head[:strings.Index(head, "DATA")], "data": head,
			"in the body": head + body[:40], "before the dot": head + body, "in the dot": head + body + ".\r", "dot": head + body + ".\r\n",
		} {
			t.Run(fmt.Sprint(sig, " ", name), func(t *testing.T) {
				t.Parallel()
				w := newMailEnv(t)
				archive, senders := w.startMailServer("archive", 1, nil), w.startMailServer("senders", 2, nil)
				first := w.spawnMail()
				c, err := net.Dial("tcp", w.smtp)
				must(t, err)
				defer c.Close()
				_, err = io.WriteString(c, text)
				must(t, err)
				if text != "" && name != "dot" { // wait until the dispatcher has read the text
					c.SetReadDeadline(time.Now().Add(testTimeout))
					want := map[bool]string{true: "354 ", false: "250 "}[strings.Contains(text, "DATA")]
					var heard strings.Builder
					for b := make([]byte, 1<<10); !strings.Contains(heard.String(), want); {
						n, err := c.Read(b)
						must(t, err)
						heard.Write(b[:n])
					}
				}
				must(t, first.Process.Signal(sig))
				first.Wait()
				w.spawnMail()
				w.sendUntilAccepted("m1", "a@archive.example.org", "b@archive.example.org")
				w.awaitEmpty()
				effects, notified := mailOutcomes(archive, senders)
				for _, r := range []string{"m1 a@archive.example.org", "m1 b@archive.example.org"} {
					if effects[r] > 1 || notified[r] > 1 || effects[r]+notified[r] == 0 || name != "dot" && effects[r] != 1 {
						t.Errorf("%s took effect %d times, and its sender was notified %d times", r, effects[r], notified[r])
					}
				}
			})
		}
	}
}

// A message submitted over HTTP is delivered to a mail server if its body is a mail, and fails otherwise.
func TestMailSubmittedOverHTTPIsDelivered(t *testing.T) {
	t.Parallel()
	w := newMailEnv(t)
	archive := w.startMailServer("archive", 1, nil)
	stop := w.run()
	r := w.request("unsafe", "h1", 1)
	text := "MAIL FROM:<log@build.example.org>\r\nRCPT TO:<a@archive.example.org>\r\n\r\nMessage-ID: <h1@x>\r\n\r\nhello\r\n"
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(text)), int64(len(text))
	if code, _, why := w.do(r); code != 202 {
		t.Fatalf("%d %s", code, why)
	}
	w.submit("unsafe", "h2", 1)
	w.awaitNotice("h2", "undeliverable")
	w.awaitEmpty()
	must(t, stop())
	if list := archive.Accepted(); len(list) != 1 || !strings.HasSuffix(list[0].Content, "\r\nMessage-ID: <h1@x>\r\n\r\nhello\r\n") {
		t.Errorf("%+v", list)
	}
}

// Clients repeat mails until they are accepted, while the process is killed several times.
func TestKilledAgainAndAgainEveryMailIsAnsweredOnce(t *testing.T) {
	t.Parallel()
	w := newMailEnv(t)
	archive, senders := w.startMailServer("archive", 1, nil), w.startMailServer("senders", 2, nil)
	cmd := w.spawnMail()
	const clients, each = 4, 12
	var all sync.WaitGroup
	for c := range clients {
		all.Go(func() {
			for m := range each {
				w.sendUntilAccepted(fmt.Sprintf("m%d-%d", c, m), "a@archive.example.org", "b@archive.example.org")
			}
		})
	}
	for n := range 4 {
		waitFor(t, func() bool { return archive.Count()+senders.Count() >= 10*(n+1) })
		w.kill(cmd)
		cmd = w.spawnMail()
	}
	all.Wait()
	w.awaitEmpty()
	effects, notified := mailOutcomes(archive, senders)
	doubts := 0
	for c := range clients {
		for m := range each {
			for _, r := range []string{"a", "b"} {
				id := fmt.Sprintf("m%d-%d %s@archive.example.org", c, m, r)
				if effects[id] > 1 || notified[id] > 1 || effects[id]+notified[id] == 0 {
					t.Errorf("%s took effect %d times, and its sender was notified %d times", id, effects[id], notified[id])
				}
				doubts += notified[id]
			}
		}
	}
	t.Logf("%d mails, %d in doubt", len(effects), doubts)
}

func TestInvalidMailSettingsAreNamed(t *testing.T) {
	t.Parallel()
	w := newMailEnv(t)
	cfg, err := ParseConfig(w.config(), w.env)
	must(t, err)
	for _, c := range []struct{ old, new, want string }{
		{`kind = "archives"`, `kind = "arks"`, "mail.partner[0] (arks).kind"},
		{`tls = "off"`, "tls = \"required\"\nca = \"/nowhere\"", "mail.partner[0] (archives).ca"},
		{`tls = "off"`, "tls = \"required\"\nuser = \"a\"\npassword_file = \"/nowhere\"", "mail.partner[0] (archives).password_file"},
		{`remember_s = 60`, "certificate = \"/nowhere\"\nkey = \"/nowhere\"", "mail.front.certificate"},
		{`remember_s = 60`, "connections = 200", "mail.front.connections"},
		{`class = "unsafe"`, `class = "gold"`, "mail.route[0] (@archive.example.org).class"},
		{`tenant = "core"`, `tenant = "nobody"`, "mail.route[0] (@archive.example.org).tenant"},
	} {
		f, err := operator.Parse(strings.Replace(w.operatorFile(), c.old, c.new, 1))
		must(t, err)
		if _, err := ReadMail(f.Mail, cfg); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", c.new, err, c.want)
		}
	}
}
