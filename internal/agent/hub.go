package agent

import (
	"context"
	"log/slog"
	"sort"
	"sync"
	"time"

	"curlewmux/membership"
	"curlewmux/membership/partnerlist"
)

// hub holds the one list with its changes, for those that watch it.
//
// An answer is `complete` only once every source has told a whole list: until then dispatchers learn what there is and
// keep what they had. What only the cache vouches for is not told at all: a dispatcher that runs has newer word of it, and
// one that has none must not be sent to who may have gone. Its use is to say `left` of those that went meanwhile.
type hub struct {
	mu      sync.Mutex
	table   *membership.Table
	whole   bool  // every source has told a whole list
	rev     int64 // of the newest change
	floor   int64 // who has an older revision gets the whole list
	log     []change
	latest  map[string]int64     // revision of the newest change of each endpoint in the log
	changed chan struct{}        // closed when there is something newer
	woken   time.Time            // when it was closed last
	waking  bool                 // it will be closed soon
	warned  map[string]time.Time // by source: when malformed endpoints were last logged
}

// change is one endpoint's change; what it is now stands in the table.
type change struct {
	rev  int64
	id   string
	last partnerlist.Entry // only of one that has left: its last fields
}

const (
	pace      = 5 * time.Millisecond // between two wakings: a flood is told in few answers, a single change at once
	leastLog  = 1024                 // changes that are known one by one, or twice the endpoints if that is more
	mostWait  = time.Minute          // as the protocol has it
	saveEvery = 5 * time.Second
)

// newHub makes a hub. Its revisions begin after all of an earlier life's, of which last is the newest, 0 if it is not
// known: then the clock stands for it, in microseconds.
func newHub(table *membership.Table, last int64, now time.Time) *hub {
	rev := max(now.UnixMicro(), last+1_000_000)
	return &hub{table: table, rev: rev, floor: rev, latest: map[string]int64{}, changed: make(chan struct{}), warned: map[string]time.Time{}}
}

// tell takes what a source tells.
func (h *hub) tell(source string, u membership.Update, log *slog.Logger) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var unvouched []string // until now: they may be news though their state is what the cache says
	if !h.whole {
		for i := range u.Endpoints {
			if _, vouched := h.table.Get(u.Endpoints[i].ID); !vouched {
				unvouched = append(unvouched, u.Endpoints[i].ID)
			}
		}
	}
	changes, refused, err := h.table.Apply(time.Now(), source, u)
	if err != nil {
		log.Error("a source was not heard", "error", err)
		return
	}
	if len(unvouched) > 0 {
		told := make(map[string]bool, len(changes))
		for i := range changes {
			told[changes[i].ID] = true
		}
		for _, id := range unvouched {
			if e, vouched := h.table.Get(id); vouched && !told[id] {
				changes = append(changes, e)
			}
		}
	}
	if now := time.Now(); len(refused) > 0 && now.Sub(h.warned[source]) > time.Minute {
		h.warned[source] = now
		log.Warn("endpoints can't be used", "source", source, "count", len(refused), "first", refused[0].ID, "error", refused[0].Err)
	}
	h.note(changes)
}

// setSources puts another set of sources into force.
func (h *hub) setSources(names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changes, err := h.table.SetSources(time.Now(), names)
	if err != nil {
		panic(err) // the settings were checked
	}
	h.note(changes)
}

// note writes changes into the log.
func (h *hub) note(changes []membership.Endpoint) {
	news := false
	for _, e := range changes {
		if _, vouched := h.table.Get(e.ID); !vouched && e.Phase != membership.Left {
			continue
		}
		if !news {
			news = true
			h.rev++
		}
		c := change{rev: h.rev, id: e.ID}
		if e.Phase == membership.Left {
			c.last = partnerlist.EntryOf(e)
		}
		h.log = append(h.log, c)
		h.latest[e.ID] = h.rev
	}
	if whole := h.table.Complete(); whole != h.whole {
		h.whole, news = whole, true
		h.rev++
		h.floor = h.rev // all get the list anew
	}
	if most := h.mostLog(); len(h.log) > most+leastLog {
		h.trim(most)
	}
	if news {
		h.wake()
	}
}

// mostLog is how many changes may be known one by one.
func (h *hub) mostLog() int { return max(leastLog, 2*h.table.Len()) }

// trim drops what is superseded, and the oldest if that was not enough: who is so far behind gets the whole list.
func (h *hub) trim(most int) {
	kept := make([]change, 0, len(h.latest))
	for _, c := range h.log {
		if h.latest[c.id] == c.rev {
			kept = append(kept, c)
		}
	}
	if len(kept) > most {
		cut := len(kept) - most/2
		h.floor = kept[cut-1].rev
		for _, c := range kept[:cut] {
			delete(h.latest, c.id)
		}
		kept = append([]change(nil), kept[cut:]...)
	}
	h.log = kept
}

// wake lets those that wait look again, at once or when the pace allows.
func (h *hub) wake() {
	if h.waking {
		return
	}
	if d := pace - time.Since(h.woken); d > 0 {
		h.waking = true
		time.AfterFunc(d, func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.wakeNow()
		})
		return
	}
	h.wakeNow()
}

func (h *hub) wakeNow() {
	h.waking, h.woken = false, time.Now()
	close(h.changed)
	h.changed = make(chan struct{})
}

// watch waits until there is something newer than a revision, at most for a time, and returns it; with after < 0 it
// returns the whole list at once.
func (h *hub) watch(ctx context.Context, after int64, wait time.Duration) (*partnerlist.List, error) {
	limit := time.NewTimer(wait)
	defer limit.Stop()
	for over := after < 0; ; {
		h.mu.Lock()
		if over || after != h.rev {
			l := h.answer(after)
			h.mu.Unlock()
			return l, nil
		}
		changed := h.changed
		h.mu.Unlock()
		select {
		case <-changed:
		case <-limit.C:
			over = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// answer is what is newer than a revision, or the whole list for one that we do not have.
func (h *hub) answer(after int64) *partnerlist.List {
	l := &partnerlist.List{Revision: h.rev, Entries: partnerlist.Entries{}}
	if after < h.floor || after > h.rev {
		l.Complete = h.whole
		for _, e := range h.table.List() {
			if _, vouched := h.table.Get(e.ID); vouched {
				l.Entries = append(l.Entries, partnerlist.EntryOf(e))
			}
		}
		return l
	}
	from := sort.Search(len(h.log), func(i int) bool { return h.log[i].rev > after })
	for _, c := range h.log[from:] {
		if h.latest[c.id] != c.rev {
			continue // there is a later one
		}
		if c.last.ID != "" {
			l.Entries = append(l.Entries, c.last)
		} else if e, _ := h.table.Get(c.id); e.Phase != membership.Left {
			l.Entries = append(l.Entries, partnerlist.EntryOf(e))
		}
	}
	return l
}
