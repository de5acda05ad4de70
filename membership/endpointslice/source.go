package endpointslice

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"curlewmux/internal/host"
	"curlewmux/membership"
)

// Source reads the slices of one partner and tells of its endpoints. It is a membership.Source.
//
// One goroutine lists and watches and puts what it reads into the Set at once; another hands on what has changed. While
// the taker is busy changes meet in the Set, which keeps the newest state only. Nothing is ever listed at a version that
// an API server may choose (resourceVersion=0): a cache that lags could bring back who has terminated.
type Source struct {
	p      Partner
	c      *Client
	log    *slog.Logger
	t      Timing
	host   host.Host
	random func() uint64

	mu     sync.Mutex
	set    *Set
	owed   owed
	stats  Stats
	logged map[string]time.Time // when an alarm was last logged

	woken bool
	wake  host.Inbox // of the one that tells: there may be something
	rest  host.Inbox // of the one that lists and watches, for its pauses; both close when Run ends

	// Of the goroutine that lists and watches.
	plainUntil time.Time     // the server knows no streaming lists; asked again then
	recheck    time.Duration // after so long a list that named nobody is looked at again; 0 if it need not be
}

// owed is what is to be told beside the set's changes.
type owed struct {
	whole  bool  // a list came to its end
	failed error // nothing can be learnt now
	heard  bool  // something can again
}

// Stats count what a source has met since its start.
type Stats struct {
	Events     int64  // slices read, in watches and lists
	Bytes      int64  // of the watches' lines
	Lists      int64  // lists that came to their end
	Watches    int64  // watches begun
	Gone       int64  // versions that had expired, or were still to come
	Silent     int64  // watches given up for their silence
	SetBack    int64  // times that the server's data were older than before
	Unreadable int64  // lines and objects that could not be read; entries within a slice are in Refused
	Refused    int64  // entries and slices that could not be taken
	Denied     int64  // answers 401 and 403
	Failures   int64  // requests and watches that failed, with those denied
	Emptied    int64  // lists that left nobody where somebody was known
	Named      int    // endpoints now
	Version    string // of the newest thing read
}

// Timing are the source's times; tests and simulations shorten them.
type Timing struct {
	WatchDuration          time.Duration // how long the server is asked to keep a watch: so long to twice that
	WatchIdleTimeout       time.Duration // a watch that says nothing for so long is begun anew; bookmarks come once a minute
	InitialListIdleTimeout time.Duration // the same within a streaming list
	PageTimeout            time.Duration // for one page of a list
	MinBackoff             time.Duration // pause after a failure, doubled with each further one ...
	MaxBackoff             time.Duration // ... up to this; a Retry-After may be longer, up to mostRetryAfter
	StreamingRetryInterval time.Duration // after so long streaming lists are tried again where the server did not know them
	EmptyListRecheck       time.Duration // first pause before an empty list is looked at again
}

// DefaultTiming are the times that New sets.
func DefaultTiming() Timing {
	return Timing{
		WatchDuration: 5 * time.Minute, WatchIdleTimeout: 90 * time.Second, InitialListIdleTimeout: 20 * time.Second, PageTimeout: 30 * time.Second,
		MinBackoff: 200 * time.Millisecond, MaxBackoff: 30 * time.Second, StreamingRetryInterval: 10 * time.Minute, EmptyListRecheck: time.Second,
	}
}

const (
	pageSize       = 250     // slices; items are read one by one, so this bounds the time of a page, not memory
	mostObject     = 4 << 20 // bytes of one event; API servers take objects of up to 3 MiB
	mostRetryAfter = time.Minute
	batch          = 1000 // endpoints that become Active in one update
	tries          = 3    // failures of a watch in a row before all is listed anew
)

// Reasons for which a watch is left.
var (
	errGone    = errors.New("the version is not to be had")
	errSilent  = errors.New("the watch is silent")
	errNoEnd   = errors.New("the streaming list does not end")
	errBack    = errors.New("the API server's data are older than before")
	errRecheck = errors.New("an empty list is looked at again")
)

