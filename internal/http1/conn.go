// Package http1 implements HTTP/1.1 (RFC 9112) on a connection of a host. Conn is the client side: it writes one request
// and reads one response, with limits on size and time. It never sends a request again, keeps no pool and starts no
// goroutine. ReadRequest reads the head of a request for a server.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"curlewmux/internal/host"
)

// Errors of Conn.Read. After each of them the connection must be closed.
var (
	// ErrNoResponse reports that the connection ended, or was closed locally, before a response began.
	ErrNoResponse = errors.New("the connection ended before a response began")

	// ErrTimeout reports that Limits.Deadline passed before the response was complete.
	ErrTimeout = errors.New("no complete response before the deadline")

	// ErrInvalidResponse reports a response that began but can't be read: it is not HTTP/1, is too long, was cut short, or
	// took longer than Limits.ResponseTimeout. Only a status line that was passed to Progress may be trusted.
	ErrInvalidResponse = errors.New("invalid response")

	// ErrUnsolicited reports data that was sent before the request can have reached the peer, for example a second copy of
	// the previous response. The fate of the request is unknown. It wraps ErrInvalidResponse.
	ErrUnsolicited = fmt.Errorf("%w: unsolicited data", ErrInvalidResponse)
)

const (
	maxHeadBytes         = 32 << 10              // limit for all heads before a body, 1xx included; the same limit again for the heads of chunks
	maxInterimResponses  = 8                     // 1xx responses before the final one
	maxSkippedResponses  = 8                     // responses that belong to no request, ahead of the one that does
	readBufferSize       = 2 << 10               // holds a typical response completely
	availableDataTimeout = 10 * time.Millisecond // far more than it takes to read data that has already arrived
	maxInitialBodyBuffer = 64 << 10              // memory reserved for a body before its bytes arrive
)

// Limits bounds the reading of one response. Heads may hold 32 KiB and follow up to 8 interim (1xx) responses.
type Limits struct {
	Deadline        time.Time     // how long to wait for the response; zero: forever
	ResponseTimeout time.Duration // longest time from the first byte to the last; 0: only Deadline applies
	MaxBody         int           // in bytes
	DiscardBody     bool          // reads the body without keeping it

	// RequireClose says that the request has the field "Connection: close" and the connection has carried a request before.
	// A server repeats that option in its response (RFC 9112, section 9.6), so a response without it is a late copy of an
	// earlier one, and is skipped.
	RequireClose bool

	// Accept reports whether a complete response belongs to the request; others are skipped. If it is nil, the first one
	// does.
	Accept func(*Response) bool

	Progress Progress // is notified while the response is read; may be nil
}

// Progress is notified while a response is read, on the goroutine that runs Conn.Read.
type Progress interface {
	// StatusLine reports that a status line has arrived, also that of each 1xx response. The rest of the response may
	// still be invalid. With Limits.RequireClose it is called only once the head has shown the close option, and with
	// Limits.Accept alone not at all.
	StatusLine(status int)

	// DeadlineReached is called when Limits.Deadline has passed. It returns a new deadline, or the zero time to stop
	// waiting.
	DeadlineReached() time.Time
}

// Response is a response that was read completely. After an error only Skipped is set.
type Response struct {
	Status    int
	Skipped   int    // responses that came before this one and were skipped
	Body      []byte // nil if it was discarded
	Reusable  bool   // the connection stays open and nothing followed the response: it may carry another request
	ExtraData bool   // more data followed the response

	closes    bool        // the peer closes the connection behind it
	rawFields string      // fields of a head that was parsed here; unused if header is set
	header    http.Header // fields of a head that net/http parsed
}

// Conn is a connection that carries one request after the other. Only one goroutine at a time may use it, except for
// Close, which any goroutine may call and which ends the operation in progress.
type Conn struct {
	host         host.Host
	nc           net.Conn
	br           *bufio.Reader
	writeStarted time.Time // when the write of the latest request began

	// The round trip time as last queried. It can only decrease, so it is queried again only if data arrives sooner
	// than the known value.
	minRoundTrip   time.Duration
	roundTripKnown bool

	// State of the response that is being read.
	remaining        int       // bytes that may still be read
	deadline         time.Time // Limits.Deadline, or the later one that DeadlineReached returned
	responseDeadline time.Time // when the response must be complete; zero until it begins
	progress         Progress
	timedOut         bool // the deadline passed and was not extended
	skipped          int  // responses that were skipped
}

