package subscription

import "time"

// MovedGrace is how long a list from the previous address of discovery may be used after a move. What the service at the
// new address knows counts as known here from then on, whether or not it has answered.
const MovedGrace = 4 * time.Second

// Confirmation tracks whether the endpoint list in use is one that the current address of a pushing discovery service has
// sent, or may still be used without. The zero value is confirmed. It is not safe for concurrent use.
type Confirmation struct {
	holdAt time.Time // zero if the list is confirmed
	held   bool
}

// Moved records that discovery is reached at another address. It returns when to ask Overdue. Further moves before a list
// arrives don't extend the time.
func (c *Confirmation) Moved(now time.Time) (holdAt time.Time) {
	if c.holdAt.IsZero() {
		c.holdAt = now.Add(MovedGrace)
	}
	return c.holdAt
}

// Listed records a full list from the current address. It reports whether calls were held until it arrived.
func (c *Confirmation) Listed() (wasHeld bool) {
	wasHeld = c.held
	*c = Confirmation{}
	return wasHeld
}

// Overdue reports whether calls have to be held from now on because no list has arrived in time. It reports it once.
func (c *Confirmation) Overdue(now time.Time) bool {
	if c.holdAt.IsZero() || c.held || now.Before(c.holdAt) {
		return false
	}
	c.held = true
	return true
}