// New makes a source. Its error wraps ErrPartnerSettings.
func New(c *Client, p Partner, log *slog.Logger) (*Source, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	return &Source{
		p: p, c: c, log: log.With("partner", p.Name), t: DefaultTiming(), set: NewSet(p), host: c.host, random: rand.Uint64,
		logged: map[string]time.Time{}, wake: c.host.NewInbox(), rest: c.host.NewInbox(),
	}, nil
}

// ConfigureSimulation gives the source times and random numbers of a simulation's. It comes before Run.
func (s *Source) ConfigureSimulation(t Timing, random func() uint64) { s.t, s.random = t, random }

// upTo draws a time from 0 to just below d.
func (s *Source) upTo(d time.Duration) time.Duration {
	return time.Duration(s.random() % uint64(max(d, 1)))
}

// Name is endpointslice/ and the partner's name.
func (s *Source) Name() string { return "endpointslice/" + s.p.Name }

// Stats are the counts so far.
func (s *Source) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats
	st.Named, st.Refused = s.set.Named(), int64(s.set.Refused())
	return st
}

// Run implements membership.Source.
func (s *Source) Run(ctx context.Context, tell func(membership.Update)) error {
	done := s.host.NewInbox()
	stop := context.AfterFunc(ctx, func() {
		s.wake.Close()
		s.rest.Close()
	})
	defer stop()
	s.host.Go(func() {
		defer done.Close()
		s.follow(ctx)
	})
	for ctx.Err() == nil {
		u, due, some := s.next(s.host.Now())
		if some {
			tell(u)
			continue
		}
		s.wake.Take(nil, due)
	}
	done.Take(nil, time.Time{})
	return ctx.Err()
}

// next is the next update, or when there may be one.
func (s *Source) next(now time.Time) (u membership.Update, due time.Time, some bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.woken = false
	switch o := &s.owed; {
	case o.whole: // a list's end also tells that the source is heard
		o.whole, o.heard = false, false
		return membership.Update{Kind: membership.FullList, Endpoints: s.set.All(now)}, due, true
	case o.heard:
		o.heard = false
		changes, _ := s.set.TakeChanges(now, batch)
		return membership.Update{Endpoints: changes}, due, true
	}
	if changes, _ := s.set.TakeChanges(now, batch); len(changes) > 0 {
		return membership.Update{Endpoints: changes}, due, true
	}
	if err := s.owed.failed; err != nil {
		s.owed.failed = nil
		return membership.Update{Kind: membership.Failed, Err: err}, due, true
	}
	due, _ = s.set.NextDue()
	return u, due, false
}

// do changes what the two goroutines share, and wakes the one that tells.
func (s *Source) do(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	if !s.woken {
		s.woken = true
		s.wake.Put(nil)
	}
}

// alarm counts something that people should know of and logs it, each kind once a minute at most.
func (s *Source) alarm(count *int64, text string, err error) {
	s.mu.Lock()
	*count++
	now := s.host.Now()
	quiet := now.Sub(s.logged[text]) < time.Minute
	if !quiet {
		s.logged[text] = now
	}
	s.mu.Unlock()
	if !quiet {
		s.log.Warn(text, "error", err)
	}
}

// follow lists and watches until ctx ends.
func (s *Source) follow(ctx context.Context) {
	version := "" // from which a watch may go on; "" where all must be listed
	failures := 0
	unsure := false // a connection broke: what answers next may be older
	for ctx.Err() == nil {
		began := s.host.Now()
		was := version
		var err error
		switch {
		case version == "":
			version, err = s.list(ctx)
		case unsure:
			if err = s.notOlder(ctx, version); err == nil {
				unsure = false
				continue
			}
		default:
			version, err = s.watch(ctx, version, false)
		}
		if ctx.Err() != nil {
			return
		}
		if version != was && version != "" {
			failures = 0
		}
		var se *StatusError
		atOnce := false // nothing is wrong with the server
		switch {
		case err == nil:
			unsure = false
			if version == was && s.host.Now().Sub(began) < time.Second {
				break // it ended at once without a word: not to be repeated at full speed
			}
			failures = 0
			continue
		case errors.Is(err, errRecheck):
			version, failures = "", 0
			continue
		case errors.Is(err, errSilent):
			s.alarm(&s.stats.Silent, "a watch is silent; it begins anew", err)
			unsure, atOnce = true, true
		case errors.Is(err, errBack):
			s.alarm(&s.stats.SetBack, "the API server's data were set back; all is listed anew", err)
			version, unsure, atOnce = "", false, true
		case errors.Is(err, errGone), errors.As(err, &se) && se.gone():
			s.alarm(&s.stats.Gone, "a version is not to be had; all is listed anew", err)
			version, atOnce = "", true
		default:
			s.failed(err)
			unsure = !errors.As(err, &se)
			if failures >= tries {
				version = ""
			}
		}
		if failures++; atOnce && failures == 1 { // the first time only: a server that always says so is not asked at full speed
			continue
		}
		if !s.pause(ctx, failures, se) {
			return
		}
	}
}

