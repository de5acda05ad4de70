package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/admin"
	"curlewmux/internal/figures"
	httpfront "curlewmux/internal/front/http"
	"curlewmux/internal/redeliver"
)

const (
	defaultSocketName = "curlewmux.sock" // in the state folder, unless set otherwise
	queueScanLimit    = 1000             // messages that are looked at for the oldest of each destination
	queueReplyTimeout = 2 * time.Second
)

// figuresParts are what a node has beside the rest where figures are shown.
type figuresParts struct {
	cache *figures.Cache
}

// assembleFigures makes what shows the books, where they are kept.
func (n *Node) assembleFigures(set *httpfront.Settings) {
	if n.cfg.Ledger == nil {
		return
	}
	n.figures = &figuresParts{cache: figures.New(n, n.host.Now)}
	if n.cfg.Ledger.HTTP {
		set.Pages = map[string]func() httpfront.Page{
			"/-/ledger":  func() httpfront.Page { return figuresPage(n.figures.cache.JSON, figures.ContentTypeJSON) },
			"/-/metrics": func() httpfront.Page { return figuresPage(n.figures.cache.Metrics, figures.ContentTypeMetrics) },
		}
	}
}

func figuresPage(text func() ([]byte, error), kind string) httpfront.Page {
	t, err := text()
	if err != nil {
		return httpfront.Page{Again: figures.MaxAge}
	}
	return httpfront.Page{Text: t, Type: kind}
}

// openAdmin makes the operators' socket, if there is anything to be asked there.
func (n *Node) openAdmin() (err error) {
	name := ""
	if n.undelivered != nil {
		name = n.undelivered.settings.socket
	}
	asked := name != ""
	if !asked && n.figures != nil {
		name = defaultSocketName
	}
	if name == "" || n.cfg.Dir != nil {
		return nil
	}
	switch n.admin, err = admin.Listen(filepath.Join(n.cfg.State, name), n.log); {
	case err == nil:
		return nil
	case asked:
		return fmt.Errorf("undelivered.socket: %w", err)
	}
	// Nobody asked for a socket, and books are kept without one as well: a start must not fail for it.
	n.log.Warn("the books can't be asked for: there is no operators' socket", "error", err)
	return nil
}

// startAdmin answers operators from now on.
func (n *Node) startAdmin() {
	if n.admin != nil {
		n.host.Go(func() { n.admin.Serve(n.handleCommand) })
	}
}

func (n *Node) closeAdmin() {
	if n.admin == nil {
		return
	}
	if err := n.admin.Close(); err != nil {
		n.log.Warn("the operators' socket did not close well", "error", err)
	}
}

// handleCommand answers a command from the socket.
func (n *Node) handleCommand(ctx context.Context, by admin.Peer, text json.RawMessage, reply func(any) error) error {
	var r figures.Request
	if err := json.Unmarshal(text, &r); err != nil {
		return fmt.Errorf("%w: %w", redeliver.ErrRequest, err)
	}
	switch r.Command {
	case figures.CommandLedger, figures.CommandMetrics:
		if n.figures == nil {
			return errNoLedger
		}
		if r.Command == figures.CommandLedger {
			page, err := n.figures.cache.JSON()
			if err != nil {
				return err
			}
			return reply(admin.Raw(page))
		}
		page, err := n.figures.cache.Metrics()
		if err != nil {
			return err
		}
		return reply(string(page))
	case figures.CommandQueues:
		h, err := n.destinationQueues()
		if err != nil {
			return err
		}
		return reply(h)
	}
	if n.undelivered == nil {
		return errors.New("no undelivered messages are kept: the operator's file has no [undelivered]")
	}
	return n.handleUndeliveredCommand(ctx, by, text, reply)
}

var errNoLedger = errors.New("no books are kept: the operator's file has no [ledger]")

func (n *Node) destinationQueues() (*figures.QueuesReply, error) {
	type seen struct {
		list []engine.DestinationBacklog
		more bool
	}
	reply := n.host.NewInbox()
	if !n.driver.Do(func() {
		list, more := n.driver.Engine().Backlog(queueScanLimit)
		reply.Put(seen{list, more})
	}) {
		return nil, errors.New("the dispatcher is stopping")
	}
	list := reply.Take(nil, n.host.Now().Add(queueReplyTimeout))
	reply.Close()
	if len(list) == 0 {
		return nil, errors.New("the dispatcher does not answer")
	}
	s := list[0].(seen)
	out := &figures.QueuesReply{Queues: []figures.DestinationQueue{}, Incomplete: s.more}
	for _, h := range s.list {
		out.Queues = append(out.Queues, figures.DestinationQueue{
			Destination: h.Destination, OldestSeconds: float64(h.OldestAge) / float64(control.Second), Condition: h.Condition.String(),
		})
	}
	return out, nil
}
