// Package kubeapi is a stand-in for a Kubernetes API server that serves EndpointSlices (discovery.k8s.io/v1) on a loopback
// address: list, watch, paging, streaming lists, bookmarks, compaction, errors, slow, silent and broken watches, TLS
// with a CA of its own, and scripts of changes. It is for tests and measurements only. An unmodified client-go reflector
// and kubectl work against it (see the module in conformance).
//
// Where real servers differ from each other it takes the way that is harder for a client: an expired version comes as an
// ERROR event on an open watch, and a watch from a version that is still to come is silent.
package kubeapi

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Options say what kind of server it is.
type Options struct {
	TLS         bool          // with a CA of its own (Server.CA)
	Tokens      []string      // bearer tokens that are taken; none: everybody is let in
	Bookmarks   time.Duration // between the bookmarks of a watch, 0 is one minute as in real servers
	NoStreaming bool          // a server that knows no streaming lists
	History     int           // changes that are kept for watches, 0 is 20,000
	// Written is told when a slice's state has been written to a client, in a watch or a list. It must not block.
	Written func(w Written)
}

// Written is a slice's state that has gone out.
type Written struct {
	Key     string // namespace/name
	Version uint64 // of the slice
	At      time.Time
	Deleted bool
}

// EndpointSlice is what can be put into the server, named as in the API.
type EndpointSlice struct {
	Namespace   string            `json:"-"`
	Name        string            `json:"-"`
	Labels      map[string]string `json:"-"`
	AddressType string            `json:"addressType"`
	Endpoints   []Endpoint        `json:"endpoints"`
	Ports       []Port            `json:"ports"`
}

// Endpoint is one of its endpoints.
type Endpoint struct {
	Addresses  []string   `json:"addresses"`
	Conditions Conditions `json:"conditions"`
	TargetRef  *Ref       `json:"targetRef,omitempty"`
	NodeName   string     `json:"nodeName,omitempty"`
	Zone       string     `json:"zone,omitempty"`
	Hints      *Hints     `json:"hints,omitempty"`
}

// Conditions of an endpoint; nil is absent.
type Conditions struct {
	Ready       *bool `json:"ready,omitempty"`
	Serving     *bool `json:"serving,omitempty"`
	Terminating *bool `json:"terminating,omitempty"`
}

// Ref names what an endpoint is.
type Ref struct {
	Kind      string `json:"kind"`
	Namespace string `json:"namespace,omitempty"`
	Name      string `json:"name"`
	UID       string `json:"uid"`
}

// Hints are advice on routing.
type Hints struct {
	ForZones []Zone `json:"forZones"`
}

// Zone is one zone of a hint.
type Zone struct {
	Name string `json:"name"`
}

// Port is one of a slice's ports.
type Port struct {
	Name     string `json:"name"`
	Port     int    `json:"port"`
	Protocol string `json:"protocol"`
}

// Pod is an endpoint as the EndpointSlice controller writes it.
func Pod(uid, address, zone string, ready, terminating bool) Endpoint {
	serving := ready
	ready = ready && !terminating
	return Endpoint{
		Addresses: []string{address}, Zone: zone, NodeName: "node-of-" + address,
		Conditions: Conditions{&ready, &serving, &terminating},
		TargetRef:  &Ref{"Pod", "partners", "pod-" + uid, uid},
	}
}

// object is one version of a slice; it does not change.
type object struct {
	key, namespace, name string
	labels               map[string]string
	version              uint64
	fields               string // JSON of the object after its kind: "metadata":{...},...}
}

// change is one entry of the history; old or new is nil where the object did not exist.
type change struct {
	version  uint64
	old, new *object
}

// Server is the stand-in. Its methods may be called from several goroutines.
type Server struct {
	opt  Options
	http *listener

	mu        sync.Mutex
	version   uint64
	objects   map[string]*object
	history   []change
	compacted uint64 // what is older than that is no longer known
	uids      int
	changed   chan struct{} // closed with each change
	cut       chan struct{} // closed to end all watches
	cutHalf   bool
	mute      bool
	blind     bool
	chop      int
	chopPause time.Duration
	tokens    []string
	faults    []Fault
	requests  map[string]int
	open      int
}

// firstVersion is far from 0, as in a real cluster.
const firstVersion = 1000

// Start starts a server on a loopback address.
func Start(o Options) (*Server, error) {
	o.Bookmarks, o.History = cmp.Or(o.Bookmarks, time.Minute), cmp.Or(o.History, 20_000)
	s := &Server{
		opt: o, version: firstVersion, compacted: firstVersion, objects: map[string]*object{},
		changed: make(chan struct{}), cut: make(chan struct{}), tokens: o.Tokens, requests: map[string]int{},
	}
	l, err := newListener(o.TLS)
	if err != nil {
		return nil, fmt.Errorf("stand-in API server: %w", err)
	}
	s.http = l
	if err := l.start(s); err != nil {
		return nil, fmt.Errorf("stand-in API server: %w", err)
	}
	return s, nil
}