func (s *Source) failed(err error) {
	var se *StatusError
	if errors.As(err, &se) && (se.Code == http.StatusUnauthorized || se.Code == http.StatusForbidden) {
		s.alarm(&s.stats.Denied, "the API server does not let us in; the list at hand stays", err)
	}
	s.alarm(&s.stats.Failures, "endpoint slices can't be read; the list at hand stays", err)
	s.do(func() { s.owed.failed, s.owed.heard = err, false })
}

// heard says that the API server answers.
func (s *Source) heard() {
	s.do(func() { s.owed.failed, s.owed.heard = nil, true })
}

// pause waits after failures in a row, with jitter so that dispatchers don't come back all at once.
func (s *Source) pause(ctx context.Context, failures int, se *StatusError) bool {
	d := s.t.MaxBackoff
	if n := failures - 1; n < 20 {
		d = min(d, s.t.MinBackoff<<n)
	}
	d = d/2 + s.upTo(d/2+1)
	if se != nil && se.RetryAfter > 0 { // never sooner than we were told
		wait := min(se.RetryAfter, mostRetryAfter)
		d = max(d, wait+s.upTo(wait/5+1))
	}
	s.rest.Take(nil, s.host.Now().Add(d))
	return ctx.Err() == nil
}

// list reads all slices. With a streaming list it goes on watching until the watch ends; it returns the version from
// which to go on, "" if the list did not come to its end.
func (s *Source) list(ctx context.Context) (version string, err error) {
	if s.host.Now().After(s.plainUntil) {
		version, err = s.watch(ctx, "", true)
		var se *StatusError
		known := !errors.Is(err, errNoEnd)
		if version == "" && errors.As(err, &se) {
			switch se.Code {
			case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusMethodNotAllowed:
				known = false
			}
		}
		if known || ctx.Err() != nil {
			return version, err
		}
		s.log.Info("the API server knows no streaming lists; pages are read instead", "error", err)
		s.plainUntil = s.host.Now().Add(s.t.StreamingRetryInterval)
	}
	return s.pages(ctx)
}

func (s *Source) query() url.Values { return url.Values{"labelSelector": {s.p.Selector}} }

func (s *Source) path() string {
	if s.p.Namespace == "" {
		return "/apis/discovery.k8s.io/v1/endpointslices"
	}
	return "/apis/discovery.k8s.io/v1/namespaces/" + url.PathEscape(s.p.Namespace) + "/endpointslices"
}

