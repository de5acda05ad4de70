package rig

import (
	"bufio"
	"bytes"
	"net"
	"strconv"
	"sync/atomic"
	"time"
)

// Partners are endpoints that take every call, wait, and answer: plain HTTP/1.1 at as little cost as can be. Their
// methods are safe for concurrent use.
type Partners struct {
	// Answer says what becomes of a call with a message of this number, at an endpoint of this destination: its status
	// after so long. It is called from many goroutines.
	Answer func(dest, message int) (status int, after time.Duration)

	Calls, Conns, Refused atomic.Int64
	at                    []atomic.Int64 // when each message first took effect, in nanoseconds since 1970; 0: never
	tries                 []atomic.Int32
	again                 atomic.Int64 // effects after the first
	listeners             []net.Listener
}

// NewPartners makes partners that take messages with numbers under most, and answer 200 after a while.
func NewPartners(most int, after time.Duration) *Partners {
	return &Partners{
		Answer: func(int, int) (int, time.Duration) { return 200, after },
		at:     make([]atomic.Int64, most), tries: make([]atomic.Int32, most),
	}
}

// Endpoint opens one more endpoint and returns its address.
func (p *Partners) Endpoint(dest int) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	p.listeners = append(p.listeners, l)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			p.Conns.Add(1)
			go p.serve(nc, dest)
		}
	}()
	return l.Addr().String(), nil
}

// Close ends the listeners; connections end with those who opened them.
func (p *Partners) Close() {
	for _, l := range p.listeners {
		l.Close()
	}
}

// At is when a message took effect, zero if it did not.
func (p *Partners) At(message int) time.Time {
	if ns := p.at[message].Load(); ns != 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}

// Tries is how many calls had the message.
func (p *Partners) Tries(message int) int { return int(p.tries[message].Load()) }

var (
	idField     = []byte("X-Trace-Id: m")
	lengthField = []byte("Content-Length: ")
	closeLine   = []byte("Connection: close")
)

func (p *Partners) serve(nc net.Conn, dest int) {
	defer nc.Close()
	br := bufio.NewReaderSize(nc, 2<<10)
	var out []byte
	for {
		number, length, closes := -1, 0, false
		for {
			line, err := br.ReadSlice('\n')
			if err != nil {
				return
			}
			if line = bytes.TrimRight(line, "\r\n"); len(line) == 0 {
				break
			}
			if v, ok := bytes.CutPrefix(line, idField); ok {
				number, _ = strconv.Atoi(string(v))
			} else if v, ok := bytes.CutPrefix(line, lengthField); ok {
				length, _ = strconv.Atoi(string(v))
			} else if bytes.Equal(line, closeLine) {
				closes = true
			}
		}
		if _, err := br.Discard(length); err != nil || number < 0 || number >= len(p.at) {
			return
		}
		p.Calls.Add(1)
		p.tries[number].Add(1)
		status, after := p.Answer(dest, number)
		if status == 200 {
			if !p.at[number].CompareAndSwap(0, time.Now().UnixNano()) {
				p.again.Add(1)
			}
		} else {
			p.Refused.Add(1)
		}
		if after > 0 {
			time.Sleep(after) // what the partner takes
		}
		out = append(strconv.AppendInt(append(out[:0], "HTTP/1.1 "...), int64(status), 10), " x\r\n"...)
		if closes {
			out = append(append(out, closeLine...), "\r\n"...)
		}
		out = append(out, "Content-Length: 0\r\n\r\n"...)
		if _, err := nc.Write(out); err != nil || closes {
			return
		}
	}
}
