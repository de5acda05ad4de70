package sim

import (
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"curlewmux/internal/judge"
	"curlewmux/internal/vnet"
)

// apiServer is a stand-in for a Kubernetes API server that has the EndpointSlices of all destinations: lists, watches,
// bookmarks, versions that expire, and whatever may go wrong with these.
type apiServer struct {
	f       *Farm
	m       *vnet.Machine
	dice    *dice
	made    int // slices
	version uint64
	floor   uint64 // versions from before are not to be had
	slices  []*apiSlice
	history []apiEvent
	watches []*apiConn
	last    time.Duration // when the newest change that is on its way will be there
	plain   bool          // it knows no streaming lists

	silent, failing, empty int // faults
	status                 int // of what fails, 0: its connection is reset

	then []apiState // what there was, now and then
}

// apiSlice is one slice.
type apiSlice struct {
	name    string
	dest    int
	version uint64
	entries []apiEntry
}

// apiEntry is one endpoint of a slice.
type apiEntry struct {
	uid, ip, zone      string
	ready, terminating bool
}

// apiEvent is one change.
type apiEvent struct {
	version uint64
	kind    string // ADDED, MODIFIED or DELETED
	slice   apiSlice
}

// apiState is what there was at a moment.
type apiState struct {
	version uint64
	slices  []apiSlice
}

const (
	apiPort    = 6443
	perSlice   = 3 // endpoints, before another slice begins
	bookmarks  = time.Second
	statesKept = 4
)

func newAPIServer(f *Farm) *apiServer {
	s := &apiServer{f: f, m: f.w.Machine("apiserver"), dice: stream(f.seed, "apiserver", 0), version: 100}
	s.plain = s.dice.chance(0.3)
	s.m.Boot(nil)
	if _, err := s.m.Process().Serve(fmt.Sprintf(":%d", apiPort), s.accept); err != nil {
		panic(err)
	}
	f.w.After(bookmarks, s.tick)
	return s
}

// tick sends bookmarks, and keeps what there is for a server that will be set back to it.
func (s *apiServer) tick() {
	s.f.w.After(bookmarks, s.tick)
	s.then = append(s.then, s.state())
	if len(s.then) > statesKept {
		s.then = s.then[1:]
	}
	for _, w := range slices.Clone(s.watches) {
		w.bookmark(false)
	}
}

func (s *apiServer) state() apiState {
	st := apiState{version: s.version}
	for _, l := range s.slices {
		one := *l
		one.entries = slices.Clone(l.entries)
		st.slices = append(st.slices, one)
	}
	return st
}

// take has the cluster know what discovery says of an endpoint.
func (s *apiServer) take(e entry) {
	ip, _, _ := strings.Cut(e.HostPort, ":")
	n := apiEntry{uid: uidOf(e.ID), ip: ip, zone: e.Locality, ready: e.Phase == "active", terminating: e.Phase == "leaving"}
	if e.Phase == "left" {
		for _, l := range slices.Clone(s.slices) {
			s.drop(l, n.uid)
		}
		return
	}
	in := s.naming(n.uid)
	if len(in) == 0 {
		in = append(in, s.room(e.Cell))
	}
	for _, l := range in {
		s.put(l, n)
	}
}

// naming are the slices that name an endpoint.
func (s *apiServer) naming(uid string) (in []*apiSlice) {
	for _, l := range s.slices {
		if l.at(uid) >= 0 {
			in = append(in, l)
		}
	}
	return in
}

func (l *apiSlice) at(uid string) int {
	return slices.IndexFunc(l.entries, func(e apiEntry) bool { return e.uid == uid })
}

// slice is the slice of a name as it is now, nil if there is none.
func (s *apiServer) slice(l *apiSlice) *apiSlice {
	for _, o := range s.slices {
		if o.name == l.name {
			return o
		}
	}
	return nil
}

// room is a slice of a destination that has room.
func (s *apiServer) room(dest int) *apiSlice {
	for _, l := range s.slices {
		if l.dest == dest && len(l.entries) < perSlice {
			return l
		}
	}
	return s.another(dest)
}

// another is a new slice of a destination.
func (s *apiServer) another(dest int) *apiSlice {
	s.made++
	l := &apiSlice{name: fmt.Sprintf("d%d-%d", dest, s.made), dest: dest}
	s.slices = append(s.slices, l)
	return l
}

