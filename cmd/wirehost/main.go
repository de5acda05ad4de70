// Command wirehost hosts decision modules on the batch wire: events on
// standard input, one flushed reply for each batch on standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"curlewmux/control"
	"curlewmux/internal/wire"
	"curlewmux/membership/subscription"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// host is one instance with the events gathered for it in this batch.
type host struct {
	who    uint16
	module *control.Dispatcher
	events []control.Event
	acts   []control.Action
	queued bool

	list *subscription.Subscription // nil where changes of the list come unasked
	rng  *rand.Rand                 // of the subscription
}

// askMark is the mark of the timer at which to ask for changes of the list. The module's own are far below.
const askMark = 1 << 63

// serve answers batches until the input ends.
func serve(in io.Reader, out io.Writer) error {
	dec := wire.NewDecoder(bufio.NewReaderSize(in, 1<<16))
	w := bufio.NewWriterSize(out, 1<<16)
	hosts := make(map[uint16]*host)
	var reply wire.Reply
	for {
		batch, err := dec.Next()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply.Reset()
		answer(hosts, batch, &reply)
		if err := reply.Write(w, batch.Seq); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("reply to batch %d: %w", batch.Seq, err)
		}
	}
}

// answer hands each instance its events, in the order instances appear.
func answer(hosts map[uint16]*host, batch wire.Batch, reply *wire.Reply) {
	var order []*host
	for i := range batch.Records {
		r := &batch.Records[i]
		switch r.Kind {
		case wire.Exit:
			if h := hosts[r.Instance]; h != nil {
				h.module, h.events = nil, h.events[:0]
			}
		case wire.Attach:
			h := &host{who: r.Instance}
			if old := hosts[r.Instance]; old != nil {
				old.module = nil
			}
			hosts[r.Instance] = h
			if err := h.start(r); err != nil {
				reply.Fatal(r.Instance, err.Error())
			}
			h.ask(batch.Now, reply)
		case wire.Decision:
			h := hosts[r.Instance]
			if h == nil || h.module == nil {
				continue
			}
			if h.subscription(&r.Event, batch.Now, reply) {
				continue
			}
			h.events = append(h.events, r.Event)
			if !h.queued {
				h.queued = true
				order = append(order, h)
			}
		}
	}
	for _, h := range order {
		h.queued = false
		if h.module == nil {
			continue
		}
		if fault := step(h, batch.Now); fault != nil {
			h.module = nil
			reply.Fatal(h.who, fault.Error())
			continue
		}
		for _, a := range h.acts {
			reply.Add(h.who, a)
		}
	}
}

// start makes the instance's module, and its subscription where the site has discovery asked.
func (h *host) start(r *wire.Record) error {
	s, err := wire.ParseSettings(r.Settings)
	if err != nil {
		return err
	}
	if wire.Subscribes(r.Settings) {
		h.rng = rand.New(rand.NewPCG(r.Seed, 1))
		h.list = &subscription.Subscription{Random: h.rng.Float64}
	}
	s.RiskAfter = wire.RiskAfter
	h.module, err = control.New(s, r.Seed)
	return err
}

// subscription keeps the subscription by an event, and tells whether that was all that the event is for.
func (h *host) subscription(e *control.Event, now control.Time, reply *wire.Reply) bool {
	switch {
	case h.list == nil:
		return false
	case e.Kind == control.Tick && e.TimerID == askMark:
		h.ask(now, reply)
		return true
	case e.Kind != control.List || e.ListKind == control.ListCached:
		return false
	case e.ListKind == control.ListFailed:
		at := h.list.CallFailed(clock(now))
		reply.Add(h.who, control.Action{Kind: control.Timer, After: control.Time(at.Sub(clock(now)).Microseconds()) + 1, TimerID: askMark})
	default:
		h.list.CallSucceeded()
	}
	return false
}

// ask asks for changes of the list if that is due.
func (h *host) ask(now control.Time, reply *wire.Reply) {
	if h.list != nil && h.module != nil && h.list.StartCall(clock(now)) {
		reply.Track(h.who)
	}
}

// clock is an instant of the wire's clock.
func clock(now control.Time) time.Time { return time.UnixMicro(int64(now)) }

// step runs one round; a panic in the module becomes an error with its text.
func step(h *host, now control.Time) (fault error) {
	defer func() {
		if p := recover(); p != nil {
			fault = fmt.Errorf("panic: %v", p)
		}
	}()
	h.acts = h.module.Step(now, h.events, h.acts[:0])
	h.events = h.events[:0]
	return nil
}
