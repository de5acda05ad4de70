package node

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"curlewmux/internal/host"
	"curlewmux/internal/operator"
	standin "curlewmux/internal/standin/mail"
	"curlewmux/internal/vnet"
)

var mailSeeds = flag.Int("mail-seeds", 120, "number of simulations of a dispatcher that accepts and delivers mail")

// mailSim is a dispatcher with its journal on a simulated machine, between simulated mail clients and mail servers.
type mailSim struct {
	*vnet.World
	t              *testing.T
	random         *rand.Rand
	mux            *vnet.Machine
	archive        *standin.Server
	senders        *standin.Server
	clients        host.Host
	node           *Node
	activeClients  int
	recipients     []string // each a mail's id and a recipient
	seed           uint64
	lastErrorReply string // last reply of the dispatcher with a 4xx or 5xx code
	kills          int
	restarts       int
	monitor        *ledgerMonitor
}

func newMailSim(t *testing.T, seed uint64) *mailSim {
	w := vnet.New(seed, vnet.Options{Watchdog: testTimeout})
	s := &mailSim{World: w, t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 5)), mux: w.Machine("mux")}
	s.clients = w.Machine("clients").Boot(nil)
	serve := func(name string, server *standin.Server) *standin.Server {
		server.LMTP, server.Extensions = true, []string{"PIPELINING", "8BITMIME"}[:s.random.IntN(3)]
		w.Machine(name).Boot(func(h host.Host) {
			server.Host = h
			l, err := h.Listen(":24")
			if err != nil {
				t.Error(err)
				return
			}
			server.Serve(l)
		})
		return server
	}
	faultySessions := s.random.IntN(5) // of every 8 sessions with the archive
	faults := map[int]*standin.Step{}
	s.monitor = &ledgerMonitor{t: t, name: fmt.Sprint("seed ", seed), sim: w, machine: s.mux, node: func() *Node { return s.node }}
	s.archive = serve("archive", &standin.Server{
		Script: func(st standin.Step) (a standin.Act) {
			f, known := faults[st.Session]
			if !known {
				if s.random.IntN(8) < faultySessions {
					stages := []standin.Stage{standin.Greeting, standin.Hello, standin.Mail, standin.Rcpt, standin.Data, standin.Final}
					f = &standin.Step{Stage: stages[s.random.IntN(len(stages))], Mail: s.random.IntN(4), Rcpt: fmt.Sprint("r", s.random.IntN(3))}
				}
				faults[st.Session] = f
			}
			if f == nil || f.Stage != st.Stage || st.Rcpt != "" && !strings.HasPrefix(st.Rcpt, f.Rcpt) {
				return a
			}
			return []standin.Act{{Say: "451 4.3.0 later"}, {Say: "550 5.1.1 no"}, {Say: "what?"}, {Drop: true}, {Silent: true}}[f.Mail]
		},
		Cuts: func(int) (c standin.Cut) {
			if s.random.IntN(8) < faultySessions {
				*[]*int{&c.Read, &c.Written}[s.random.IntN(2)] = 1 + s.random.IntN(1500)
			}
			return c
		},
	})
	s.senders = serve("senders", &standin.Server{})
	return s
}

// boot starts the dispatcher.
func (s *mailSim) boot() {
	s.restarts++
	const known = `{"revision":1,"complete":true,"members":[
		{"id":"archive","host_port":"archive:24","locality":"west","flavor":"archives","cell":1,"phase":"active","size":1000},
		{"id":"senders","host_port":"senders:24","locality":"west","flavor":"archives","cell":2,"phase":"active","size":1000}]}`
	text := fmt.Appendf(nil, `{"name":"n0","listen":":9000","discovery":"archive:9","seed":"8c1f30d27a5be964","known":%s,
		"limits":{"cores":1.0,"memory_mb":192,"sockets":256,"disk_mb":4},"settings":%s}`, known, fmt.Sprintf(settingsJSON, 60_000_000, 50))
	// No discovery runs here. The cached list counts without it where discovery has to be asked.
	text = bytes.Replace(text, []byte(`"tick":5000`), []byte(`"tick":5000,"membership-mode":"subscribe"`), 1)
	cfg, err := ParseConfig(text, func(name string) string { return map[string]string{"EDGE_STATE": "folder"}[name] })
	must(s.t, err)
	w := mailEnv{smtp: "mux:9025", lmtp: "mux:9024"}
	f, err := operator.Parse(w.operatorFile())
	must(s.t, err)
	must(s.t, cfg.ApplyOperatorFile(f))
	s.monitor.attach(cfg)
	s.mux.Boot(func(h host.Host) {
		cfg.Dir = s.mux.Process().Folder()
		s.node = New(h, cfg, discardLog())
		if err := s.node.Run(); err != nil {
			s.t.Error(err)
		}
	})
}

// runForAWhile starts the dispatcher and interrupts it after a random time, again and again until the clients have
// finished.
func (s *mailSim) runForAWhile() {
	s.boot()
	s.After(time.Duration(500+s.random.IntN(4000))*time.Millisecond, s.interrupt)
}

// interrupt kills or stops the dispatcher, unless the clients have finished, and restarts it.
func (s *mailSim) interrupt() {
	if s.activeClients == 0 {
		return
	}
	if s.random.IntN(3) == 0 {
		s.node.Stop()
	} else {
		s.kills++
		s.mux.Kill()
	}
	s.restart()
}

