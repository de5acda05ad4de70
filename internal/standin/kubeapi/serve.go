package kubeapi

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ServeHTTP answers what a client may ask of an API server that has EndpointSlices only.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	if text, ok := discovery[strings.TrimSuffix(r.URL.Path, "/")]; ok {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprint(w, text)
		return
	}
	const group = "/apis/discovery.k8s.io/v1/"
	rest, ok := strings.CutPrefix(r.URL.Path, group)
	if !ok || r.Method != http.MethodGet {
		status(w, http.StatusNotFound, "NotFound", "the stand-in knows no "+r.Method+" "+r.URL.Path, 0)
		return
	}
	namespace := ""
	if in, ok := strings.CutPrefix(rest, "namespaces/"); ok {
		namespace, rest, _ = strings.Cut(in, "/")
	}
	resource, name, _ := strings.Cut(rest, "/")
	if resource != "endpointslices" {
		status(w, http.StatusNotFound, "NotFound", "the server could not find the requested resource", 0)
		return
	}
	if name != "" {
		s.get(w, namespace, name)
		return
	}
	q, err := parseQuery(r, namespace)
	if err != nil {
		status(w, http.StatusBadRequest, "BadRequest", err.Error(), 0)
		return
	}
	if q.watch {
		s.watch(w, r, q)
	} else {
		s.list(w, r, q)
	}
}

// discovery is what kubectl asks for first.
var discovery = map[string]string{
	"/version":                  `{"major":"1","minor":"37","gitVersion":"v1.37.0-standin"}`,
	"/api":                      `{"kind":"APIVersions","versions":["v1"],"serverAddressByClientCIDRs":[]}`,
	"/api/v1":                   `{"kind":"APIResourceList","apiVersion":"v1","groupVersion":"v1","resources":[]}`,
	"/apis":                     `{"kind":"APIGroupList","apiVersion":"v1","groups":[{"name":"discovery.k8s.io","versions":[{"groupVersion":"discovery.k8s.io/v1","version":"v1"}],"preferredVersion":{"groupVersion":"discovery.k8s.io/v1","version":"v1"}}]}`,
	"/apis/discovery.k8s.io/v1": `{"kind":"APIResourceList","apiVersion":"v1","groupVersion":"discovery.k8s.io/v1","resources":[{"name":"endpointslices","singularName":"endpointslice","namespaced":true,"kind":"EndpointSlice","verbs":["get","list","watch"]}]}`,
}