// put puts an endpoint into a slice.
func (s *apiServer) put(l *apiSlice, n apiEntry) {
	kind := "MODIFIED"
	if len(l.entries) == 0 {
		kind = "ADDED"
	}
	if i := l.at(n.uid); i >= 0 {
		if l.entries[i] == n {
			return
		}
		l.entries = slices.Clone(l.entries) // others have the old ones
		l.entries[i] = n
	} else {
		l.entries = append(slices.Clone(l.entries), n)
	}
	s.changed(kind, l)
}

// drop takes an endpoint out of a slice. A slice that is empty goes.
func (s *apiServer) drop(l *apiSlice, uid string) {
	i := l.at(uid)
	if i < 0 {
		return
	}
	l.entries = slices.Delete(slices.Clone(l.entries), i, i+1)
	if len(l.entries) > 0 {
		s.changed("MODIFIED", l)
		return
	}
	s.slices = slices.DeleteFunc(s.slices, func(o *apiSlice) bool { return o == l })
	s.changed("DELETED", l)
}

func (s *apiServer) changed(kind string, l *apiSlice) {
	s.version++
	l.version = s.version
	one := *l
	one.entries = slices.Clone(l.entries)
	s.history = append(s.history, apiEvent{s.version, kind, one})
	for _, w := range slices.Clone(s.watches) {
		w.pump()
	}
}

// expire makes all versions so far unknown, and ends the watches.
func (s *apiServer) expire() {
	s.floor = s.version
	s.cut()
}

// cut ends all watches: some with an error that the version has expired, some by a reset, some in the middle of a line.
func (s *apiServer) cut() {
	for _, w := range slices.Clone(s.watches) {
		switch s.dice.n(3) {
		case 0:
			w.chunk(`{"type":"ERROR","object":` + statusText(410, "Expired") + "}\n")
			w.c.Send([]byte("0\r\n\r\n"))
			w.end(false)
		case 1:
			w.c.Send([]byte("40\r\n{\"type\":\"MODIFIED\",\"obj"))
			w.end(true)
		default:
			w.end(true)
		}
	}
}

// setBack has the server have what it had a while ago.
func (s *apiServer) setBack() bool {
	if len(s.then) == 0 || s.then[0].version == s.version {
		return false
	}
	old := s.then[0]
	s.version, s.slices, s.then = old.version, nil, nil
	for i := range old.slices {
		s.slices = append(s.slices, &old.slices[i])
	}
	s.history = slices.DeleteFunc(s.history, func(e apiEvent) bool { return e.version > old.version })
	s.floor = min(s.floor, s.version)
	for _, w := range slices.Clone(s.watches) {
		w.end(true)
	}
	return true
}

// reconcile brings the slices to what the farm is, as controllers do.
func (s *apiServer) reconcile() {
	for _, e := range whole(s.f.truth) {
		s.take(e)
	}
	for _, e := range s.f.truth {
		if e.Phase == "left" {
			s.take(e)
		}
	}
}

// text is a slice as JSON.
func (l *apiSlice) text() string {
	type condition struct {
		Ready       bool `json:"ready"`
		Serving     bool `json:"serving"`
		Terminating bool `json:"terminating"`
	}
	type object = map[string]any
	var list []object
	for _, e := range l.entries {
		list = append(list, object{
			"addresses": []string{e.ip}, "conditions": condition{e.ready, e.ready || e.terminating, e.terminating}, "zone": e.zone,
			"targetRef": object{"kind": "Pod", "name": e.uid, "uid": e.uid},
		})
	}
	text, err := json.Marshal(object{
		"kind": "EndpointSlice", "apiVersion": "discovery.k8s.io/v1", "addressType": "IPv4", "endpoints": list,
		"ports": []object{{"name": "", "port": endpointPort, "protocol": "TCP"}},
		"metadata": object{
			"name": l.name, "namespace": "default", "resourceVersion": fmt.Sprint(l.version), "labels": object{"dest": fmt.Sprint(l.dest)},
		},
	})
	if err != nil {
		panic(err)
	}
	return string(text)
}

func statusText(code int, reason string) string {
	return fmt.Sprintf(`{"kind":"Status","apiVersion":"v1","status":"Failure","code":%d,"reason":%q,"message":"a fault of the script"}`, code, reason)
}

