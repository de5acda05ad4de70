// Package fixed is the source of endpoints that are written down: partners outside of any directory, and the operator's
// own word on an endpoint of another source (`leaving` takes it out of use, since the worst claim counts, and without the
// entry it is what the other sources say again).
package fixed

import (
	"context"

	"curlewmux/membership"
)

// Source tells of a list once. It is a membership.Source.
type Source struct{ list []membership.Endpoint }

// New makes a source; the endpoints must have been checked.
func New(list []membership.Endpoint) *Source { return &Source{list} }

// Name is fixed.
func (*Source) Name() string { return "fixed" }

// Run implements membership.Source.
func (s *Source) Run(ctx context.Context, tell func(membership.Update)) error {
	tell(membership.Update{Kind: membership.Replacement, Endpoints: s.list})
	<-ctx.Done()
	return ctx.Err()
}
