package standin

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Member is an entry of discovery's list.
type Member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`
}

// Notice is a line of a call of /reports.
type Notice struct {
	ID      string    `json:"id"`
	Status  string    `json:"status"`
	AgainMS int64     `json:"again_ms"`
	At      time.Time `json:"-"`
}

// Agent is discovery's agent on the dispatcher's machine: the list with its watch, and notices.
type Agent struct {
	Record *Record
	// OnNotice, if set before the dispatcher starts, is called with each notice. It must not block.
	OnNotice func(Notice)

	server   *server
	mu       sync.Mutex
	changed  chan struct{}
	members  map[string]Member
	order    []string
	history  []Member // change i made revision i+1
	silent   bool
	toldAt   map[int64]time.Time // when a revision was first written
	notices  map[string][]Notice
	watchers int
}

// NewAgent starts an agent on a free loopback port.
func NewAgent(record *Record) (*Agent, error) {
	a := &Agent{Record: record, changed: make(chan struct{}), members: map[string]Member{}, toldAt: map[int64]time.Time{}, notices: map[string][]Notice{}}
	s, err := listen(a.serve)
	a.server = s
	return a, err
}

// Addr is its address.
func (a *Agent) Addr() string { return a.server.Addr() }

// Close ends it.
func (a *Agent) Close() { a.server.Close() }

// Set changes members of the list, each to what is given, and returns the new revision.
func (a *Agent) Set(members ...Member) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range members {
		if _, known := a.members[m.ID]; !known {
			a.order = append(a.order, m.ID)
		}
		a.members[m.ID] = m
		a.history = append(a.history, m)
		a.Record.Add("agent: revision %d: %s dest %d at %s is %s", len(a.history), m.ID, m.Cell, m.HostPort, m.Phase)
	}
	a.wake()
	return int64(len(a.history))
}

// Silence makes the agent answer no request for the list, or ends that. Requests that came meanwhile are answered then.
// Notices are answered all the time.
func (a *Agent) Silence(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
	a.Record.Add("agent: silent %v", silent)
	a.wake()
}

func (a *Agent) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Told returns when a revision, or a later one, was first written to the dispatcher.
func (a *Agent) Told(revision int64) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var first time.Time
	for r, at := range a.toldAt {
		if r >= revision && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// Notices returns the notices about a message.
func (a *Agent) Notices(id string) []Notice {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Notice(nil), a.notices[id]...)
}

// List returns the whole list.
func (a *Agent) List() (list []Member, revision int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range a.order {
		if m := a.members[id]; m.Phase != "left" {
			list = append(list, m)
		}
	}
	return list, int64(len(a.history))
}

func (a *Agent) serve(c *Conn) {
	for {
		request, body, _, err := c.Read(nil)
		if err != nil {
			return
		}
		status, text := a.answer(c, request, body)
		if status == 0 || c.Answer(status, nil, text) != nil {
			return
		}
	}
}

func (a *Agent) answer(c *Conn, request *http.Request, body []byte) (status int, text []byte) {
	switch request.URL.Path {
	case "/reports":
		now := time.Now()
		lines := bufio.NewScanner(newReader(body))
		a.mu.Lock()
		defer a.mu.Unlock()
		for lines.Scan() {
			n := Notice{At: now}
			if json.Unmarshal(lines.Bytes(), &n) != nil || n.ID == "" {
				return http.StatusBadRequest, nil
			}
			a.notices[n.ID] = append(a.notices[n.ID], n)
			a.Record.AddAt(now, "notice: %s %s", n.ID, n.Status)
			if a.OnNotice != nil {
				a.OnNotice(n)
			}
		}
		return http.StatusNoContent, nil
	case "/api/targets":
		return a.targets(c, request)
	}
	return http.StatusNotFound, nil
}

func (a *Agent) targets(c *Conn, request *http.Request) (status int, text []byte) {
	query := request.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	wholeList := query.Get("after") == ""
	if err != nil && !wholeList {
		return http.StatusBadRequest, nil
	}
	waitMS, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	until := time.Now().Add(time.Duration(min(waitMS, 60_000)) * time.Millisecond)
	for {
		a.mu.Lock()
		changed, silent, revision := a.changed, a.silent, int64(len(a.history))
		ready := !silent && (wholeList || revision > after || !time.Now().Before(until))
		if ready {
			reply := struct {
				Revision int64    `json:"revision"`
				Complete bool     `json:"complete"`
				Members  []Member `json:"members"`
			}{revision, wholeList || after > revision, []Member{}}
			if reply.Complete {
				for _, id := range a.order {
					if m := a.members[id]; m.Phase != "left" {
						reply.Members = append(reply.Members, m)
					}
				}
			} else {
				reply.Members = append(reply.Members, a.history[after:]...)
			}
			if _, told := a.toldAt[revision]; !told {
				a.toldAt[revision] = time.Now()
				a.Record.Add("agent: tells the dispatcher revision %d", revision)
			}
			a.mu.Unlock()
			text, err := json.Marshal(reply)
			if err != nil {
				return http.StatusInternalServerError, nil
			}
			return http.StatusOK, text
		}
		a.mu.Unlock()
		left := time.Until(until)
		if silent || wholeList {
			left = time.Hour
		}
		timer := time.NewTimer(max(left, 0))
		select {
		case <-changed:
		case <-timer.C:
		case <-c.gone:
			timer.Stop()
			return 0, nil
		}
		timer.Stop()
	}
}
