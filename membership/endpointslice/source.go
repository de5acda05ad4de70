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

// Source reads the slices of one partner and reports its endpoints. It implements membership.Source.
//
// One goroutine lists and watches, and puts what it reads into the Set at once. Another one reports the changes. While
// the receiver is busy, the Set merges further changes and keeps only the newest state. Source never lists with
// resourceVersion=0, since the API server may then respond from a stale cache, which could bring back terminated endpoints.
type Source struct {
	partner Partner
	client  *Client
	log     *slog.Logger
	timing  Timing
	host    host.Host
	random  func() uint64

	mu         sync.Mutex
	set        *Set
	pending    pendingReports
	stats      Stats
	lastLogged map[string]time.Time // when each alarm was last logged

	woken  bool
	wake   host.Inbox // wakes the goroutine that reports; closed when Run's context ends
	pauses host.Inbox // for the pauses of the goroutine that lists and watches; closed when Run's context ends

	// Used only by the goroutine that lists and watches:

	pagesOnlyUntil time.Time     // until then streaming lists are not tried, since the server doesn't support them
	recheck        time.Duration // how long after an empty list the slices are listed again; 0 if the list was not empty
}

// pendingReports holds reports that are due in addition to the Set's changes.
type pendingReports struct {
	fullList  bool  // a list was completed
	failed    error // cause of a failure to report
	recovered bool  // the API server responds again
}

// Stats counts events since the start of a source.
type Stats struct {
	Events     int64  // slices read in watches and lists
	Bytes      int64  // of watch events and listed slices
	Lists      int64  // completed lists
	Watches    int64  // started watches
	Gone       int64  // times that a resource version had expired or was in the future
	Silent     int64  // watches that were ended by the idle timeout
	SetBack    int64  // times that the server's data were older than before (restored from a backup)
	Unreadable int64  // lines and objects that could not be read; entries within a slice count in Refused
	Refused    int64  // rejected entries and slices
	Denied     int64  // responses with 401 and 403
	Failures   int64  // failed requests and watches, including denied ones
	Emptied    int64  // lists that dropped the last endpoints
	Named      int    // current number of endpoints
	Version    string // newest resource version that was read
}

// Timing holds the source's timeouts and intervals. Tests and simulations shorten them.
type Timing struct {
	WatchDuration          time.Duration // requested duration of a watch; the actual one is random, up to twice this
	WatchIdleTimeout       time.Duration // a watch without events for this long is restarted; bookmarks come once a minute
	InitialListIdleTimeout time.Duration // the same during a streaming list
	PageTimeout            time.Duration // timeout for one page of a list
	MinBackoff             time.Duration // pause after the first failure; doubles with each further one ...
	MaxBackoff             time.Duration // ... up to this; with a Retry-After it may be longer, up to maxRetryAfter
	StreamingRetryInterval time.Duration // how long until streaming lists are tried again on a server without support for them
	EmptyListRecheck       time.Duration // pause before an empty list is read again; doubles up to MaxBackoff
}

// DefaultTiming returns the times that New sets.
func DefaultTiming() Timing {
	return Timing{
		WatchDuration: 5 * time.Minute, WatchIdleTimeout: 90 * time.Second, InitialListIdleTimeout: 20 * time.Second, PageTimeout: 30 * time.Second,
		MinBackoff: 200 * time.Millisecond, MaxBackoff: 30 * time.Second, StreamingRetryInterval: 10 * time.Minute, EmptyListRecheck: time.Second,
	}
}

const (
	pageSize           = 250     // slices; limits the time for a page, not memory, since items are read one by one
	maxObjectBytes     = 4 << 20 // bytes of one event; API servers accept objects of up to 3 MiB
	maxRetryAfter      = time.Minute
	maxActivePerUpdate = 1000 // limit on Active endpoints in one update
	maxWatchFailures   = 3    // consecutive failures of a watch before the slices are listed again
)

// Reasons for ending a watch.
var (
	errVersionUnavailable = errors.New("the resource version is not available")
	errIdle               = errors.New("no events on the watch within the idle timeout")
	errListStalled        = errors.New("the streaming list has stalled before its end")
	errOlderData          = errors.New("the API server's data are older than before")
	errRecheck            = errors.New("an empty list is read again")
)