// admit checks who asks and plays the faults.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	verb := "list"
	if r.URL.Query().Get("watch") == "true" || r.URL.Query().Get("watch") == "1" {
		verb = "watch"
	}
	s.mu.Lock()
	s.requests[verb]++
	if r.URL.Query().Get("sendInitialEvents") == "true" {
		s.requests["streaming list"]++
	}
	token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	known := s.opt.Tokens == nil || slices.Contains(s.tokens, token)
	var fault *Fault
	for i := range s.faults {
		if f := &s.faults[i]; (f.Verb == "" || f.Verb == verb) && (!f.Continued || r.URL.Query().Has("continue")) {
			played := *f
			fault = &played
			if f.Times == 1 {
				s.faults = slices.Delete(s.faults, i, i+1)
			} else if f.Times > 1 {
				f.Times--
			}
			break
		}
	}
	s.mu.Unlock()
	switch {
	case !known:
		status(w, http.StatusUnauthorized, "Unauthorized", "Unauthorized", 0)
		return false
	case fault == nil:
		return true
	case fault.Event && verb == "watch":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"type":"ERROR","object":%s}`+"\n", statusText(fault.Code, reasons[fault.Code], "the stand-in was told to", fault.RetryAfter, ""))
		return false
	}
	status(w, fault.Code, reasons[fault.Code], "the stand-in was told to", fault.RetryAfter)
	return false
}

var reasons = map[int]string{
	400: "BadRequest", 401: "Unauthorized", 403: "Forbidden", 410: "Expired", 422: "Invalid", 429: "TooManyRequests",
	500: "InternalError", 503: "ServiceUnavailable", 504: "Timeout",
}

func status(w http.ResponseWriter, code int, reason, message string, retryAfter int) {
	w.Header().Set("Content-Type", "application/json")
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfter))
	}
	w.WriteHeader(code)
	fmt.Fprint(w, statusText(code, reason, message, retryAfter, ""))
}

func statusText(code int, reason, message string, retryAfter int, cause string) string {
	type causes struct {
		Reason  string `json:"reason"`
		Message string `json:"message"`
	}
	var o struct {
		Kind       string   `json:"kind"`
		APIVersion string   `json:"apiVersion"`
		Metadata   struct{} `json:"metadata"`
		Status     string   `json:"status"`
		Message    string   `json:"message"`
		Reason     string   `json:"reason"`
		Details    struct {
			RetryAfterSeconds int      `json:"retryAfterSeconds,omitempty"`
			Causes            []causes `json:"causes,omitempty"`
		} `json:"details"`
		Code int `json:"code"`
	}
	o.Kind, o.APIVersion, o.Status, o.Message, o.Reason, o.Code = "Status", "v1", "Failure", message, reason, code
	o.Details.RetryAfterSeconds = retryAfter
	if cause != "" {
		o.Details.Causes = []causes{{cause, message}}
	}
	text, _ := json.Marshal(o) // these fields can't fail
	return string(text)
}

func (s *Server) get(w http.ResponseWriter, namespace, name string) {
	s.mu.Lock()
	o := s.objects[namespace+"/"+name]
	s.mu.Unlock()
	if o == nil {
		status(w, http.StatusNotFound, "NotFound", fmt.Sprintf("endpointslices.discovery.k8s.io %q not found", name), 0)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprint(w, withKind(o))
}

func withKind(o *object) string {
	return `{"kind":"EndpointSlice","apiVersion":"discovery.k8s.io/v1",` + o.fields
}

// query is what a list or watch asks for.
type query struct {
	namespace        string
	labels           []requirement
	name             string // of a field selector
	watch, bookmarks bool
	initial          *bool // sendInitialEvents
	version          string
	match            string
	limit            int
	from             string // continue: the key to begin after
	fromVersion      uint64
	timeout          time.Duration
}

func parseQuery(r *http.Request, namespace string) (q query, err error) {
	v := r.URL.Query()
	q.namespace, q.version, q.match = namespace, v.Get("resourceVersion"), v.Get("resourceVersionMatch")
	q.watch = v.Get("watch") == "true" || v.Get("watch") == "1"
	q.bookmarks = v.Get("allowWatchBookmarks") == "true" || v.Get("allowWatchBookmarks") == "1"
	if q.labels, err = parseSelector(v.Get("labelSelector")); err != nil {
		return q, err
	}
	if f := v.Get("fieldSelector"); f != "" {
		name, ok := strings.CutPrefix(f, "metadata.name=")
		if !ok {
			return q, fmt.Errorf("field selector %q is not known", f)
		}
		q.name = name
	}
	if t := v.Get("sendInitialEvents"); t != "" {
		b, err := strconv.ParseBool(t)
		if err != nil {
			return q, err
		}
		q.initial = &b
	}
	if t := v.Get("limit"); t != "" {
		if q.limit, err = strconv.Atoi(t); err != nil {
			return q, err
		}
	}
	if t := v.Get("timeoutSeconds"); t != "" {
		n, err := strconv.Atoi(t)
		if err != nil {
			return q, err
		}
		q.timeout = time.Duration(n) * time.Second
	}
	if t := v.Get("continue"); t != "" {
		text, err := base64.RawURLEncoding.DecodeString(t)
		if err != nil {
			return q, fmt.Errorf("continue key is not valid: %w", err)
		}
		version, key, ok := strings.Cut(string(text), " ")
		if q.fromVersion, err = strconv.ParseUint(version, 10, 64); !ok || err != nil {
			return q, errors.New("continue key is not valid")
		}
		q.from = key
	}
	return q, nil
}

func (q *query) wants(o *object) bool {
	if o == nil || q.namespace != "" && o.namespace != q.namespace || q.name != "" && o.name != q.name {
		return false
	}
	for _, r := range q.labels {
		if !r.matches(o.labels) {
			return false
		}
	}
	return true
}

// fresh waits until the server has a version, as a watch cache does; it answers itself if that does not come.
func (s *Server) fresh(w http.ResponseWriter, r *http.Request, version string) (v uint64, ok bool) {
	if version == "" {
		return 0, true
	}
	v, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		status(w, http.StatusBadRequest, "BadRequest", "invalid resourceVersion", 0)
		return 0, false
	}
	limit := time.After(time.Second)
	for {
		s.mu.Lock()
		now, changed := s.version, s.changed
		s.mu.Unlock()
		if v <= now {
			return v, true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return 0, false
		case <-limit:
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusGatewayTimeout)
			fmt.Fprint(w, statusText(http.StatusGatewayTimeout, "Timeout", fmt.Sprintf("Too large resource version: %d, current: %d", v, now), 1, "ResourceVersionTooLarge"))
			return 0, false
		}
	}
}

func (s *Server) list(w http.ResponseWriter, r *http.Request, q query) {
	asked, ok := s.fresh(w, r, q.version)
	if !ok {
		return
	}
	s.mu.Lock()
	at := s.version
	exact := q.match == "Exact" && asked > 0
	if q.fromVersion > 0 || exact {
		if at = max(q.fromVersion, asked); at < s.compacted || at > s.version {
			s.mu.Unlock()
			status(w, http.StatusGone, "Expired", "The provided continue parameter is too old to display a consistent list result.", 0)
			return
		}
	}
	all := s.asOf(at)
	if s.blind {
		clear(all)
	}
	s.mu.Unlock()
	items := make([]*object, 0, len(all))
	for _, o := range all {
		if q.wants(o) && o.key > q.from {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b *object) int { return cmp.Compare(a.key, b.key) })
	var meta struct {
		ResourceVersion    string `json:"resourceVersion"`
		Continue           string `json:"continue,omitempty"`
		RemainingItemCount *int   `json:"remainingItemCount,omitempty"`
	}
	meta.ResourceVersion = strconv.FormatUint(at, 10)
	if q.limit > 0 && len(items) > q.limit && q.version != "0" { // the watch cache does not page
		if rest := len(items) - q.limit; len(q.labels) == 0 && q.name == "" {
			meta.RemainingItemCount = &rest
		}
		items = items[:q.limit]
		meta.Continue = base64.RawURLEncoding.EncodeToString(fmt.Appendf(nil, "%d %s", at, items[len(items)-1].key))
	}
	head, _ := json.Marshal(meta) // these fields can't fail
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"kind":"EndpointSliceList","apiVersion":"discovery.k8s.io/v1","metadata":%s,"items":[`, head)
	for i, o := range items {
		if i > 0 {
			fmt.Fprint(w, ",")
		}
		fmt.Fprint(w, "{", o.fields)
	}
	fmt.Fprint(w, "]}\n")
	http.NewResponseController(w).Flush() // its error shows with the next write
	s.written(items...)
}

func (s *Server) written(items ...*object) {
	if s.opt.Written != nil {
		now := time.Now()
		for _, o := range items {
			s.opt.Written(Written{Key: o.key, Version: o.version, At: now})
		}
	}
}