// watch reads one watch, from a version or, with initial, as a streaming list. It returns the newest version read, also
// with an error; nil is an end in order.
func (s *Source) watch(ctx context.Context, version string, initial bool) (next string, err error) {
	r := newRequest(ctx)
	defer r.end(nil)
	q := s.query()
	q.Set("watch", "true")
	q.Set("allowWatchBookmarks", "true")
	q.Set("timeoutSeconds", strconv.Itoa(int((s.t.WatchDuration + s.upTo(s.t.WatchDuration)).Seconds())))
	silence, why := s.t.WatchIdleTimeout, errSilent
	if initial {
		q.Set("sendInitialEvents", "true")
		q.Set("resourceVersionMatch", "NotOlderThan") // than now, since no version is named
		silence, why = s.t.InitialListIdleTimeout, errNoEnd
	} else {
		q.Set("resourceVersion", version)
	}
	guard := s.guard(r, silence, why)
	defer func() { guard.stop() }()
	s.do(func() {
		s.stats.Watches++
		if initial {
			s.set.BeginList()
		}
	})
	body, err := s.c.get(r, s.path(), q)
	if err != nil {
		return version, r.because(err)
	}
	defer body.Close()
	s.heard()
	if !initial && s.recheck > 0 {
		t := s.host.AfterFunc(s.recheck, func() { r.end(errRecheck) })
		defer t.Stop()
	}
	in := lines{r: body, most: mostObject}
	for {
		line, err := in.next()
		if errors.Is(err, errTooLong) {
			s.alarm(&s.stats.Unreadable, "an event is too long; its slice stays as it was", err)
			continue
		}
		if err == io.EOF && !initial {
			return version, nil
		}
		if err != nil {
			return version, r.because(fmt.Errorf("API server: watch: %w", err))
		}
		if len(line) == 0 {
			continue
		}
		ev, err := decodeEvent(line, s.prior)
		if err != nil {
			s.alarm(&s.stats.Unreadable, "an event can't be read; its slice stays as it was", err)
			continue
		}
		now := s.host.Now()
		guard.heard(now)
		if ev.Type == eventError {
			se := statusError(&ev.object)
			if se.gone() {
				return version, fmt.Errorf("%w: %w", errGone, se)
			}
			return version, fmt.Errorf("API server: watch: %w", se)
		}
		if !initial && ev.Type != eventDeleted && older(ev.Version, version) {
			return version, fmt.Errorf("%w: %s after %s", errBack, ev.Version, version)
		}
		switch ev.Type {
		case eventBookmark:
			if initial && ev.InitialEnd {
				s.end(now)
				initial, version = false, ev.Version
				guard.stop()
				guard = s.guard(r, s.t.WatchIdleTimeout, errSilent)
				if s.recheck > 0 {
					t := s.host.AfterFunc(s.recheck, func() { r.end(errRecheck) })
					defer t.Stop()
				}
			}
		default:
			s.event(now, &ev, len(line))
		}
		if !initial && ev.Version != "" {
			version = ev.Version
			s.mu.Lock()
			s.stats.Version = version
			s.mu.Unlock()
		}
	}
}

// prior is a slice's state as it was read last. It does not change any more.
func (s *Source) prior(key string) Slice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.Slice(key)
}

// request is one request, which ends with its context or by end.
type request struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	abort  host.Abort // of the way there, where that knows no contexts
}

func newRequest(ctx context.Context) *request {
	r := &request{}
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	return r
}

// end ends a request, for a reason.
func (r *request) end(why error) {
	r.cancel(why)
	r.abort.Do()
}

// guard ends a request once nothing was heard for so long.
type guard struct {
	mu    sync.Mutex
	timer host.Timer
	at    time.Time // when something was heard last
	over  bool
}

func (s *Source) guard(r *request, silence time.Duration, why error) *guard {
	g := &guard{at: s.host.Now()}
	var look func()
	look = func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.over {
			return
		}
		if rest := silence - s.host.Now().Sub(g.at); rest > 0 {
			g.timer = s.host.AfterFunc(rest, look)
			return
		}
		r.end(why)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = s.host.AfterFunc(silence, look)
	return g
}

func (g *guard) heard(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.at = now
}

func (g *guard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.over = true
	g.timer.Stop()
}

// because is the reason for which we ourselves ended the request, if we did.
func (r *request) because(err error) error {
	if c := context.Cause(r.ctx); errors.Is(c, errSilent) || errors.Is(c, errNoEnd) || errors.Is(c, errRecheck) {
		return c
	}
	return err
}

// older tells whether version a is older than b. Versions are decimal numbers that can be compared (KEP-5504); others
// are never older.
func older(a, b string) bool {
	x, err := strconv.ParseUint(a, 10, 64)
	y, err2 := strconv.ParseUint(b, 10, 64)
	return err == nil && err2 == nil && x < y
}

