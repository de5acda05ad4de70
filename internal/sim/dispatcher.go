package sim

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"time"

	"curlewmux/internal/host"
	"curlewmux/internal/journal/memdir"
	"curlewmux/internal/judge"
	"curlewmux/internal/node"
	"curlewmux/internal/vnet"
	"curlewmux/ledger"
)

const clientPort = 8000

// Dispatcher is one machine with the real dispatcher on it, over all its processes.
type Dispatcher struct {
	f        *Farm
	n        int
	name     string
	zone     int
	m        *vnet.Machine
	agent    *agent
	p        *vnet.Process // nil: none
	node     *node.Node
	ready    bool          // it has said so since its start
	stops    bool          // SIGTERM was sent
	down     bool          // it is to stay down
	lost     bool          // the machine is off
	paused   bool          // its process is stopped
	pausedAt time.Duration // until then it last was
	err      error
	ended    bool // Run came back
	booted   time.Duration
	starts   int
	probe    *vnet.Script

	// What a process of it has when it has nothing to do.
	baseGoroutines, baseDescriptors int

	diskFault func(memdir.Op) memdir.Fault
	losses    []time.Duration // of the machine
	unseen    []time.Duration // steps of the wall clock that no process could see
	stepped   time.Duration
	wrong     time.Duration    // when an error was put into the books that is not found yet; -1: it was found
	scrapes   int              // so far
	shown     *ledger.Snapshot // newest
	final     *ledger.Snapshot // when all had ended
	anew      bool             // an epoch has begun anew
	wrote     time.Duration    // when a process of it last wrote to its journal
	blind     time.Duration    // from such a write until the next process was ready, in all: nobody knows more of a time without a clock
	muted     int              // faults that keep notices from coming through
	heardAt   time.Duration    // when the last of these was over
}

func newDispatcher(f *Farm, n int) *Dispatcher {
	d := &Dispatcher{f: f, n: n, name: fmt.Sprintf("d%d", n), zone: n % len(f.site.Zones)}
	d.m = f.w.Machine(d.name)
	d.m.Limit(vnet.Limits{Descriptors: f.site.Sockets})
	d.agent = newAgent(f, d)
	return d
}

// config is what the platform's file says now.
func (d *Dispatcher) config() *node.Config {
	text := d.f.site.config(d.f, d, d.agent.addr())
	cfg, err := node.ParseConfig(text, func(name string) string {
		if name == "EDGE_STATE" {
			return "folder"
		}
		return ""
	})
	if err != nil {
		panic(fmt.Sprintf("%v in %s", err, text))
	}
	return cfg
}

// boot starts the dispatcher's process.
func (d *Dispatcher) boot() {
	d.starts++
	d.err, d.ended, d.ready, d.stops, d.lost, d.wrong = nil, false, false, false, false, 0
	d.booted = d.f.w.Now()
	if d.starts > 1 {
		d.blind += d.booted - d.wrote
	}
	d.f.tell(judge.Started{Dispatcher: d.name})
	d.f.tell(judge.Listed{Dispatcher: d.name, Whole: true, Members: members(whole(d.f.first))})
	if members, complete := d.agent.current(); complete {
		d.f.tell(judge.Listed{Dispatcher: d.name, Whole: true, Members: members})
	}
	d.agent.boots()
	cfg := d.config()
	cfg.Interceptors = d.f.parts(d)
	cfg.Sync, cfg.SyncInterval = d.f.site.Sync, 200*ms
	cfg.Ledger = d.ledgerOf()
	if change := d.f.opt.Break.Config; change != nil {
		change(cfg)
	}
	d.m.Disk().Fault = d.fault
	d.p = d.m.Boot(func(h host.Host) {
		cfg.Dir = d.m.Process().Folder()
		if wrap := d.f.opt.Break.Dir; wrap != nil {
			cfg.Dir = wrap(d, cfg.Dir)
		}
		if wrap := d.f.opt.Break.Host; wrap != nil {
			h = wrap(d, h)
		}
		h = &watched{h, d}
		d.node = node.New(h, cfg, slog.New(&logs{d: d}))
		d.err = d.node.Run()
		d.ended = true
	})
	p := d.p
	d.f.w.After(10*ms, func() { d.ask(p) })
	if cfg.Ledger != nil {
		d.scrape(p)
	}
}

func (d *Dispatcher) fault(op memdir.Op) memdir.Fault {
	if d.diskFault != nil {
		return d.diskFault(op)
	}
	return memdir.Fault{}
}

