package main

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"
)

const patience = 400 * time.Millisecond // how long a client waits for its answer

// clientConn is one connection of a client, which sends one request at a time and keeps it.
type clientConn struct {
	to string
	c  net.Conn
	br *bufio.Reader
}

// outcome is what became of a request.
type outcome struct {
	status  int           // of the answer, 0 for none
	wait    time.Duration // Retry-After
	ended   bool          // the connection was ended with no answer
	reset   bool          // ... by a reset
	after   time.Duration // from the request's last byte to the answer or the end
	kept    bool          // the connection had been up before
	refused bool          // no connection came up
}

func (k *clientConn) close() {
	if k.c != nil {
		k.c.Close()
		k.c = nil
	}
}

// send hands a message in and waits for the answer, for as long as a client does.
func (k *clientConn) send(text []byte) (o outcome) {
	if o.kept = k.c != nil; !o.kept {
		c, err := net.DialTimeout("tcp", k.to, patience)
		if err != nil {
			o.refused = true
			return o
		}
		k.c, k.br = c, bufio.NewReader(c)
	}
	if _, err := k.c.Write(text); err != nil {
		k.close()
		o.ended, o.reset = true, true
		return o
	}
	sent := time.Now()
	k.c.SetReadDeadline(sent.Add(patience))
	r, err := http.ReadResponse(k.br, nil)
	o.after = time.Since(sent)
	if err != nil {
		o.ended = !timeout(err)
		o.reset = o.ended && errors.Is(err, syscall.ECONNRESET)
		k.close()
		return o
	}
	io.Copy(io.Discard, r.Body)
	r.Body.Close()
	o.status = r.StatusCode
	if s, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64); err == nil {
		o.wait = time.Duration(s * float64(time.Second))
	}
	if r.Close {
		k.close()
	}
	return o
}