// apiConn is one connection, which carries one request.
type apiConn struct {
	s       *apiServer
	c       *vnet.Conn
	a       *agent // whose
	dest    int
	initial bool   // a streaming list
	next    uint64 // version behind which it goes on
	over    bool
}

func (s *apiServer) accept(c *vnet.Conn) {
	k := &apiConn{s: s, c: c}
	for _, d := range s.f.dispatchers {
		if d.agent.m == c.Far().Process().Machine() {
			k.a = d.agent
		}
	}
	end := func() { k.end(false); c.Close() }
	c.Handle(vnet.Events{Data: k.data, End: end, Broken: func(error) { end() }})
}

// end ends a watch, or whatever it is.
func (k *apiConn) end(reset bool) {
	k.s.watches = slices.DeleteFunc(k.s.watches, func(o *apiConn) bool { return o == k })
	if k.over {
		return
	}
	k.over = true
	if reset {
		k.c.Reset()
	}
}

func (k *apiConn) data() {
	h, ok := readHead(k.c.Unread())
	if !ok || k.over {
		return
	}
	k.c.Discard(len(k.c.Unread()))
	s := k.s
	u, err := url.Parse(h.word(1))
	q := u.Query()
	dest, bad := strconv.Atoi(strings.TrimPrefix(q.Get("labelSelector"), "dest="))
	none := q.Get("fieldSelector") != ""
	switch {
	case err != nil || bad != nil && !none || u.Path != "/apis/discovery.k8s.io/v1/namespaces/default/endpointslices":
		s.f.violation("calls are as they must be", "the API server is asked for %s", h.word(1))
		k.end(true)
		return
	case s.failing > 0 && s.status == 0:
		k.end(true)
		return
	case s.failing > 0:
		s.f.count(fmt.Sprintf("API server answers %d", s.status))
		k.answer(s.status, statusText(s.status, "Fault"), nil)
		return
	}
	k.dest = dest
	if q.Get("watch") == "" {
		k.list(none)
		return
	}
	if q.Get("sendInitialEvents") == "true" {
		if s.plain {
			k.answer(400, statusText(400, "BadRequest"), nil)
			return
		}
		k.initial = true
	} else {
		v, err := strconv.ParseUint(q.Get("resourceVersion"), 10, 64)
		if err != nil || v < s.floor {
			s.f.count("a version has expired")
			k.answer(410, statusText(410, "Expired"), nil)
			return
		}
		k.next = v
	}
	k.c.Send([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"))
	s.watches = append(s.watches, k)
	seconds, _ := strconv.Atoi(q.Get("timeoutSeconds"))
	s.f.w.After(time.Duration(seconds)*time.Second, func() {
		if !k.over {
			k.c.Send([]byte("0\r\n\r\n"))
			k.end(false)
		}
	})
	if k.initial {
		var read []apiSlice
		for _, l := range k.all() {
			k.event("ADDED", l)
			read = append(read, *l)
		}
		k.next = s.version
		k.bookmark(true)
		if s.silent == 0 { // else the list has no end
			k.mark(func() { k.a.view.listed(k.dest, read) })
		}
		return
	}
	k.pump()
}

// all are the slices that the request wants, none while the fault is that lists are empty.
func (k *apiConn) all() (list []*apiSlice) {
	if k.s.empty > 0 {
		k.s.f.count("a list is empty by mistake")
		return nil
	}
	for _, l := range k.s.slices {
		if l.dest == k.dest {
			list = append(list, l)
		}
	}
	return list
}

// list answers a request for a list.
func (k *apiConn) list(none bool) {
	items := []string{}
	var read []apiSlice
	if !none {
		for _, l := range k.all() {
			items = append(items, l.text())
			read = append(read, *l)
		}
	}
	text := fmt.Sprintf(`{"kind":"EndpointSliceList","apiVersion":"discovery.k8s.io/v1","metadata":{"resourceVersion":"%d"},"items":[%s]}`,
		k.s.version, strings.Join(items, ","))
	var then func()
	if !none {
		k.s.f.count("a list of slices")
		then = func() { k.a.view.listed(k.dest, read) }
	}
	k.answer(200, text, then)
}

func (k *apiConn) answer(status int, text string, then func()) {
	said := answer(status, text, "Content-Type: application/json", "Connection: close")
	if t := k.s.f.tracks[k.c.ID()]; t != nil && then != nil {
		t.mark(len(said), then)
	}
	k.c.Send(said)
	k.end(false)
	k.c.Close()
}

// chunk sends a line of a watch.
func (k *apiConn) chunk(line string) {
	k.c.Send(fmt.Appendf(nil, "%x\r\n%s\r\n", len(line), line))
}

// mark has something done once all that was sent has come.
func (k *apiConn) mark(then func()) {
	if t := k.s.f.tracks[k.c.ID()]; t != nil {
		t.mark(0, then)
	}
}

func (k *apiConn) event(kind string, l *apiSlice) {
	one := *l
	one.entries = slices.Clone(l.entries)
	k.chunk(`{"type":"` + kind + `","object":` + one.text() + "}\n")
	k.mark(func() { k.a.view.event(kind, one) })
}

// pump sends what has changed.
func (k *apiConn) pump() {
	if k.over || k.s.silent > 0 {
		return
	}
	for _, e := range k.s.history {
		if e.version > k.next {
			k.next = e.version
			if e.slice.dest == k.dest {
				k.event(e.kind, &e.slice)
			}
		}
	}
}

func (k *apiConn) bookmark(last bool) {
	if k.over || k.s.silent > 0 {
		return
	}
	notes := ""
	if last {
		notes = `,"annotations":{"k8s.io/initial-events-end":"true"}`
	}
	k.chunk(fmt.Sprintf(`{"type":"BOOKMARK","object":{"kind":"EndpointSlice","apiVersion":"discovery.k8s.io/v1","metadata":{"resourceVersion":"%d"%s}}}`+"\n",
		k.next, notes))
}

// view is what has come to an agent of the slices, as the slowest and plainest reading of the rules has it: an endpoint is
// as usable as the worst that any slice says of it, and gets nothing new while none names it.
type view struct {
	a      *agent
	slices []apiSlice
	ended  map[string]bool // uids that were read as terminating
	told   map[string]bool // of whom the judge was told that they get nothing new
}

func newView(a *agent) *view { return &view{a: a, ended: map[string]bool{}, told: map[string]bool{}} }

// listed takes a whole list of a destination.
func (v *view) listed(dest int, list []apiSlice) {
	var touched []string
	v.slices = slices.DeleteFunc(v.slices, func(l apiSlice) bool {
		if l.dest == dest {
			touched = append(touched, l.uids()...)
		}
		return l.dest == dest
	})
	for _, l := range list {
		v.slices = append(v.slices, l)
		touched = append(touched, l.uids()...)
	}
	v.tell(touched)
}

// event takes one event.
func (v *view) event(kind string, l apiSlice) {
	touched := l.uids()
	v.slices = slices.DeleteFunc(v.slices, func(o apiSlice) bool {
		if o.name == l.name {
			touched = append(touched, o.uids()...)
		}
		return o.name == l.name
	})
	if kind != "DELETED" {
		v.slices = append(v.slices, l)
	}
	v.tell(touched)
}

func (l *apiSlice) uids() (list []string) {
	for _, e := range l.entries {
		list = append(list, e.uid)
	}
	return list
}

// usable tells whether an endpoint may get new work.
func (v *view) usable(uid string) bool {
	named, good := false, true
	for i := range v.slices {
		if at := v.slices[i].at(uid); at >= 0 {
			e := &v.slices[i].entries[at]
			if e.terminating {
				v.ended[uid] = true
			}
			named, good = true, good && e.ready && !e.terminating
		}
	}
	return named && good && !v.ended[uid]
}

// tell tells the judge who gets nothing new any more. While the way to the dispatcher is at fault that counts once it has
// come there.
func (v *view) tell(uids []string) {
	f, d := v.a.f, v.a.d
	var list []judge.Member
	for _, uid := range uids {
		phase := judge.Leaving
		if v.usable(uid) {
			if !v.told[uid] {
				continue
			}
			phase = judge.Active // again: where that comes at once the agent has nothing to tell
		}
		for _, e := range slices.Backward(f.truth) {
			if uidOf(e.ID) == uid {
				list = append(list, judge.Member{ID: e.ID, Addr: e.HostPort, Dest: e.Cell, Phase: phase})
				break
			}
		}
		v.told[uid] = phase == judge.Leaving
	}
	if len(list) > 0 && d.ready && v.a.complete && v.a.silent == 0 && !d.mutedAt(f.w.Now()) {
		f.count("a slice's event takes work away")
		f.tell(judge.Listed{Dispatcher: d.name, Members: list})
	}
}
