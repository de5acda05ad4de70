package sim

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"curlewmux/internal/host"
	"curlewmux/membership"
	"curlewmux/membership/endpointslice"
)

// sliceTiming are a source's times, for seeds that last 45 s.
func sliceTiming() endpointslice.Timing {
	return endpointslice.Timing{
		WatchDuration: 5 * time.Second, WatchIdleTimeout: 2500 * ms, InitialListIdleTimeout: 2 * time.Second, PageTimeout: 2 * time.Second, MinBackoff: 50 * ms, MaxBackoff: time.Second,
		StreamingRetryInterval: 8 * time.Second, EmptyListRecheck: 200 * ms,
	}
}

// sliceGrace and sliceHold are a partner's Grace and EmptyHold.
const (
	sliceGrace = 300 * ms
	sliceHold  = 4 * time.Second
)

// bootSlices starts an agent that reads EndpointSlices: the sources and the table are the product's own, what stands
// between them and the dispatcher is this package's.
func (a *agent) bootSlices() {
	f := a.f
	a.life++
	life := a.life
	a.complete = false
	a.view = newView(a)
	a.feed.forget()
	a.m.Boot(func(h host.Host) { a.runSlices(h, life) })
	a.listen()
	f.count("an agent starts")
}

// runSlices is the agent's process.
func (a *agent) runSlices(h host.Host, life int) {
	f := a.f
	fatal := func(err error) {
		if err != nil {
			panic(fmt.Sprintf("the agent of %s: %v", a.d.name, err))
		}
	}
	client, err := endpointslice.NewClientWithHost(h, endpointslice.Access{Server: "http://" + f.api.m.Addr(apiPort)})
	fatal(err)
	var sources []*endpointslice.Source
	var names []string
	for _, t := range f.dests {
		s, err := endpointslice.New(client, endpointslice.Partner{
			Name: fmt.Sprintf("p%d", t.n), Namespace: "default", Selector: fmt.Sprintf("dest=%d", t.n), Destination: t.n, Kind: t.kind.Name,
			Weight: t.site.Rate, Grace: sliceGrace, EmptyHold: sliceHold,
		}, slog.New(&logs{d: a.d}))
		fatal(err)
		s.ConfigureSimulation(sliceTiming(), stream(f.seed, "source "+a.d.name, life*100+t.n).next)
		sources, names = append(sources, s), append(names, s.Name())
	}
	table, err := membership.New(membership.Settings{Sources: names})
	fatal(err)
	inbox := h.NewInbox()
	type told struct {
		name string
		u    membership.Update
	}
	for _, s := range sources {
		h.Go(func() { _ = s.Run(context.Background(), func(u membership.Update) { inbox.Put(told{s.Name(), u}) }) })
	}
	for {
		for _, v := range inbox.Take(nil, time.Time{}) {
			t := v.(told)
			changes, refused, err := table.Apply(h.Now(), t.name, t.u)
			fatal(err)
			for _, r := range refused {
				f.violation("leftovers", "the agent of %s refuses endpoint %s: %v", a.d.name, r.ID, r.Err)
			}
			for _, c := range changes {
				a.feed.log = append(a.feed.log, entry{
					ID: c.ID, HostPort: c.Addr, Locality: c.Zone, Flavor: c.Kind, Cell: c.Dest, Phase: c.Phase.String(), Size: c.Weight,
				})
				a.feed.at = append(a.feed.at, f.w.Now())
			}
			if !a.complete && table.Complete() {
				a.complete = true
			}
			a.news()
		}
	}
}

// forget begins the feed anew, with revisions behind all of before.
func (d *feed) forget() {
	d.base += len(d.log) + 1000
	d.log, d.at = nil, nil
}

// killSlices ends an agent's process. Its connections are reset.
func (a *agent) killSlices() {
	for _, k := range append([]*aconn(nil), a.conns...) {
		k.over, k.waits = true, false
		if k.timer != nil {
			k.timer.Stop()
		}
	}
	a.conns = nil
	a.complete = false
	a.m.Kill()
}

// same checks that the agent's list has come to what the API server has, though all that happened.
func (a *agent) same() {
	f := a.f
	usable := map[string]bool{}
	var ids []string
	for _, l := range f.api.slices {
		for _, e := range l.entries {
			if was, ok := usable[e.uid]; !ok {
				usable[e.uid] = e.ready && !e.terminating
				ids = append(ids, e.uid)
			} else {
				usable[e.uid] = was && e.ready && !e.terminating
			}
		}
	}
	has := map[string]string{}
	for _, e := range whole(a.feed.log) {
		has[uidOf(e.ID)] = e.Phase
	}
	for _, id := range ids {
		if a.view.ended[id] {
			usable[id] = false
		}
		if (has[id] == "active") != usable[id] {
			f.violation("leftovers", "%s's agent says that %s is %q; usable in the API server's slices: %t", a.d.name, id, has[id], usable[id])
		}
	}
	for _, e := range whole(a.feed.log) {
		if _, ok := usable[uidOf(e.ID)]; !ok && e.Phase == "active" {
			f.violation("leftovers", "%s's agent says that %s is active, which the API server has not", a.d.name, e.ID)
		}
	}
}