// New creates a source. Its error wraps ErrPartnerSettings.
func New(c *Client, p Partner, log *slog.Logger) (*Source, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	return &Source{
		partner: p, client: c, log: log.With("partner", p.Name), timing: DefaultTiming(), set: NewSet(p), host: c.host, random: rand.Uint64,
		lastLogged: map[string]time.Time{}, wake: c.host.NewInbox(), pauses: c.host.NewInbox(),
	}, nil
}

// ConfigureSimulation sets the times and the random source for a simulation. It must be called before Run.
func (s *Source) ConfigureSimulation(t Timing, random func() uint64) { s.timing, s.random = t, random }

// randomUpTo returns a random duration from 0 to just below d.
func (s *Source) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(s.random() % uint64(max(d, 1)))
}

// Name returns endpointslice/ followed by the partner's name.
func (s *Source) Name() string { return "endpointslice/" + s.partner.Name }

// Stats returns the current counts.
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
		s.pauses.Close()
	})
	defer stop()
	s.host.Go(func() {
		defer done.Close()
		s.listAndWatch(ctx)
	})
	for ctx.Err() == nil {
		u, due, some := s.nextUpdate(s.host.Now())
		if some {
			tell(u)
			continue
		}
		s.wake.Take(nil, due)
	}
	done.Take(nil, time.Time{})
	return ctx.Err()
}

// nextUpdate returns the next update. If there is none, it returns the time at which there will be one without further
// input, zero if none is due.
func (s *Source) nextUpdate(now time.Time) (u membership.Update, due time.Time, some bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.woken = false
	switch o := &s.pending; {
	case o.fullList: // the full list also shows that the source works again
		o.fullList, o.recovered = false, false
		return membership.Update{Kind: membership.FullList, Endpoints: s.set.All(now)}, due, true
	case o.recovered:
		o.recovered = false
		changes, _ := s.set.TakeChanges(now, maxActivePerUpdate)
		return membership.Update{Endpoints: changes}, due, true
	}
	if changes, _ := s.set.TakeChanges(now, maxActivePerUpdate); len(changes) > 0 {
		return membership.Update{Endpoints: changes}, due, true
	}
	if err := s.pending.failed; err != nil {
		s.pending.failed = nil
		return membership.Update{Kind: membership.Failed, Err: err}, due, true
	}
	due, _ = s.set.NextDue()
	return u, due, false
}

// change runs a function that modifies the state shared by the two goroutines, and wakes the one that reports.
func (s *Source) change(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	if !s.woken {
		s.woken = true
		s.wake.Put(nil)
	}
}

// alarm counts a condition that operators should know of, and logs each text at most once a minute.
func (s *Source) alarm(count *int64, text string, err error) {
	s.mu.Lock()
	*count++
	now := s.host.Now()
	quiet := now.Sub(s.lastLogged[text]) < time.Minute
	if !quiet {
		s.lastLogged[text] = now
	}
	s.mu.Unlock()
	if !quiet {
		s.log.Warn(text, "error", err)
	}
}

// listAndWatch lists and watches the slices until ctx ends.
func (s *Source) listAndWatch(ctx context.Context) {
	version := "" // from which to watch; "" if the slices must be listed first
	failures := 0
	mayBeOlder := false // a connection broke, so the next server to respond may have older data
	for ctx.Err() == nil {
		began := s.host.Now()
		previous := version
		var err error
		switch {
		case version == "":
			version, err = s.list(ctx)
		case mayBeOlder:
			if err = s.checkNotOlder(ctx, version); err == nil {
				mayBeOlder = false
				continue
			}
		default:
			version, err = s.watch(ctx, version, false)
		}
		if ctx.Err() != nil {
			return
		}
		if version != previous && version != "" {
			failures = 0
		}
		var se *StatusError
		retryAtOnce := false // the server works, so the retry needs no pause
		switch {
		case err == nil:
			mayBeOlder = false
			if version == previous && s.host.Now().Sub(began) < time.Second {
				break // the watch ended at once without an event: pause to prevent a busy loop
			}
			failures = 0
			continue
		case errors.Is(err, errRecheck):
			version, failures = "", 0
			continue
		case errors.Is(err, errIdle):
			s.alarm(&s.stats.Silent, "no events on a watch; restarting it", err)
			mayBeOlder, retryAtOnce = true, true
		case errors.Is(err, errOlderData):
			s.alarm(&s.stats.SetBack, "the API server has older data than before; listing again", err)
			version, mayBeOlder, retryAtOnce = "", false, true
		case errors.Is(err, errVersionUnavailable), errors.As(err, &se) && se.versionUnavailable():
			s.alarm(&s.stats.Gone, "a resource version is not available; listing again", err)
			version, retryAtOnce = "", true
		default:
			s.reportFailure(err)
			mayBeOlder = !errors.As(err, &se)
			if failures >= maxWatchFailures {
				version = ""
			}
		}
		if failures++; retryAtOnce && failures == 1 { // only the first time, to prevent a busy loop if the server always responds so
			continue
		}
		if !s.pause(ctx, failures, se) {
			return
		}
	}
}

