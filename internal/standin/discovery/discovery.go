// Package discovery is a stand-in for discovery's agent: the endpoint list with its watch, and the notices, as HTTP/1.1
// on loopback. Tests, the demo and measurements set how it behaves and ask what it was told. It is no part of what the
// daemon serves with.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Phases of a member.
const (
	Active  = "active"
	Leaving = "leaving" // finishes what it has and wants nothing new
	Left    = "left"    // among changes only
)

// Statuses of a notice.
const (
	Undeliverable = "undeliverable" // the message failed
	Deferred      = "deferred"      // the message never ran: its client may hand it in again
)

// Member is one endpoint in the list.
type Member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"` // the destination
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"` // Unix time; 0 for long ago
}

// List is the whole list, or the changes since an earlier one.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Notice is the end of a message, as a dispatcher told it.
type Notice struct {
	ID      string    `json:"id"`
	Status  string    `json:"status"`
	AgainMS int64     `json:"again_ms"` // when its client may come again; 0 if that was not told
	At      time.Time `json:"-"`        // when it came
}

// Behaviour is how an agent misbehaves. The zero value is an agent that does not.
type Behaviour struct {
	Silent        bool // the list is not answered, and whoever asks is kept waiting; notices are taken
	Stale         bool // what is told from here on shows only once this is over
	RefuseNotices int  // notices are not taken but answered with this status (500, or 400 for unreadable); 0 takes them
}

const (
	bodyMost    = 64 << 10         // what a body may hold
	waitMost    = 60 * time.Second // how long a watch may wait
	changesMost = 10_000           // changes remembered; a watch from before them gets the whole list
	noticesMost = 1 << 17          // notices remembered, the newest
	headerTime  = 5 * time.Second
)

// Agent is the stand-in. Its methods are safe for concurrent use, and none blocks for long.
type Agent struct {
	mu        sync.Mutex
	behaviour Behaviour
	changed   chan struct{} // closed at the next change of anything
	server    *http.Server  // at the newest address
	addr      string
	others    []*http.Server // at further addresses

	list     map[string]Member // all that was told
	changes  []Member          // the newest ones; the last has the revision
	revision int64
	shown    List      // what is answered: behind while stale
	told     []telling // by revision, while the changes are remembered

	notices   []Notice
	forgotten int
}

// telling is when a revision was first written to somebody.
type telling struct {
	revision int64
	at       time.Time
}

// Start starts an agent with an empty list on a free port of 127.0.0.1.
func Start() (*Agent, error) {
	a := &Agent{changed: make(chan struct{}), list: map[string]Member{}, shown: List{Complete: true, Members: []Member{}}}
	if err := a.Move(); err != nil {
		return nil, err
	}
	return a, nil
}

// Addr is where the agent is found ("host:port").
func (a *Agent) Addr() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addr
}

// Listen makes the agent answer at one more address, also after a Move, and returns it.
func (a *Agent) Listen() (string, error) {
	s, addr, err := a.serve()
	if err != nil {
		return "", err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.others = append(a.others, s)
	return addr, nil
}

// Move gives the agent another address. At the old one connections end and new ones are refused.
func (a *Agent) Move() error {
	s, addr, err := a.serve()
	if err != nil {
		return err
	}
	a.mu.Lock()
	old := a.server
	a.server, a.addr = s, addr
	a.mu.Unlock()
	if old == nil {
		return nil
	}
	return closed(old)
}

func (a *Agent) serve() (*http.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", fmt.Errorf("discovery: %w", err)
	}
	s := &http.Server{Handler: a, ReadHeaderTimeout: headerTime}
	go s.Serve(l) // ends with ErrServerClosed
	return s, l.Addr().String(), nil
}

// Close ends all connections and stops listening.
func (a *Agent) Close() error {
	a.mu.Lock()
	servers := append(a.others, a.server)
	a.others = nil
	a.mu.Unlock()
	var errs []error
	for _, s := range servers {
		errs = append(errs, closed(s))
	}
	return errors.Join(errs...)
}

func closed(s *http.Server) error {
	if err := s.Close(); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	return nil
}

// Set changes how the agent behaves; what was kept waiting goes on by that.
func (a *Agent) Set(b Behaviour) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.behaviour = b
	a.show()
}

// Tell changes the list, each member to what is given here, and returns the list's revision after it. Left takes a
// member off the list. It sorts the list, so many members are best told at once.
func (a *Agent) Tell(members ...Member) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range members {
		a.revision++
		a.changes = append(a.changes, m)
		a.told = append(a.told, telling{revision: a.revision})
		if a.list[m.ID] = m; m.Phase == Left {
			delete(a.list, m.ID)
		}
	}
	a.changes, _ = newest(a.changes, changesMost)
	a.told, _ = newest(a.told, changesMost)
	a.show()
	return a.revision
}

// newest drops the oldest of what is remembered, many at once, so that the newest are there, and tells how many.
func newest[T any](list []T, most int) ([]T, int) {
	over := len(list) - most
	if over <= most/4 {
		return list, 0
	}
	return slices.Delete(list, 0, over), over
}