// Put writes a slice and returns its version.
func (s *Server) Put(e EndpointSlice) uint64 {
	text, err := json.Marshal(e)
	if err != nil {
		panic(fmt.Sprintf("stand-in API server: %v", err)) // a fault of the test
	}
	return s.PutRaw(e.Namespace, e.Name, e.Labels, string(text[1:len(text)-1]))
}

// PutRaw writes a slice whose fields after its metadata are given as JSON text, which a real server might refuse.
func (s *Server) PutRaw(namespace, name string, labels map[string]string, fields string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	key := namespace + "/" + name
	old := s.objects[key]
	type meta struct {
		Name              string            `json:"name"`
		Namespace         string            `json:"namespace"`
		UID               string            `json:"uid"`
		ResourceVersion   string            `json:"resourceVersion"`
		Generation        int               `json:"generation"`
		CreationTimestamp string            `json:"creationTimestamp"`
		Labels            map[string]string `json:"labels,omitempty"`
	}
	s.uids++
	m, err := json.Marshal(meta{
		name, namespace, fmt.Sprintf("00000000-0000-4000-8000-%012d", s.uids), strconv.FormatUint(s.version, 10), 1,
		"2026-01-01T00:00:00Z", labels,
	})
	if err != nil {
		panic(fmt.Sprintf("stand-in API server: %v", err))
	}
	o := &object{
		key: key, namespace: namespace, name: name, labels: maps.Clone(labels), version: s.version,
		fields: `"metadata":` + string(m) + "," + fields + "}",
	}
	s.objects[key] = o
	s.record(change{s.version, old, o})
	return s.version
}

// Delete removes a slice and returns the version of its removal, 0 if there was none.
func (s *Server) Delete(namespace, name string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := namespace + "/" + name
	old := s.objects[key]
	if old == nil {
		return 0
	}
	s.version++
	delete(s.objects, key)
	s.record(change{s.version, old, nil})
	return s.version
}

func (s *Server) record(c change) {
	s.history = append(s.history, c)
	if extra := len(s.history) - s.opt.History; extra > s.opt.History/10 {
		s.compacted = s.history[extra-1].version
		s.history = append([]change(nil), s.history[extra:]...)
	}
	s.wake()
}

func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Version is the newest version.
func (s *Server) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Compact forgets all history: watches and pages from older versions expire.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.version
}

// SetBack sets the data back to what they were at a version that is still in the history, as a restored backup does:
// versions go on from there and are given out a second time.
func (s *Server) SetBack(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = s.asOf(version)
	at, _ := slices.BinarySearchFunc(s.history, version+1, func(c change, v uint64) int { return cmp.Compare(c.version, v) })
	s.history = s.history[:at]
	s.version = version
	s.wake()
}

// asOf is what the objects were at a version; it must not be older than what is known.
func (s *Server) asOf(version uint64) map[string]*object {
	all := maps.Clone(s.objects)
	for _, c := range slices.Backward(s.history) {
		if c.version <= version {
			break
		}
		switch {
		case c.old == nil:
			delete(all, c.new.key)
		default:
			all[c.old.key] = c.old
		}
	}
	return all
}

// Fault is an answer that requests get instead of what they want.
type Fault struct {
	Verb       string // list or watch; "" for both
	Code       int    // 401, 403, 429, 500, ...
	RetryAfter int    // seconds, 0 for none
	Times      int    // how many requests; 0 for all until Heal
	Event      bool   // for watches: as an ERROR event on an open watch instead of a status
	Continued  bool   // only requests for a further page
}

// Fail makes requests fail.
func (s *Server) Fail(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, f)
}

// Heal takes all faults back.
func (s *Server) Heal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.mute, s.chop = nil, false, 0
	s.wake()
}

// SetTokens replaces the bearer tokens that are taken.
func (s *Server) SetTokens(tokens ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = tokens
}

// Mute keeps open watches, and those that come, silent until Heal: nothing is written, no bookmark either.
func (s *Server) Mute() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mute = true
}

// Blind makes lists come back empty, as from a server that has lost sight of its data; no event tells of it.
func (s *Server) Blind(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blind = on
}

// Chop writes watches in pieces of n bytes with a pause after each, until Heal.
func (s *Server) Chop(n int, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chop, s.chopPause = n, pause
}

// CutWatches breaks the connections of all open watches; with half, after half an event.
func (s *Server) CutWatches(half bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutHalf = half
	close(s.cut)
	s.cut = make(chan struct{})
}

// Requests is how many requests of a verb (list, watch, streaming list) came so far.
func (s *Server) Requests(verb string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[verb]
}

// Watches is how many watches are open.
func (s *Server) Watches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}