// reportFailure counts and logs a failure and has it reported.
func (s *Source) reportFailure(err error) {
	var se *StatusError
	if errors.As(err, &se) && (se.Code == http.StatusUnauthorized || se.Code == http.StatusForbidden) {
		s.alarm(&s.stats.Denied, "the API server does not let us in; keeping the current endpoints", err)
	}
	s.alarm(&s.stats.Failures, "endpoint slices can't be read; keeping the current endpoints", err)
	s.change(func() { s.pending.failed, s.pending.recovered = err, false })
}

// reportRecovery has it reported that the API server responds.
func (s *Source) reportRecovery() {
	s.change(func() { s.pending.failed, s.pending.recovered = nil, true })
}

// pause waits after consecutive failures, with jitter so that dispatchers don't retry all at the same time. It returns false
// if ctx has ended.
func (s *Source) pause(ctx context.Context, failures int, se *StatusError) bool {
	d := s.timing.MaxBackoff
	if n := failures - 1; n < 20 {
		d = min(d, s.timing.MinBackoff<<n)
	}
	d = d/2 + s.randomUpTo(d/2+1)
	if se != nil && se.RetryAfter > 0 { // not before the time that the server asked for
		wait := min(se.RetryAfter, maxRetryAfter)
		d = max(d, wait+s.randomUpTo(wait/5+1))
	}
	s.pauses.Take(nil, s.host.Now().Add(d))
	return ctx.Err() == nil
}

// list reads all slices. With a streaming list it goes on to watch until the watch ends. It returns the version from which
// to watch next, "" if the list was not completed.
func (s *Source) list(ctx context.Context) (version string, err error) {
	if s.host.Now().After(s.pagesOnlyUntil) {
		version, err = s.watch(ctx, "", true)
		var se *StatusError
		supported := !errors.Is(err, errListStalled)
		if version == "" && errors.As(err, &se) {
			switch se.Code {
			case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusMethodNotAllowed:
				supported = false
			}
		}
		if supported || ctx.Err() != nil {
			return version, err
		}
		s.log.Info("the API server does not support streaming lists; reading pages instead", "error", err)
		s.pagesOnlyUntil = s.host.Now().Add(s.timing.StreamingRetryInterval)
	}
	return s.listPages(ctx)
}

func (s *Source) query() url.Values { return url.Values{"labelSelector": {s.partner.Selector}} }

func (s *Source) path() string {
	if s.partner.Namespace == "" {
		return "/apis/discovery.k8s.io/v1/endpointslices"
	}
	return "/apis/discovery.k8s.io/v1/namespaces/" + url.PathEscape(s.partner.Namespace) + "/endpointslices"
}