// show makes what was told seen, unless the agent is stale, and wakes those that wait; the lock is held.
func (a *Agent) show() {
	if !a.behaviour.Stale && a.shown.Revision < a.revision {
		a.shown = List{Revision: a.revision, Complete: true, Members: make([]Member, 0, len(a.list))}
		for _, m := range a.list {
			a.shown.Members = append(a.shown.Members, m)
		}
		slices.SortFunc(a.shown.Members, func(x, y Member) int { return strings.Compare(x.ID, y.ID) })
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// Whole is the list as it is answered now.
func (a *Agent) Whole() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.shown
	l.Members = slices.Clone(l.Members)
	return l
}

// since is the list as seen by one who has a revision: the changes, or all where these are not remembered or the
// revision is not one of ours. The lock is held.
func (a *Agent) since(after int64) List {
	first := a.revision - int64(len(a.changes)) // the oldest revision from which all changes are at hand
	if after < first || after > a.shown.Revision {
		return a.shown
	}
	changes := a.changes[after-first : a.shown.Revision-first]
	return List{Revision: a.shown.Revision, Members: append([]Member{}, changes...)}
}

// Told tells when a revision was first written to a dispatcher, as the list or among its changes; false if it was not
// yet, or is too old to be remembered.
func (a *Agent) Told(revision int64) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := revision - (a.revision - int64(len(a.told))) - 1
	if i < 0 || i >= int64(len(a.told)) || a.told[i].at.IsZero() {
		return time.Time{}, false
	}
	return a.told[i].at, true
}

// Notices are those taken so far, in their order; of very many only the newest, see Forgotten.
func (a *Agent) Notices() []Notice {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.notices)
}

// Forgotten is how many notices were taken that Notices no longer has.
func (a *Agent) Forgotten() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.forgotten
}

// Of are the notices of one message, in their order.
func (a *Agent) Of(id string) (out []Notice) {
	for _, n := range a.Notices() {
		if n.ID == id {
			out = append(out, n)
		}
	}
	return out
}

// Changed is closed when a notice comes, the list or the behaviour changes, or something is first told. Whoever waits
// takes it before looking.
func (a *Agent) Changed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.changed
}

// ServeHTTP answers as the agent does.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/api/targets" && r.Method == http.MethodGet:
		a.serveList(w, r)
	case r.URL.Path == "/reports" && r.Method == http.MethodPost:
		a.serveReports(w, r)
	case r.URL.Path == "/api/targets" || r.URL.Path == "/reports":
		http.Error(w, "method", http.StatusMethodNotAllowed)
	default:
		http.NotFound(w, r)
	}
}

// serveList answers with the whole list, or waits for changes.
func (a *Agent) serveList(w http.ResponseWriter, r *http.Request) {
	after, wait, err := watch(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	limit := time.NewTimer(wait)
	defer limit.Stop()
	late := wait == 0
	for {
		a.mu.Lock()
		changed := a.changed
		answer := !a.behaviour.Silent && (late || after != a.shown.Revision)
		var list List
		if answer {
			list = a.since(after)
		}
		a.mu.Unlock()
		if answer {
			a.write(w, list)
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			late = true
		case <-r.Context().Done():
			return
		}
	}
}

// watch reads a query; after is -1 where the whole list is asked for. Errors name the parameter.
func watch(q url.Values) (after int64, wait time.Duration, err error) {
	if after = -1; q.Has("after") {
		if after, err = strconv.ParseInt(q.Get("after"), 10, 64); err != nil || after < 0 {
			return 0, 0, fmt.Errorf("after: %q is no revision", q.Get("after"))
		}
	}
	if q.Has("wait_ms") {
		ms, err := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
		if err != nil || ms < 0 {
			return 0, 0, fmt.Errorf("wait_ms: %q is no time to wait", q.Get("wait_ms"))
		}
		wait = min(time.Duration(min(ms, waitMost.Milliseconds()))*time.Millisecond, waitMost)
	}
	return after, wait, nil
}

func (a *Agent) write(w http.ResponseWriter, list List) {
	text, err := json.Marshal(list)
	if err != nil { // a size that is no number
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if _, err := w.Write(text); err != nil {
		return
	}
	if http.NewResponseController(w).Flush() != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now, news := time.Now(), false
	for i := len(a.told) - 1; i >= 0; i-- {
		t := &a.told[i]
		if t.revision > list.Revision {
			continue
		}
		if !t.at.IsZero() { // then all before it were told, too
			break
		}
		t.at, news = now, true
	}
	if news {
		a.show()
	}
}

// serveReports takes notices, all of a body or none.
func (a *Agent) serveReports(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMost))
	if long := (*http.MaxBytesError)(nil); errors.As(err, &long) {
		http.Error(w, fmt.Sprintf("body: over %d bytes", bodyMost), http.StatusRequestEntityTooLarge)
		return
	} else if err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	list, err := ParseNotices(body)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch status := a.behaviour.RefuseNotices; {
	case status != 0:
		http.Error(w, "notices are refused", status)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	now := time.Now()
	for _, n := range list {
		n.At = now
		a.notices = append(a.notices, n)
	}
	var dropped int
	a.notices, dropped = newest(a.notices, noticesMost)
	a.forgotten += dropped
	a.show()
	w.WriteHeader(http.StatusNoContent)
}

// ParseNotices reads a body with one notice a line. Errors name the line and what is wrong with it.
func ParseNotices(body []byte) ([]Notice, error) {
	var list []Notice
	line := 0
	for text := range strings.Lines(string(body)) {
		line++
		var n Notice
		err := json.Unmarshal([]byte(text), &n)
		switch {
		case err != nil:
		case n.ID == "":
			err = errors.New("id: missing")
		case n.Status != Undeliverable && n.Status != Deferred:
			err = fmt.Errorf("status: %q is unknown", n.Status)
		case n.AgainMS < 0 || n.AgainMS > 0 && n.Status != Deferred:
			err = fmt.Errorf("again_ms: %d is out of range", n.AgainMS)
		}
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
		list = append(list, n)
	}
	return list, nil
}
