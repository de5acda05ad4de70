package agent

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"curlewmux/membership/endpointslice"
)

// server answers dispatchers in discovery's protocol, and operators.
type server struct {
	hub     *hub
	reports string // host:port where notices go, or "log"
	log     *slog.Logger
	http    *http.Client
	stats   func() map[string]endpointslice.Stats
	mux     *http.ServeMux
	watches counted
	posts   counted
}

const (
	mostWatches = 32       // watches and lists at once; dispatchers on one machine are few
	mostPosts   = 32       // batches of notices at once
	mostReport  = 64 << 10 // bytes of a batch, as the protocol has it
	reportLimit = 2 * time.Second
	writeLimit  = 5 * time.Second // for an answer; a whole list of 10,000 endpoints has 2 MB
)

func newServer(h *hub, reports string, log *slog.Logger) *server {
	s := &server{
		hub: h, reports: reports, log: log, watches: counted{most: mostWatches}, posts: counted{most: mostPosts},
		http: &http.Client{
			Timeout: reportLimit,
			// On a shared connection a late copy of a response would acknowledge the next notices.
			Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		mux: http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /api/targets", s.targets)
	s.mux.HandleFunc("POST /reports", s.report)
	s.mux.HandleFunc("GET /-/healthy", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s.mux.HandleFunc("GET /-/sources", s.sources)
	s.mux.HandleFunc("GET /-/why", s.why)
	return s
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// targets answers a list or a watch.
func (s *server) targets(w http.ResponseWriter, r *http.Request) {
	after, wait := int64(-1), int64(0)
	for name, to := range map[string]*int64{"after": &after, "wait_ms": &wait} {
		if text := r.URL.Query().Get(name); text != "" {
			n, err := strconv.ParseInt(text, 10, 64)
			if err != nil || n < 0 {
				http.Error(w, fmt.Sprintf("%s: %.40q is no number", name, text), http.StatusBadRequest)
				return
			}
			*to = n
		}
	}
	if !s.watches.enter() {
		http.Error(w, "too many watches", http.StatusServiceUnavailable)
		return
	}
	defer s.watches.leave()
	wait = min(wait, mostWait.Milliseconds()) // before it is multiplied
	l, err := s.hub.watch(r.Context(), after, time.Duration(wait)*time.Millisecond)
	if err != nil {
		return // the client is gone
	}
	s.write(w, l)
}

func (s *server) write(w http.ResponseWriter, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		s.log.Error("an answer can't be written", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeLimit)) // a reader that stops must not hold us
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.Write(text) // its error is the reader's
}

// report passes notices on and answers as the platform does, so that the dispatcher tries on until they are taken.
func (s *server) report(w http.ResponseWriter, r *http.Request) {
	if !s.posts.enter() {
		http.Error(w, "too many batches", http.StatusServiceUnavailable)
		return
	}
	defer s.posts.leave()
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(reportLimit))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostReport))
	if err != nil {
		http.Error(w, "the batch can't be read", http.StatusBadRequest)
		return
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{})
	if s.reports == "log" {
		w.WriteHeader(s.logReport(body))
		return
	}
	req, err := http.NewRequestWithContext(r.Context(), http.MethodPost, "http://"+s.reports+"/reports", bytes.NewReader(body))
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	req.Header.Set("Content-Type", r.Header.Get("Content-Type"))
	res, err := s.http.Do(req)
	if err != nil {
		http.Error(w, "the platform does not take notices now", http.StatusBadGateway)
		return
	}
	defer res.Body.Close()
	w.WriteHeader(res.StatusCode)
}

// logReport is where notices end if there is no platform to tell.
func (s *server) logReport(body []byte) int {
	type notice struct {
		ID, Status string
		Again      int64 `json:"again_ms"`
	}
	var list []notice
	for line := range strings.Lines(string(body)) {
		var n notice
		if json.Unmarshal([]byte(line), &n) != nil || n.ID == "" {
			return http.StatusBadRequest
		}
		list = append(list, n)
	}
	for _, n := range list {
		s.log.Info("notice", "message", n.ID, "status", n.Status, "again_ms", n.Again)
	}
	return http.StatusNoContent
}

// sources tells operators how the sources stand.
func (s *server) sources(w http.ResponseWriter, _ *http.Request) {
	s.hub.mu.Lock()
	list, revision, whole := s.hub.table.Sources(), s.hub.rev, s.hub.whole
	s.hub.mu.Unlock()
	s.write(w, struct {
		Revision int64
		Complete bool
		Sources  any
		Stats    any
	}{revision, whole, list, s.stats()})
}

// why tells operators why an endpoint is in its state.
func (s *server) why(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	s.hub.mu.Lock()
	x, known := s.hub.table.Explain(id)
	s.hub.mu.Unlock()
	if !known {
		http.Error(w, fmt.Sprintf("no source has told of %.80q", id), http.StatusNotFound)
		return
	}
	fmt.Fprint(w, x)
}
