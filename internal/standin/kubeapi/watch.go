package kubeapi

import (
	"bufio"
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// watch plays the history to one client.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, q query) {
	if q.initial != nil {
		if s.opt.NoStreaming {
			status(w, http.StatusUnprocessableEntity, "Invalid", "sendInitialEvents: Forbidden: sendInitialEvents is forbidden for watch unless the WatchList feature gate is enabled", 0)
			return
		}
		if q.match != "NotOlderThan" {
			status(w, http.StatusUnprocessableEntity, "Invalid", "resourceVersionMatch: Forbidden: sendInitialEvents requires setting resourceVersionMatch to NotOlderThan", 0)
			return
		}
	}
	initial := q.initial != nil && *q.initial || q.initial == nil && (q.version == "" || q.version == "0")
	var from uint64
	if initial {
		var ok bool
		if _, ok = s.fresh(w, r, q.version); !ok {
			return
		}
	} else {
		var err error
		if from, err = strconv.ParseUint(cmp.Or(q.version, "0"), 10, 64); err != nil {
			status(w, http.StatusBadRequest, "BadRequest", "invalid resourceVersion", 0)
			return
		}
	}
	out := &watcher{s: s, w: bufio.NewWriterSize(w, 64<<10), rc: http.NewResponseController(w), r: r, q: q}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	out.rc.Flush() // its error shows with the next write
	s.mu.Lock()
	s.open++
	out.cut = s.cut
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.open--
		s.mu.Unlock()
	}()
	if q.timeout > 0 {
		t := time.NewTimer(q.timeout)
		defer t.Stop()
		out.timeout = t.C
	}
	if initial {
		s.mu.Lock()
		from = s.version
		var items []*object
		for _, o := range s.objects {
			if q.wants(o) && !s.blind {
				items = append(items, o)
			}
		}
		s.mu.Unlock()
		slices.SortFunc(items, func(a, b *object) int { return cmp.Compare(a.key, b.key) })
		for _, o := range items {
			out.event("ADDED", withKind(o))
		}
		if q.initial != nil && q.bookmarks {
			out.event("BOOKMARK", bookmark(from, `,"annotations":{"k8s.io/initial-events-end":"true"}`))
		}
		if !out.flush() {
			return
		}
		s.written(items...)
	}
	out.follow(from)
}

func bookmark(version uint64, more string) string {
	return fmt.Sprintf(`{"kind":"EndpointSlice","apiVersion":"discovery.k8s.io/v1","metadata":{"resourceVersion":"%d","creationTimestamp":null%s},"addressType":"","endpoints":null,"ports":null}`, version, more)
}

// watcher is one client's watch.
type watcher struct {
	s       *Server
	w       *bufio.Writer
	rc      *http.ResponseController
	r       *http.Request
	q       query
	cut     chan struct{}
	timeout <-chan time.Time
	broken  bool
}

// follow tells what is newer than a version until the watch ends.
func (o *watcher) follow(from uint64) {
	s := o.s
	bookmarks := time.NewTicker(s.opt.Bookmarks)
	defer bookmarks.Stop()
	for {
		s.mu.Lock()
		changed, mute := s.changed, s.mute
		var news []change
		expired := from < s.compacted
		if !mute && !expired {
			at, _ := slices.BinarySearchFunc(s.history, from+1, func(c change, v uint64) int { return cmp.Compare(c.version, v) })
			news = append(news, s.history[at:]...)
		}
		s.mu.Unlock()
		if expired && !mute {
			o.event("ERROR", statusText(http.StatusGone, "Expired", fmt.Sprintf("too old resource version: %d", from), 0, ""))
			o.flush()
			return
		}
		var told []Written
		for _, c := range news {
			from = c.version
			was, is := o.q.wants(c.old), o.q.wants(c.new)
			switch {
			case is && was:
				o.event("MODIFIED", withKind(c.new))
			case is:
				o.event("ADDED", withKind(c.new))
			case was: // its last state, with the version of the change
				gone := *c.old
				gone.fields = replaceVersion(gone.fields, c.old.version, c.version)
				o.event("DELETED", withKind(&gone))
			default:
				continue
			}
			if s.opt.Written != nil {
				o := c.new
				if o == nil {
					o = c.old
				}
				told = append(told, Written{Key: o.key, Version: c.version, Deleted: !is})
			}
		}
		if len(news) > 0 {
			if !o.flush() {
				return
			}
			now := time.Now()
			for _, t := range told {
				t.At = now
				s.opt.Written(t)
			}
			continue // more may have come meanwhile
		}
		select {
		case <-changed:
		case <-bookmarks.C:
			if !o.q.bookmarks || mute {
				continue
			}
			s.mu.Lock()
			now := s.version
			s.mu.Unlock()
			if now > from {
				continue // a bookmark says that all up to it has been told: that must go out first
			}
			o.event("BOOKMARK", bookmark(now, ""))
			if !o.flush() {
				return
			}
		case <-o.timeout:
			return
		case <-o.r.Context().Done():
			return
		case <-o.cut:
			s.mu.Lock()
			half := s.cutHalf
			s.mu.Unlock()
			if half {
				o.w.WriteString(`{"type":"MODIFIED","object":{"kind":"EndpointSlice","metadata":{"name":"ha`)
				o.w.Flush()
				o.rc.Flush()
			}
			panic(http.ErrAbortHandler) // breaks the connection, or the stream
		}
	}
}

func replaceVersion(fields string, old, new uint64) string {
	from, to := fmt.Sprintf(`"resourceVersion":"%d"`, old), fmt.Sprintf(`"resourceVersion":"%d"`, new)
	for i := 0; i+len(from) <= len(fields); i++ {
		if fields[i:i+len(from)] == from {
			return fields[:i] + to + fields[i+len(from):]
		}
	}
	return fields
}

func (o *watcher) event(kind, object string) {
	o.s.mu.Lock()
	chop, pause := o.s.chop, o.s.chopPause
	o.s.mu.Unlock()
	line := `{"type":"` + kind + `","object":` + object + "}\n"
	for chop > 0 && len(line) > chop && !o.broken {
		o.w.WriteString(line[:chop])
		line = line[chop:]
		o.flush()
		select {
		case <-time.After(pause):
		case <-o.r.Context().Done():
			o.broken = true
		}
	}
	o.w.WriteString(line)
}

func (o *watcher) flush() bool {
	if o.broken || o.w.Flush() != nil || o.rc.Flush() != nil {
		o.broken = true
	}
	return !o.broken
}
