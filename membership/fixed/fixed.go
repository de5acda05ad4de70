// Package fixed provides endpoints from a fixed list in the settings. The list holds partners that no directory lists. It
// can also override another source: an entry with the phase `leaving` takes an endpoint out of use, since the worst claim
// counts. When the entry is removed, the claims of the other sources decide again.
package fixed

import (
	"context"

	"curlewmux/membership"
)

// Source reports a fixed list once. It implements membership.Source.
type Source struct{ list []membership.Endpoint }

// New creates a source. The endpoints must have been validated.
func New(list []membership.Endpoint) *Source { return &Source{list} }

// Name returns "fixed".
func (*Source) Name() string { return "fixed" }

// Run implements membership.Source.
func (s *Source) Run(ctx context.Context, tell func(membership.Update)) error {
	tell(membership.Update{Kind: membership.Replacement, Endpoints: s.list})
	<-ctx.Done()
	return ctx.Err()
}
