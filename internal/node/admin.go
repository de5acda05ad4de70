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
	defaultSocketName = "curlewmux.sock" // default name of the operators' socket in the state folder
	queueScanLimit    = 1000             // oldest open messages that are scanned for their destinations
	queueReplyTimeout = 2 * time.Second
)

// figuresParts are the components of a node that publishes the figures of its ledger.
type figuresParts struct {
	cache *figures.Cache
}

// assembleFigures creates the cache of figures if a ledger is kept, and adds its pages to the HTTP front if configured.
func (n *Node) assembleFigures(settings *httpfront.Settings) {
	if n.cfg.Ledger == nil {
		return
	}
	n.figures = &figuresParts{cache: figures.New(n, n.host.Now)}
	n.figures.cache.Counters = n.counters
	if n.cfg.Ledger.HTTP {
		settings.Pages = map[string]func() httpfront.Page{
			"/-/ledger":  func() httpfront.Page { return figuresPage(n.figures.cache.JSON, figures.ContentTypeJSON) },
			"/-/metrics": func() httpfront.Page { return figuresPage(n.figures.cache.Metrics, figures.ContentTypeMetrics) },
		}
	}
}

// figuresPage returns a page, or one without text if the snapshot could not be taken.
func figuresPage(render func() ([]byte, error), contentType string) httpfront.Page {
	text, err := render()
	if err != nil {
		return httpfront.Page{Again: figures.MaxAge}
	}
	return httpfront.Page{Text: text, Type: contentType}
}

// openAdmin opens the operators' socket if there is anything to query.
func (n *Node) openAdmin() (err error) {
	name := ""
	if n.undelivered != nil {
		name = n.undelivered.settings.socket
	}
	configured := name != ""
	if !configured && n.figures != nil {
		name = defaultSocketName
	}
	if name == "" || n.cfg.Dir != nil {
		return nil
	}
	switch n.admin, err = admin.Listen(filepath.Join(n.cfg.State, name), n.log); {
	case err == nil:
		return nil
	case configured:
		return fmt.Errorf("undelivered.socket: %w", err)
	}
	// The socket is not configured and the ledger works without it, so the start must not fail.
	n.log.Warn("the ledger can't be queried: the operators' socket can't be opened", "error", err)
	return nil
}

// startAdmin begins to serve the operators' socket.
func (n *Node) startAdmin() {
	if n.admin != nil {
		n.host.Go(func() { n.admin.Serve(n.handleCommand) })
	}
}

// closeAdmin closes the operators' socket.
func (n *Node) closeAdmin() {
	if n.admin == nil {
		return
	}
	if err := n.admin.Close(); err != nil {
		n.log.Warn("closing the operators' socket failed", "error", err)
	}
}

// handleCommand handles a command from the operators' socket.
func (n *Node) handleCommand(ctx context.Context, by admin.Peer, text json.RawMessage, reply func(any) error) error {
	var request figures.Request
	if err := json.Unmarshal(text, &request); err != nil {
		return fmt.Errorf("%w: %w", redeliver.ErrRequest, err)
	}
	switch request.Command {
	case figures.CommandLedger, figures.CommandMetrics:
		if n.figures == nil {
			return errNoLedger
		}
		if request.Command == figures.CommandLedger {
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
		queues, err := n.destinationQueues()
		if err != nil {
			return err
		}
		return reply(queues)
	}
	if n.undelivered == nil {
		return errors.New("no undelivered messages are kept: the operator's file has no [undelivered]")
	}
	return n.handleUndeliveredCommand(ctx, by, text, reply)
}

var errNoLedger = errors.New("no books are kept: the operator's file has no [ledger]")

// destinationQueues lists the destinations of open messages. It reads them on the driver's goroutine.
func (n *Node) destinationQueues() (*figures.QueuesReply, error) {
	type backlog struct {
		list []engine.DestinationBacklog
		more bool
	}
	reply := n.host.NewInbox()
	if !n.driver.Do(func() {
		list, more := n.driver.Engine().Backlog(queueScanLimit)
		reply.Put(backlog{list, more})
	}) {
		return nil, errors.New("the dispatcher is stopping")
	}
	list := reply.Take(nil, n.host.Now().Add(queueReplyTimeout))
	reply.Close()
	if len(list) == 0 {
		return nil, errors.New("the dispatcher does not answer")
	}
	result := list[0].(backlog)
	out := &figures.QueuesReply{Queues: []figures.DestinationQueue{}, Incomplete: result.more}
	for _, destination := range result.list {
		out.Queues = append(out.Queues, figures.DestinationQueue{
			Destination: destination.Destination, OldestSeconds: float64(destination.OldestAge) / float64(control.Second), Condition: destination.Condition.String(),
		})
	}
	return out, nil
}