// NewConn returns a Conn that uses a connection of the host.
func NewConn(h host.Host, nc net.Conn) *Conn {
	c := &Conn{host: h, nc: nc}
	c.br = bufio.NewReaderSize((*limitedReader)(c), readBufferSize)
	return c
}

// Close closes the connection.
func (c *Conn) Close() error { return c.nc.Close() }

// IsIdle reports that neither data nor the end of the connection has arrived between two requests. Data that did arrive
// could not be told from the next response. IsIdle does not block.
func (c *Conn) IsIdle() bool { return c.br.Buffered() == 0 && !host.Readable(c.nc) }

// HasData reports, for a connection that is not idle, whether data has arrived rather than only the end of the
// connection. It may consume data, but does not wait for more.
func (c *Conn) HasData() bool {
	if c.br.Buffered() > 0 {
		return true
	}
	if c.nc.SetReadDeadline(c.host.Now().Add(availableDataTimeout)) != nil {
		return false
	}
	n, _ := c.nc.Read(make([]byte, 1))
	return n > 0
}

// Write writes a whole request before a deadline (zero: none). If it fails, the last byte of the request was not
// written.
func (c *Conn) Write(request []byte, until time.Time) error {
	c.writeStarted = c.host.Now()
	if err := c.nc.SetWriteDeadline(until); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if _, err := c.nc.Write(request); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// Read reads the response to a request that was written. It blocks until the response is complete or fails with one of
// the errors above.
func (c *Conn) Read(limits Limits) (Response, error) {
	c.remaining, c.deadline, c.responseDeadline, c.progress, c.timedOut = maxHeadBytes, limits.Deadline, time.Time{}, limits.Progress, false
	for c.skipped = 0; c.skipped <= maxSkippedResponses; c.skipped++ {
		response, err := c.readNext(&limits)
		if err != nil || limits.accepts(&response) {
			response.Skipped = c.skipped
			return response, err
		}
		c.remaining, c.responseDeadline = maxHeadBytes, time.Time{}
	}
	return c.readError(ErrInvalidResponse, errors.New("too many responses that belong to no request"))
}

// accepts reports whether a response belongs to the request.
func (l *Limits) accepts(response *Response) bool {
	return (response.closes || !l.RequireClose) && (l.Accept == nil || l.Accept(response))
}

// mayMeetCopies reports whether copies of earlier responses may come before the response.
func (l *Limits) mayMeetCopies() bool { return l.RequireClose || l.Accept != nil }

// readNext reads the next final response on the connection.
func (c *Conn) readNext(limits *Limits) (Response, error) {
	for early := 0; early <= maxInterimResponses; early++ {
		if _, err := c.br.Peek(1); err != nil {
			return c.readError(ErrNoResponse, err)
		}
		if early == 0 && !limits.mayMeetCopies() && c.precedesRequest() {
			return c.readError(ErrUnsolicited, errors.New("data was sent before the request can have arrived"))
		}
		if limits.ResponseTimeout > 0 {
			c.responseDeadline = c.host.Now().Add(limits.ResponseTimeout)
		}
		status := c.peekStatus()
		if status >= 100 && limits.Progress != nil && !limits.mayMeetCopies() {
			limits.Progress.StatusLine(status)
		}
		if status < 100 || status == http.StatusSwitchingProtocols {
			return c.readError(ErrInvalidResponse, errors.New("no status line"))
		}
		if head, ok := c.readPlainHead(); ok {
			return c.readPlainBody(head, limits)
		}
		res, br, err := c.readAnyHead(status < 200)
		if err != nil {
			return c.readError(ErrInvalidResponse, err)
		}
		if status >= 200 {
			return c.readBody(res, br, limits)
		}
		c.responseDeadline = time.Time{} // the final response may take as long as the deadline allows
	}
	return c.readError(ErrInvalidResponse, errors.New("too many interim responses"))
}

// precedesRequest reports whether data was sent before the latest request can have arrived at the peer.
func (c *Conn) precedesRequest() bool {
	since := c.host.Now().Sub(c.writeStarted)
	if !c.roundTripKnown || since < c.minRoundTrip {
		c.minRoundTrip, c.roundTripKnown = host.MinRoundTrip(c.nc), true
	}
	return since < c.minRoundTrip // an unknown round trip time is 0: no data is too early
}

// readError wraps the cause of a failed read in the error kind that the caller checks for.
func (c *Conn) readError(kind, err error) (Response, error) {
	none := Response{Skipped: c.skipped}
	switch {
	case c.timedOut:
		return none, ErrTimeout
	case errors.Is(err, errTooLong):
		kind = ErrInvalidResponse
	}
	return none, fmt.Errorf("%w: %w", kind, err)
}

// readBody reads the body of a response whose head net/http has parsed, from br.
func (c *Conn) readBody(res *http.Response, br *bufio.Reader, limits *Limits) (Response, error) {
	c.remaining = limits.MaxBody + maxHeadBytes // chunks have heads, too
	if res.ContentLength > int64(limits.MaxBody) {
		return c.readError(ErrInvalidResponse, errTooLong)
	}
	response := Response{Status: res.StatusCode, header: res.Header, closes: res.Close}
	if limits.mayMeetCopies() && isSplicedResponse(res) {
		return c.readError(ErrInvalidResponse, errSpliced)
	}
	c.headRead(&response, limits)
	into := io.Discard
	var body bytes.Buffer
	if !limits.DiscardBody {
		into = &body
	}
	n, err := io.Copy(into, io.LimitReader(res.Body, int64(limits.MaxBody)+1))
	switch {
	case err != nil:
		return c.readError(ErrInvalidResponse, err)
	case n > int64(limits.MaxBody):
		return c.readError(ErrInvalidResponse, errTooLong)
	}
	response.Body = body.Bytes()
	response.ExtraData = br.Buffered() > 0 || c.br.Buffered() > 0
	response.Reusable = !response.closes && !response.ExtraData && br == c.br
	return response, nil
}

// readPlainBody reads the body of a response whose head was parsed by readPlainHead.
func (c *Conn) readPlainBody(head plainHead, limits *Limits) (Response, error) {
	c.remaining = limits.MaxBody + maxHeadBytes
	if head.length > limits.MaxBody {
		return c.readError(ErrInvalidResponse, errTooLong)
	}
	response := Response{Status: head.status, rawFields: head.fields, closes: head.close}
	if limits.mayMeetCopies() && head.isSpliced() {
		return c.readError(ErrInvalidResponse, errSpliced)
	}
	c.headRead(&response, limits)
	var err error
	if limits.DiscardBody {
		_, err = c.br.Discard(head.length)
	} else {
		var body bytes.Buffer
		body.Grow(min(head.length, maxInitialBodyBuffer) + bytes.MinRead)
		_, err = io.CopyN(&body, c.br, int64(head.length))
		response.Body = body.Bytes()
	}
	if err != nil {
		return c.readError(ErrInvalidResponse, err)
	}
	response.ExtraData = c.br.Buffered() > 0
	response.Reusable = !response.closes && !response.ExtraData
	return response, nil
}

// headRead reports the status line of a response whose head has shown the close option (Limits.RequireClose).
func (c *Conn) headRead(response *Response, limits *Limits) {
	if limits.RequireClose && response.closes && limits.Progress != nil {
		limits.Progress.StatusLine(response.Status)
	}
}

var (
	errTooLong = errors.New("response is too long")
	errTooSlow = errors.New("response takes too long")
	errSpliced = errors.New("a status line within a head")
)

// limitedReader is the source of Conn's buffer. It limits the number of bytes and applies both time limits as read
// deadlines.
type limitedReader Conn

func (s *limitedReader) Read(b []byte) (int, error) {
	if s.remaining <= 0 {
		return 0, errTooLong
	}
	for !s.timedOut {
		deadline, ends := s.deadline, false
		if !s.responseDeadline.IsZero() && (deadline.IsZero() || s.responseDeadline.Before(deadline)) {
			deadline, ends = s.responseDeadline, true
		}
		if err := s.nc.SetReadDeadline(deadline); err != nil {
			return 0, err
		}
		n, err := s.nc.Read(b[:min(len(b), s.remaining)])
		s.remaining -= n
		switch {
		case n > 0 || !errors.Is(err, os.ErrDeadlineExceeded):
			return n, err
		case ends:
			return 0, errTooSlow
		}
		if s.deadline = (time.Time{}); s.progress != nil {
			s.deadline = s.progress.DeadlineReached()
		}
		s.timedOut = s.deadline.IsZero()
	}
	return 0, os.ErrDeadlineExceeded
}
