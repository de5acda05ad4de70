package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// call is one call that has come to an endpoint with its last byte.
type call struct {
	to     string
	conn   int // number of the connection at this endpoint
	nth    int // number of the request on it
	ids    []string
	batch  bool
	at     time.Time
	closes bool // the dispatcher asks to close the connection behind the answer
	size   int  // bytes of the body
}

// answer is what an endpoint says to a call.
type answer struct {
	status int
	wait   time.Duration // told in Retry-After
	after  time.Duration // before it is written
	fields string        // further header lines, each with CRLF
	half   string        // if set, only this is written, and the connection ends
	hold   bool          // ... once the dispatcher has ended it
	ended  func()        // told when it has ended
}

// endpoint speaks HTTP/1.1 on a loopback address. It repeats the close option, as servers do.
type endpoint struct {
	name, addr string
	rec        *record
	on         func(*call) answer
	conns      atomic.Int32
}

func startEndpoint(rec *record, name string, on func(*call) answer) *endpoint {
	l := listen()
	e := &endpoint{name: name, addr: l.Addr().String(), rec: rec, on: on}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c, int(e.conns.Add(1)))
		}
	}()
	return e
}

func (e *endpoint) serve(c net.Conn, number int) {
	defer c.Close()
	br := bufio.NewReader(c)
	for nth := 1; ; nth++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		k := &call{to: e.name, conn: number, nth: nth, at: time.Now(), closes: r.Close, size: len(body)}
		if k.batch = r.URL.Path == "/v1/messages:batch"; k.batch {
			var items []struct{ ID string }
			if json.Unmarshal(body, &items) != nil {
				fmt.Fprint(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			for _, it := range items {
				k.ids = append(k.ids, it.ID)
			}
		} else if r.URL.Path == "/v1/messages" {
			k.ids = []string{r.Header.Get("X-Trace-Id")}
		} else {
			fmt.Fprint(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		e.rec.line("call", e.name, "conn", number, "request", nth, "messages", k.ids)
		a := e.on(k)
		if a.after > 0 {
			time.Sleep(a.after)
		}
		if a.half != "" {
			io.WriteString(c, a.half)
			e.rec.line("half a line", e.name, "conn", number, "request", nth, "messages", k.ids)
			if a.hold {
				br.ReadByte()
			}
			c.Close()
			e.rec.line("the connection has ended", e.name, "conn", number)
			a.ended()
			return
		}
		text := ""
		if k.batch && a.status == 200 {
			var out []map[string]string
			for _, id := range k.ids {
				out = append(out, map[string]string{"id": id, "state": "delivered"})
			}
			b, _ := json.Marshal(out)
			text = string(b)
		}
		head := "HTTP/1.1 " + strconv.Itoa(a.status) + " " + http.StatusText(a.status) + "\r\n" + a.fields
		if a.wait > 0 {
			head += fmt.Sprintf("Retry-After: %.3f\r\n", a.wait.Seconds())
		}
		if k.closes {
			head += "Connection: close\r\n"
		}
		head += "Content-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n"
		if _, err := io.WriteString(c, head+text); err != nil {
			return
		}
		e.rec.line("answer", e.name, "conn", number, "request", nth, "messages", k.ids, "status", a.status, "wait", a.wait)
		if k.closes {
			return
		}
	}
}
