package grpcmux

import (
	"sync"
	"time"
)

// owners says which call of this process has an id that a user gave. Cores know nothing of each other, so it is the one
// variable that they share: without it two of them would each send the same message.
//
// The rule: an id belongs to the call that names it first, whatever Core and connection it is of, until that call has
// its answer and no attempt of it is out. If it may have run by then and its class is not harmless to repeat, the id
// stays with the Core for as long as the engine remembers ids, also when the Core is closed; what a folder keeps goes
// with the folder. Ids that a Core makes itself are nobody else's.
var owners = registry{byID: map[string]*owner{}}

type registry struct {
	mu    sync.Mutex
	byID  map[string]*owner
	sweep int // looked through for old ones when it has grown to this
}

// owner is what is known of an id.
type owner struct {
	whose any       // the *core, or the path of its folder
	until time.Time // its call is over, and it stays until then; zero: it is not
	least time.Time // an earlier call that may have run keeps it until then, whatever comes of this one
}

// remember is how long beyond its time an id that ended counts, as the engine's own default.
const remember = 10 * time.Second

// idsMost bounds the ids at hand, ended ones counted.
const idsMost = 1 << 17

// take makes an id whose's. Otherwise why says what keeps it from that.
func (r *registry) take(id string, whose any) (ok bool, why string) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.byID) >= max(r.sweep, 1024) {
		for id, o := range r.byID {
			if !o.until.IsZero() && o.until.Before(now) {
				delete(r.byID, id)
			}
		}
		r.sweep = 2 * len(r.byID)
	}
	switch o := r.byID[id]; {
	case o == nil && len(r.byID) >= idsMost:
		return false, "as many ids as may be remembered are in use or ended of late"
	case o == nil:
		r.byID[id] = &owner{whose: whose}
		return true, ""
	case o.whose == whose && !o.until.IsZero(): // the engine knows how it ended
		o.least, o.until = o.until, time.Time{}
		return true, ""
	case o.until.IsZero():
		return false, "another call has it"
	case o.until.After(now):
		return false, "a call of another Core had it, and may have run"
	default:
		r.byID[id] = &owner{whose: whose}
		return true, ""
	}
}

// release ends its owner's part in an id, which stays until the moment given; the zero time frees it at once. Neither
// ends what an earlier call of the owner's left: a call that the engine turned away, as its id had ended, never ran, but
// the one before it may have, and another Core would send the message again.
func (r *registry) release(id string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.byID[id]
	if o == nil {
		return
	}
	if until.Before(o.least) {
		until = o.least
	}
	if until.IsZero() {
		delete(r.byID, id)
		return
	}
	o.until = until
}