// ask asks whether it is ready, as a front does, until it says so.
func (d *Dispatcher) ask(p *vnet.Process) {
	if d.p != p || p.Dead() {
		return
	}
	d.f.clients.Process().Connect(d.m.Addr(clientPort), 200*ms, func(c *vnet.Conn, err error) {
		again := func() { d.f.w.After(20*ms, func() { d.ask(p) }) }
		if err != nil {
			again()
			return
		}
		done := false
		finish := func(ok bool) {
			if done {
				return
			}
			done = true
			c.Close()
			switch {
			case !ok:
				again()
			case d.p == p && !p.Dead() && !d.ready && !d.stops:
				d.ready = true
				if d.starts > 1 {
					d.blind += d.f.w.Now() - d.booted
				}
				d.f.tell(judge.Ready{Dispatcher: d.name})
				if d.starts == 1 {
					d.f.w.After(400*ms, func() { d.settle(p) })
				}
			}
		}
		c.Handle(vnet.Events{
			Data: func() {
				if h, ok := readHead(c.Unread()); ok {
					finish(h.status() == 200)
				}
			},
			End: func() { finish(false) }, Broken: func(error) { finish(false) },
		})
		c.Send([]byte("GET /-/ready HTTP/1.1\r\nHost: d\r\n\r\n"))
		d.f.w.After(400*ms, func() { finish(false) })
	})
}

// settle notes what an idle process has. No client comes before.
func (d *Dispatcher) settle(p *vnet.Process) {
	if d.p == p && !p.Dead() {
		d.baseGoroutines, d.baseDescriptors = p.Goroutines(), p.Descriptors()
	}
}

// term is SIGTERM, after which it ends by itself or is killed.
func (d *Dispatcher) term(kill time.Duration, back time.Duration) {
	if d.p == nil || d.p.Dead() || d.stops {
		return
	}
	d.stops = true
	d.f.tell(judge.Stopping{Dispatcher: d.name})
	p := d.p
	d.node.Stop()
	d.f.w.After(kill, func() {
		if d.p == p && !d.ended {
			d.f.count("killed after SIGTERM")
		}
		d.kill(p)
		d.f.w.After(back, func() { d.back(p) })
	})
}

// kill is SIGKILL of a process of it.
func (d *Dispatcher) kill(p *vnet.Process) {
	if d.p != p || d.p == nil {
		return
	}
	d.p, d.node, d.ready = nil, nil, false
	d.forgets()
	cause := judge.Killed
	if p.Exited() {
		cause = judge.Exited
	}
	d.f.tell(judge.Died{Dispatcher: d.name, Cause: cause})
	if !p.Dead() {
		d.m.Kill() // may not return
	}
}

// back starts it again where the process given was its last.
func (d *Dispatcher) back(*vnet.Process) {
	if d.p != nil || d.down || d.m.Process() != nil {
		return
	}
	d.boot()
}

// check looks after a process that ended by itself.
func (d *Dispatcher) check() {
	if d.p == nil || !d.p.Dead() {
		return
	}
	p := d.p
	d.p, d.node, d.ready = nil, nil, false
	d.forgets()
	cause := judge.Killed
	switch {
	case d.ended && d.err == nil && d.stops:
		cause = judge.Exited
	case errors.Is(d.err, memdir.ErrCrashed) || !d.ended: // in an operation of its disk
	case d.diskFault != nil:
		d.f.count("ended on a failing disk")
	default:
		cause = judge.Exited
		d.f.violation("no process crashes", "%s ended by itself: %v", d.name, d.err)
	}
	d.f.tell(judge.Died{Dispatcher: d.name, Cause: cause})
	if !d.stops {
		d.f.w.After(600*ms, func() { d.back(p) })
	}
}

// watched is a dispatcher's host, which tells of dials that failed.
type watched struct {
	host.Host
	d *Dispatcher
}

func (w *watched) Dial(addr string, limit time.Duration, abort *host.Abort) (net.Conn, error) {
	c, err := w.Host.Dial(addr, limit, abort)
	if err != nil && !errors.Is(err, host.ErrAborted) {
		for _, p := range w.d.f.places {
			if p.m.Addr(endpointPort) == addr {
				w.d.f.tell(judge.NoConnection{Dispatcher: w.d.name, Endpoint: p.now.ID})
			}
		}
	}
	return c, err
}

// logs is where a dispatcher's log goes: into the trace.
type logs struct{ d *Dispatcher }

func (l *logs) Enabled(context.Context, slog.Level) bool { return l.d.f.noting() }

func (l *logs) Handle(_ context.Context, r slog.Record) error {
	var b strings.Builder
	r.Attrs(func(a slog.Attr) bool {
		fmt.Fprintf(&b, " %s=%v", a.Key, a.Value)
		return true
	})
	l.d.f.w.Note("log %s: %s%s", l.d.name, r.Message, b.String())
	return nil
}

func (l *logs) WithAttrs([]slog.Attr) slog.Handler { return l }
func (l *logs) WithGroup(string) slog.Handler      { return l }

// mutedAt tells that a notice that was due at a moment may not have come through.
func (d *Dispatcher) mutedAt(due time.Duration) bool {
	return d.muted > 0 || d.heardAt > 0 && due < d.heardAt+4*time.Second
}

// mute begins (1) or ends (-1) a fault that keeps notices from coming through.
func (d *Dispatcher) mute(by int) {
	if d.muted += by; d.muted == 0 {
		d.heardAt = d.f.w.Now()
	}
}

// forgets is called when a process ends, after which none is stopped: a step of the wall clock just before can't have been recorded.
func (d *Dispatcher) forgets() {
	d.paused = false
	if now := d.f.w.Now(); d.stepped > 0 && now-d.stepped < 50*ms {
		d.unseen = append(d.unseen, now)
	}
}