// restart starts the dispatcher again after a short time, once the old process has ended.
func (s *mailSim) restart() {
	s.After(time.Duration(10+s.random.IntN(300))*time.Millisecond, func() {
		if s.mux.Process() != nil {
			s.restart() // the old process is still stopping
			return
		}
		s.runForAWhile()
	})
}

// client sends mails and repeats each until all its recipients have a final reply.
func (s *mailSim) client(n int) {
	lmtp := s.random.IntN(2) == 0
	for m := range 4 + s.random.IntN(6) {
		id := fmt.Sprintf("m%d-%d", n, m)
		var left []string
		for r := range 1 + s.random.IntN(3) {
			left = append(left, fmt.Sprintf("r%d@archive.example.org", r))
			s.recipients = append(s.recipients, id+" "+left[r])
		}
		for try := 0; len(left) > 0; try++ {
			if try > 2000 {
				s.t.Errorf("seed %d: %s never gets a final reply; last error %q", s.seed, id, s.lastErrorReply)
				return
			}
			left = s.send(lmtp, id, left)
			s.clients.NewInbox().Take(nil, s.clients.Now().Add(time.Duration(20+s.random.IntN(400))*time.Millisecond))
		}
	}
}

// send makes one attempt and returns the recipients without a final reply.
func (s *mailSim) send(lmtp bool, id string, rcpts []string) (left []string) {
	addr, hello := "mux:9025", "EHLO"
	if lmtp {
		addr, hello = "mux:9024", "LHLO"
	}
	c, err := s.clients.Dial(addr, time.Second, &host.Abort{})
	if err != nil {
		return rcpts
	}
	defer c.Close()
	c.SetDeadline(s.clients.Now().Add(5 * time.Second))
	text := hello + " c.example.org\r\nMAIL FROM:<log@build.example.org>\r\n"
	for _, r := range rcpts {
		text += "RCPT TO:<" + r + ">\r\n"
	}
	text += "DATA\r\n"
	br := bufio.NewReader(c)
	reply := func() (string, bool) {
		for {
			line, err := br.ReadString('\n')
			if err != nil || len(line) < 4 {
				return "", false
			}
			if line[3] == ' ' {
				if line[0] > '3' {
					s.lastErrorReply = line
				}
				return line, true
			}
		}
	}
	io.WriteString(c, text)
	for range 3 + len(rcpts) {
		if line, ok := reply(); !ok || line[0] != '2' {
			return rcpts
		}
	}
	if line, ok := reply(); !ok || line[:3] != "354" {
		return rcpts
	}
	body := "Message-ID: <" + id + "@build.example.org>\r\n\r\nbody of " + id + "\r\n.\r\n"
	if s.random.IntN(6) == 0 { // the client breaks off before or after the final dot
		io.WriteString(c, body[:len(body)-s.random.IntN(4)])
		return rcpts
	}
	io.WriteString(c, body)
	for i, r := range rcpts {
		if i > 0 && !lmtp {
			break
		}
		line, ok := reply()
		switch {
		case ok && (line[0] == '2' || strings.Contains(line, "came before")):
		case ok && line[0] == '5':
			s.t.Errorf("%s: %s", id, line)
		default:
			left = append(left, r)
		}
	}
	if !lmtp && len(left) > 0 {
		return rcpts
	}
	return left
}

// A dispatcher is killed and stopped at random moments, clients break connections off, and the archive fails at every
// stage. Each mail must take effect once or its sender must be notified, and none may take effect twice.
func TestEveryMailIsAnsweredOnceOnASimulatedMachine(t *testing.T) {
	t.Parallel()
	mails, sessions, kills, restarts, doubts := 0, 0, 0, 0, 0
	for seed := range simulationCount(*mailSeeds) {
		s := newMailSim(t, seed)
		for n := range 1 + s.random.IntN(4) {
			s.activeClients++
			s.After(1500*time.Millisecond, func() {
				s.clients.Go(func() {
					s.client(n)
					s.activeClients--
				})
			})
		}
		s.runForAWhile()
		var effects, notified map[string]int
		answered := func() bool {
			if s.activeClients > 0 {
				return false
			}
			effects, notified = mailOutcomes(s.archive, s.senders)
			for _, m := range s.recipients {
				if effects[m]+notified[m] == 0 {
					return false
				}
			}
			return s.monitor.latest != nil && int(s.monitor.latest.Total.Accepted) >= len(s.recipients)
		}
		looked := time.Duration(0)
		err := s.Run(2*time.Hour, func() bool {
			if s.Now()-looked < time.Second {
				return false
			}
			looked = s.Now()
			return answered()
		})
		if err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		for _, m := range s.recipients {
			if effects[m] > 1 || notified[m] > 1 || effects[m]+notified[m] == 0 {
				t.Errorf("seed %d: %s took effect %d times, and its sender was notified %d times", seed, m, effects[m], notified[m])
			}
			doubts += notified[m]
		}
		mails, sessions, kills, restarts = mails+len(s.recipients), sessions+s.archive.Sessions(), kills+s.kills, restarts+s.restarts
		s.World.Close()
		if t.Failed() {
			return
		}
	}
	t.Logf("%d mails, %d reported as failed, %d sessions with the archive, %d starts, %d kills", mails, doubts, sessions, restarts, kills)
	if simulationCount(*mailSeeds) >= 120 && (kills == 0 || restarts == kills || doubts == 0 || doubts == mails) {
		t.Error("not every kind of event occurred")
	}
}
