package standin

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Message is a message of a call.
type Message struct {
	ID, Key string
	Body    []byte
}

// idleMost is how long a connection may stand idle: limits.conn-idle.
const idleMost = 5 * time.Second

// Call is a call that an endpoint got, from its last byte on.
type Call struct {
	Endpoint string
	Conn     *Conn
	Nth      int // number of the request on its connection, from 1
	Batch    bool
	Close    bool // the request has "Connection: close"
	Messages []Message
	First    time.Time // when its first byte was seen
	Last     time.Time // when its last byte was seen
	Length   int       // of the body, in bytes
}

// Reply answers a call with a status, as a sound server does: it repeats the close option. It ends the connection then,
// and reports whether another request may follow.
func (c *Call) Reply(status int, header http.Header, body []byte) bool {
	h := http.Header{}
	for name, values := range header {
		h[name] = values
	}
	if c.Close {
		h.Set("Connection", "close")
	}
	if status == http.StatusOK && c.Batch && body == nil {
		type one struct {
			ID    string `json:"id"`
			State string `json:"state"`
		}
		var list []one
		for _, m := range c.Messages {
			list = append(list, one{m.ID, "delivered"})
		}
		body, _ = json.Marshal(list)
	}
	return c.Conn.Answer(status, h, body) == nil && !c.Close
}

// Endpoint is one endpoint of a destination.
type Endpoint struct {
	ID     string
	Dest   int
	Kind   string
	server *server

	mu    sync.Mutex
	calls []*Call
}

// NewEndpoint starts an endpoint on a free loopback port. handle is called for each call when its last byte has come. It
// may take its time, and reports whether another request may follow on the connection.
func NewEndpoint(id string, dest int, kind string, handle func(*Call) bool) (*Endpoint, error) {
	e := &Endpoint{ID: id, Dest: dest, Kind: kind}
	s, err := listen(func(c *Conn) { e.serve(c, handle) })
	e.server = s
	return e, err
}

// Addr is its address.
func (e *Endpoint) Addr() string { return e.server.Addr() }

// Close ends it.
func (e *Endpoint) Close() { e.server.Close() }

// Member is its entry in discovery's list.
func (e *Endpoint) Member(phase string, size float64) Member {
	return Member{ID: e.ID, HostPort: e.Addr(), Locality: "east-hall", Flavor: e.Kind, Cell: e.Dest, Phase: phase, Size: size}
}

// Calls returns the calls so far.
func (e *Endpoint) Calls() []*Call {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*Call(nil), e.calls...)
}

func (e *Endpoint) serve(c *Conn, handle func(*Call) bool) {
	for n := 1; ; n++ {
		idle := time.AfterFunc(idleMost, c.Close)
		request, body, first, err := c.Read(idle)
		if err != nil {
			return
		}
		call := &Call{Endpoint: e.ID, Conn: c, Nth: n, Close: request.Close, First: first, Last: time.Now(), Length: len(body)}
		switch request.URL.Path {
		case "/v1/messages":
			call.Messages = []Message{{ID: request.Header.Get("X-Trace-Id"), Key: request.Header.Get("Idempotency-Key"), Body: body}}
		case "/v1/messages:batch":
			call.Batch = true
			var list []struct{ ID, Key, Body string }
			if json.Unmarshal(body, &list) != nil || len(list) == 0 {
				call.Reply(http.StatusBadRequest, nil, nil)
				return
			}
			for _, m := range list {
				text, _ := base64.StdEncoding.DecodeString(m.Body)
				call.Messages = append(call.Messages, Message{m.ID, m.Key, text})
			}
		case "/-/healthy": // a probe, which the settings allow; nothing is held against it
			if call.Reply(http.StatusOK, nil, nil); call.Close {
				return
			}
			continue
		default:
			call.Reply(http.StatusNotFound, nil, nil)
			return
		}
		e.mu.Lock()
		e.calls = append(e.calls, call)
		e.mu.Unlock()
		if !handle(call) {
			return
		}
	}
}

// IDs returns the ids of a call's messages.
func (c *Call) IDs() string {
	var ids []string
	for _, m := range c.Messages {
		ids = append(ids, m.ID)
	}
	return strings.Join(ids, ",")
}
