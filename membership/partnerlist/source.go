package partnerlist

import (
	"context"
	"log/slog"

	"curlewmux/internal/host"
	"curlewmux/membership"
)

// Source watches the list at one address for a membership table. It is a membership.Source.
type Source struct {
	addr string
	host host.Host
	log  *slog.Logger
}

var _ membership.Source = (*Source)(nil)

// NewSource makes a source for the list at addr (host:port).
func NewSource(h host.Host, addr string, log *slog.Logger) *Source {
	return &Source{addr: addr, host: h, log: log}
}

// Name implements membership.Source.
func (*Source) Name() string { return Name }

// Run implements membership.Source.
func (s *Source) Run(ctx context.Context, tell func(membership.Update)) error {
	w := NewWatch(s.host, s.addr, s.log)
	w.Start(func(l *List, err error) bool {
		if ctx.Err() == nil {
			tell(l.update(err))
		}
		return ctx.Err() == nil
	})
	<-ctx.Done()
	w.Close()
	return ctx.Err()
}

// update is what a list, or the want of one, says to a membership table.
func (l *List) update(err error) membership.Update {
	if err != nil {
		return membership.Update{Kind: membership.Failed, Err: err}
	}
	u := membership.Update{Kind: membership.Changes, Endpoints: make([]membership.Endpoint, len(l.Entries))}
	if l.Complete {
		u.Kind = membership.FullList
	}
	for i := range l.Entries {
		u.Endpoints[i] = l.Entries[i].Endpoint()
	}
	return u
}