// event takes one slice's change.
func (s *Source) event(now time.Time, ev *event, bytes int) {
	if ev.Slice.Name == "" || ev.Kind != "" && ev.Kind != "EndpointSlice" {
		s.alarm(&s.stats.Unreadable, "an event is not of a slice", fmt.Errorf("kind %.40q, name %.40q", ev.Kind, ev.Slice.Name))
		return
	}
	if ev.Slice.Err != nil && ev.Type != eventDeleted {
		s.alarm(&s.stats.Unreadable, "a slice can't be read in full", fmt.Errorf("%s: %w", ev.Slice.key(), ev.Slice.Err))
	}
	s.do(func() {
		s.stats.Events++
		s.stats.Bytes += int64(bytes)
		if ev.Type == eventDeleted {
			s.set.Remove(now, ev.Slice.key())
		} else {
			s.set.Put(now, ev.Slice)
		}
	})
}

// end says that a list came to its end.
func (s *Source) end(now time.Time) {
	var emptied, first bool
	s.do(func() {
		s.stats.Lists++
		first = s.stats.Lists == 1
		emptied = s.set.EndList(now)
		s.owed.whole = true
	})
	switch {
	case emptied:
		s.alarm(&s.stats.Emptied, "the list names nobody any more: no new work for this partner", errRecheck)
		s.recheck = s.t.EmptyListRecheck
	case s.Stats().Named == 0: // the first one, too, and for ever: a watch from a wrong list would never tell
		s.recheck = min(max(2*s.recheck, s.t.EmptyListRecheck), s.t.MaxBackoff)
	default:
		s.recheck = 0
	}
	if first && !emptied && s.Stats().Named == 0 {
		s.log.Warn("no endpoint matches", "namespace", s.p.Namespace, "selector", s.p.Selector)
	}
}

// pages reads all slices in pages. It returns the version of the list.
func (s *Source) pages(ctx context.Context) (version string, err error) {
	limit := pageSize
	for {
		version, err = s.allPages(ctx, limit)
		var se *StatusError
		if err == nil || limit == 0 || !errors.As(err, &se) || !se.gone() {
			return version, err
		}
		s.alarm(&s.stats.Gone, "a list expired between its pages; it is read in one", err)
		limit = 0
	}
}

func (s *Source) allPages(ctx context.Context, limit int) (version string, err error) {
	s.do(s.set.BeginList)
	q := s.query()
	if limit > 0 {
		q.Set("limit", strconv.Itoa(limit))
	}
	for {
		p, err := s.page(ctx, q, func(o *object, bytes int) {
			s.event(s.host.Now(), &event{Type: eventAdded, object: *o}, bytes)
		})
		if err != nil {
			return "", err
		}
		if p.next == "" {
			s.end(time.Now())
			return p.version, nil
		}
		q.Set("continue", p.next)
	}
}

// notOlder asks whether the server's data are as new as a version. A server that was set back would not tell: a watch
// from a version that is still to come is silent until then.
func (s *Source) notOlder(ctx context.Context, version string) error {
	// A list of none: of what it told of a slice nothing could be used, since the watch goes on from an older version.
	q := url.Values{"limit": {"1"}, "fieldSelector": {"metadata.name=no-such-slice"}}
	p, err := s.page(ctx, q, func(*object, int) {})
	if err != nil {
		return err
	}
	if older(p.version, version) {
		return fmt.Errorf("%w: %s after %s", errBack, p.version, version)
	}
	return nil
}

// page reads one page of a list.
func (s *Source) page(ctx context.Context, q url.Values, take func(o *object, bytes int)) (p page, err error) {
	r := newRequest(ctx)
	defer r.end(nil)
	t := s.host.AfterFunc(s.t.PageTimeout, func() { r.end(context.DeadlineExceeded) })
	defer t.Stop()
	body, err := s.c.get(r, s.path(), q)
	if err != nil {
		return p, err
	}
	defer body.Close()
	if p, err = readPage(body, take); err != nil {
		return p, fmt.Errorf("API server: list: %w", err)
	}
	s.heard()
	return p, nil
}