// watch reads one watch. It starts from a version or, if initial is set, with a streaming list. It returns the newest
// version that was read, also with an error. The error is nil if the server ended the watch normally.
func (s *Source) watch(ctx context.Context, version string, initial bool) (next string, err error) {
	r := newRequest(ctx)
	defer r.end(nil)
	q := s.query()
	q.Set("watch", "true")
	q.Set("allowWatchBookmarks", "true")
	q.Set("timeoutSeconds", strconv.Itoa(int((s.timing.WatchDuration + s.randomUpTo(s.timing.WatchDuration)).Seconds())))
	idleLimit, why := s.timing.WatchIdleTimeout, errIdle
	if initial {
		q.Set("sendInitialEvents", "true")
		q.Set("resourceVersionMatch", "NotOlderThan") // than the time of the request, since no version is given
		idleLimit, why = s.timing.InitialListIdleTimeout, errListStalled
	} else {
		q.Set("resourceVersion", version)
	}
	guard := s.startIdleTimeout(r, idleLimit, why)
	defer func() { guard.stop() }()
	s.change(func() {
		s.stats.Watches++
		if initial {
			s.set.BeginList()
		}
	})
	body, err := s.client.get(r, s.path(), q)
	if err != nil {
		return version, r.cause(err)
	}
	defer body.Close()
	s.reportRecovery()
	if !initial && s.recheck > 0 {
		t := s.host.AfterFunc(s.recheck, func() { r.end(errRecheck) })
		defer t.Stop()
	}
	in := lineReader{r: body, maxBytes: maxObjectBytes}
	for {
		line, err := in.next()
		if errors.Is(err, errTooLong) {
			s.alarm(&s.stats.Unreadable, "an event is too long; keeping the last state of its slice", err)
			continue
		}
		if err == io.EOF && !initial {
			return version, nil
		}
		if err != nil {
			return version, r.cause(fmt.Errorf("API server: watch: %w", err))
		}
		if len(line) == 0 {
			continue
		}
		ev, err := decodeEvent(line, s.prior)
		if err != nil {
			s.alarm(&s.stats.Unreadable, "can't read an event; keeping the last state of its slice", err)
			continue
		}
		now := s.host.Now()
		guard.reset(now)
		if ev.Type == eventError {
			se := statusError(&ev.object)
			if se.versionUnavailable() {
				return version, fmt.Errorf("%w: %w", errVersionUnavailable, se)
			}
			return version, fmt.Errorf("API server: watch: %w", se)
		}
		if !initial && ev.Type != eventDeleted && isOlder(ev.Version, version) {
			return version, fmt.Errorf("%w: %s after %s", errOlderData, ev.Version, version)
		}
		switch ev.Type {
		case eventBookmark:
			if initial && ev.InitialEnd {
				s.completeList(now)
				initial, version = false, ev.Version
				guard.stop()
				guard = s.startIdleTimeout(r, s.timing.WatchIdleTimeout, errIdle)
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

// prior returns the last state of a slice that was read. The returned data are never modified.
func (s *Source) prior(key string) Slice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.Slice(key)
}

// request is a request to the API server. It ends with its context, or when end is called.
type request struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	abort  host.Abort // of the connection, for hosts without support for contexts
}

func newRequest(ctx context.Context) *request {
	r := &request{}
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	return r
}

// end aborts the request with a cause.
func (r *request) end(why error) {
	r.cancel(why)
	r.abort.Do()
}

// idleTimeout aborts a request after an idle timeout.
type idleTimeout struct {
	mu        sync.Mutex
	timer     host.Timer
	lastEvent time.Time // when the last event came
	stopped   bool
}

// startIdleTimeout starts an idle timeout that ends r with the cause why.
func (s *Source) startIdleTimeout(r *request, silence time.Duration, why error) *idleTimeout {
	g := &idleTimeout{lastEvent: s.host.Now()}
	var check func()
	check = func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.stopped {
			return
		}
		if remaining := silence - s.host.Now().Sub(g.lastEvent); remaining > 0 {
			g.timer = s.host.AfterFunc(remaining, check)
			return
		}
		r.end(why)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = s.host.AfterFunc(silence, check)
	return g
}

func (g *idleTimeout) reset(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastEvent = now
}

func (g *idleTimeout) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	g.timer.Stop()
}

// cause returns the cause for which this process ended the request, or err if it did not.
func (r *request) cause(err error) error {
	if c := context.Cause(r.ctx); errors.Is(c, errIdle) || errors.Is(c, errListStalled) || errors.Is(c, errRecheck) {
		return c
	}
	return err
}

// isOlder reports whether resource version a is older than b. Resource versions are comparable decimal numbers (KEP-5504).
// Other versions are never older.
func isOlder(a, b string) bool {
	x, err := strconv.ParseUint(a, 10, 64)
	y, err2 := strconv.ParseUint(b, 10, 64)
	return err == nil && err2 == nil && x < y
}

// event applies a change of one slice.
func (s *Source) event(now time.Time, ev *event, bytes int) {
	if ev.Slice.Name == "" || ev.Kind != "" && ev.Kind != "EndpointSlice" {
		s.alarm(&s.stats.Unreadable, "an event is not of a slice", fmt.Errorf("kind %.40q, name %.40q", ev.Kind, ev.Slice.Name))
		return
	}
	if ev.Slice.Err != nil && ev.Type != eventDeleted {
		s.alarm(&s.stats.Unreadable, "can't read all of a slice", fmt.Errorf("%s: %w", ev.Slice.key(), ev.Slice.Err))
	}
	s.change(func() {
		s.stats.Events++
		s.stats.Bytes += int64(bytes)
		if ev.Type == eventDeleted {
			s.set.Remove(now, ev.Slice.key())
		} else {
			s.set.Put(now, ev.Slice)
		}
	})
}

// completeList completes a list.
func (s *Source) completeList(now time.Time) {
	var emptied, first bool
	s.change(func() {
		s.stats.Lists++
		first = s.stats.Lists == 1
		emptied = s.set.EndList(now)
		s.pending.fullList = true
	})
	switch {
	case emptied:
		s.alarm(&s.stats.Emptied, "the list names nobody any more: no new work for this partner", errRecheck)
		s.recheck = s.timing.EmptyListRecheck
	case s.Stats().Named == 0: // also after the first list, without end: a watch never corrects a wrong list
		s.recheck = min(max(2*s.recheck, s.timing.EmptyListRecheck), s.timing.MaxBackoff)
	default:
		s.recheck = 0
	}
	if first && !emptied && s.Stats().Named == 0 {
		s.log.Warn("no endpoint matches", "namespace", s.partner.Namespace, "selector", s.partner.Selector)
	}
}

// listPages reads all slices in pages. It returns the resource version of the list.
func (s *Source) listPages(ctx context.Context) (version string, err error) {
	limit := pageSize
	for {
		version, err = s.readAllPages(ctx, limit)
		var se *StatusError
		if err == nil || limit == 0 || !errors.As(err, &se) || !se.versionUnavailable() {
			return version, err
		}
		s.alarm(&s.stats.Gone, "a list expired between its pages; reading it in one request", err)
		limit = 0
	}
}

// readAllPages reads the pages of one list, with at most limit slices each (0: no limit).
func (s *Source) readAllPages(ctx context.Context, limit int) (version string, err error) {
	s.change(s.set.BeginList)
	q := s.query()
	if limit > 0 {
		q.Set("limit", strconv.Itoa(limit))
	}
	for {
		p, err := s.fetchPage(ctx, q, func(o *object, bytes int) {
			s.event(s.host.Now(), &event{Type: eventAdded, object: *o}, bytes)
		})
		if err != nil {
			return "", err
		}
		if p.continueToken == "" {
			s.completeList(time.Now())
			return p.version, nil
		}
		q.Set("continue", p.continueToken)
	}
}

// checkNotOlder returns an error if the server's data are older than a version. A watch does not show that, since a watch
// from a future version sends no events until the server reaches that version.
func (s *Source) checkNotOlder(ctx context.Context, version string) error {
	// The query matches no slice. The content of a slice could not be used, since the watch continues from an older version.
	q := url.Values{"limit": {"1"}, "fieldSelector": {"metadata.name=no-such-slice"}}
	p, err := s.fetchPage(ctx, q, func(*object, int) {})
	if err != nil {
		return err
	}
	if isOlder(p.version, version) {
		return fmt.Errorf("%w: %s after %s", errOlderData, p.version, version)
	}
	return nil
}

// fetchPage reads one page of a list.
func (s *Source) fetchPage(ctx context.Context, q url.Values, take func(o *object, bytes int)) (p page, err error) {
	r := newRequest(ctx)
	defer r.end(nil)
	t := s.host.AfterFunc(s.timing.PageTimeout, func() { r.end(context.DeadlineExceeded) })
	defer t.Stop()
	body, err := s.client.get(r, s.path(), q)
	if err != nil {
		return p, err
	}
	defer body.Close()
	if p, err = readPage(body, take); err != nil {
		return p, fmt.Errorf("API server: list: %w", err)
	}
	s.reportRecovery()
	return p, nil
}
