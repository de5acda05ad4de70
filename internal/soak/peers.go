package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"curlewmux/internal/standin/discovery"
	"curlewmux/internal/standin/faultproxy"
	"curlewmux/internal/standin/partner"
)

const (
	destinations = 3
	endpoints    = 2 // of each destination
	maxBatch     = 10
	maxWork      = 40 * time.Millisecond // of a call at an endpoint

	batchKind  = "archives" // endpoints of this kind take batches
	singleKind = "hooks"
	tenant     = "core"
)

// discoveryFaults are the faults on the way to discovery. Its agent answers at once, so no response is late.
var discoveryFaults = []faultproxy.Fault{
	faultproxy.CutResponse, faultproxy.CopyAtOnce, faultproxy.LateCopy, faultproxy.ResetInResponse,
}

// startPeers starts discovery and the endpoints, each behind a proxy. The last proxy is that of discovery.
func (r *run) startPeers() (err error) {
	if r.agent, err = discovery.Start(); err != nil {
		return err
	}
	for dest := 1; dest <= destinations; dest++ {
		if err := r.startDestination(dest); err != nil {
			return err
		}
	}
	_, err = r.startProxy(faultproxy.Settings{
		Target: r.agent.Addr(), Seed: r.settings.Seed, Rate: r.faultRate / 2, Faults: discoveryFaults,
	})
	return err
}

func (r *run) startProxy(s faultproxy.Settings) (addr string, err error) {
	p, err := faultproxy.New(s)
	if err != nil {
		return "", err
	}
	r.proxies = append(r.proxies, p)
	return p.Addr(), nil
}

func (r *run) discoveryAddr() string { return r.proxies[len(r.proxies)-1].Addr() }

// startDestination starts the endpoints of a destination and lists them. Those of the first one take batches.
func (r *run) startDestination(dest int) error {
	kind, batch := singleKind, 1
	if dest == 1 {
		kind, batch = batchKind, maxBatch
	}
	p := partner.New(partner.Options{Batch: batch, KeyMemory: time.Minute})
	r.partners = append(r.partners, p)
	for n := range endpoints {
		number := uint64(10*dest + n)
		id := fmt.Sprint("e", number)
		endpoint, err := p.Endpoint(id, r.script(rand.New(rand.NewPCG(r.settings.Seed, number)), n == 0))
		if err != nil {
			return err
		}
		addr, err := r.startProxy(faultproxy.Settings{
			Target: endpoint.Addr(), Seed: r.settings.Seed*100 + number, Rate: r.faultRate, Responded: r.responded,
		})
		if err != nil {
			return err
		}
		r.agent.Tell(discovery.Member{ID: id, HostPort: addr, Locality: "west", Flavor: kind, Cell: dest, Phase: discovery.Active, Size: 1000})
	}
	return nil
}

// script carries out most calls and refuses some.
func (r *run) script(random *rand.Rand, mayHang bool) partner.Script {
	var mu sync.Mutex
	return func(call *partner.Request) partner.Reply {
		if mayHang && r.hanging.Load() {
			return partner.Reply{Instead: partner.Hang}
		}
		mu.Lock()
		draw, delay := random.IntN(20), time.Duration(random.Int64N(int64(maxWork)))
		mu.Unlock()
		switch draw {
		case 0:
			return partner.Reply{Delay: delay, Status: http.StatusServiceUnavailable}
		case 1:
			return partner.Reply{Delay: delay, Status: http.StatusInternalServerError}
		case 2:
			if !call.Batch {
				return partner.Reply{Delay: delay, Status: http.StatusGatewayTimeout}
			}
		}
		for _, m := range call.Messages {
			r.edit(m.ID, func(m *message) { m.runs++ })
		}
		return partner.Reply{Delay: delay, Ran: true}
	}
}

// responded records the messages that a response has delivered: one by the status line, those of a batch by all of it.
func (r *run) responded(e faultproxy.Exchange) {
	if e.Status != http.StatusOK {
		return
	}
	delivered := func(m *message) { m.delivered = true }
	if !strings.HasSuffix(e.Request.URL.Path, ":batch") {
		r.edit(e.Request.Header.Get("X-Trace-Id"), delivered)
		return
	}
	var items []struct{ ID string }
	if !e.Whole || json.Unmarshal(e.Body, &items) != nil {
		return
	}
	for _, one := range items {
		r.edit(one.ID, delivered)
	}
}
