package faultproxy

import (
	"bytes"
	"math"
	"net/http"
	"time"
)

// Fault is what is wrong with an exchange.
type Fault int

// Faults.
const (
	None               Fault = iota
	ResetBeforeRequest       // the connection is reset, and the request is not forwarded
	ResetInResponse          // the connection is reset at some byte of the response, perhaps the first
	CutResponse              // the connection is closed at some byte of the response
	LostResponse             // the response is not forwarded, and the connection stays open
	SlowResponse             // the response comes late
	TrickledResponse         // the response comes byte by byte
	EndlessResponse          // a response that never ends comes in place of the real one
	CopyAtOnce               // the response comes twice
	LateCopy                 // the response comes a second time after the next request
	CutCopy                  // like LateCopy, but the copy is cut short
	NoiseBehind              // bytes that are no response follow
	IdleReset                // the connection is reset soon after the response
	HalfClose                // the response ends the sending on the connection, which stays open
	faultCount
)

var faultNames = [faultCount]string{
	"none", "reset before request", "reset in response", "cut response", "lost response", "slow response", "trickled response",
	"endless response", "copy at once", "late copy", "cut copy", "noise behind", "idle reset", "half close",
}

func (f Fault) String() string { return faultNames[f] }

// All returns all faults.
func All() []Fault {
	var list []Fault
	for f := None + 1; f < faultCount; f++ {
		list = append(list, f)
	}
	return list
}

// respond forwards a response with a fault. It returns false if the connection can't go on.
func (c *connection) respond(fault Fault, e Exchange, text []byte) bool {
	p := c.proxy
	switch fault {
	case ResetInResponse:
		c.forward(e, p.randomPart(text))
		c.reset()
		return false
	case CutResponse:
		c.forward(e, p.randomPart(text))
		return false
	case LostResponse:
		c.awaitEnd()
		return false
	case SlowResponse:
		time.Sleep(p.randomTime(maxSlowTime))
	case TrickledResponse:
		return c.trickle(e, text)
	case EndlessResponse:
		if e.Status == http.StatusOK { // another status in its place would be a lie about the message
			c.sendEndless(e)
			return false
		}
	case CopyAtOnce:
		return c.forward(e, append(text[:len(text):len(text)], text...))
	case LateCopy:
		c.lateCopy = text
	case CutCopy:
		c.lateCopy = p.randomPart(text)
	case NoiseBehind:
		return c.forward(e, append(text[:len(text):len(text)], "\x00noise"...))
	case IdleReset:
		c.forward(e, text)
		time.Sleep(p.randomTime(maxIdleTime))
		c.reset()
		return false
	case HalfClose:
		return c.halfClose(e, text)
	}
	return c.forward(e, text)
}

// trickle forwards a response byte by byte.
func (c *connection) trickle(e Exchange, text []byte) bool {
	line := bytes.IndexByte(text, '\n')
	for i := range text {
		if _, err := c.near.Write(text[i : i+1]); err != nil {
			return false
		}
		if i == line {
			c.responded(e, text[:i+1])
		}
		time.Sleep(trickleGap)
	}
	c.responded(e, text)
	return true
}

// endlessHead is the head of a response that never ends.
const endlessHead = "HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n\r\n"

// sendEndless writes a response that never ends, until the caller closes its connection.
func (c *connection) sendEndless(e Exchange) {
	e.length = math.MaxInt
	if !c.forward(e, []byte(endlessHead)) {
		return
	}
	part := make([]byte, endlessPart)
	for {
		if _, err := c.near.Write(part); err != nil {
			return
		}
		time.Sleep(endlessGap)
	}
}

// halfClose forwards a response, ends the sending on the connection and waits until the caller has closed it.
func (c *connection) halfClose(e Exchange, text []byte) bool {
	if tcp, ok := c.near.(interface{ CloseWrite() error }); c.forward(e, text) && ok {
		tcp.CloseWrite()
		c.awaitEnd()
	}
	return false
}
