package rpcpartner

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
)

// conn is one connection of a caller.
type conn struct {
	endpoint *Endpoint
	raw      net.Conn // as it was accepted
	nc       net.Conn // TLS and the like over it
	number   int
	gone     chan struct{} // closed when it has ended
	working  sync.WaitGroup

	mu      sync.Mutex // of what is written, and of the streams
	framer  *http2.Framer
	headers bytes.Buffer
	encoder *hpack.Encoder
	streams map[uint32]*stream
}

// stream is one call that has not ended.
type stream struct {
	call    *Call
	request Request
	body    []byte
	gone    chan struct{} // closed when its caller has given it up
	over    bool
	held    uint32 // bytes of it for which the window was withheld
	early   bool   // it is
}

const bodyMost = 16 << 20

func (c *conn) serve() {
	defer c.working.Wait()
	defer close(c.gone)
	defer c.raw.Close()
	if wrap := c.endpoint.partner.opt.Wrap; wrap != nil {
		nc, err := wrap(c.raw)
		if err != nil {
			return
		}
		c.nc = nc
	}
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(c.nc, preface); err != nil || string(preface) != http2.ClientPreface {
		return
	}
	c.mu.Lock()
	c.framer = http2.NewFramer(c.nc, c.nc)
	c.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	c.encoder = hpack.NewEncoder(&c.headers)
	var settings []http2.Setting
	if n := c.endpoint.partner.opt.MaxStreams; n > 0 {
		settings = append(settings, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: n})
	}
	err := c.framer.WriteSettings(settings...)
	c.mu.Unlock()
	for err == nil {
		var f http2.Frame
		if f, err = c.framer.ReadFrame(); err == nil {
			err = c.frame(f)
		}
	}
	c.ended()
}

// ended notes what became of the streams of a connection that is over.
func (c *conn) ended() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.streams {
		c.finish(s, Dropped, 0)
	}
}

// finish ends a stream, once; the lock is held. One whose last byte never came never ran.
func (c *conn) finish(s *stream, e Ending, code codes.Code) {
	if s.over {
		return
	}
	s.over = true
	close(s.gone)
	if s.held > 0 { // the connection's other streams have need of it
		c.framer.WriteWindowUpdate(0, s.held)
	}
	delete(c.streams, s.call.Stream)
	c.endpoint.partner.change(func() {
		if s.call.Last.IsZero() && (e == Dropped || e == Cut) {
			e = Broken
		}
		s.call.Ending, s.call.Code, s.call.End = e, code, time.Now()
	})
}

func (c *conn) frame(f http2.Frame) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch f := f.(type) {
	case *http2.SettingsFrame:
		if !f.IsAck() {
			return c.framer.WriteSettingsAck()
		}
	case *http2.PingFrame:
		if !f.IsAck() {
			return c.framer.WritePing(true, f.Data)
		}
	case *http2.MetaHeadersFrame:
		return c.begin(f)
	case *http2.DataFrame:
		return c.data(f)
	case *http2.RSTStreamFrame:
		if s := c.streams[f.StreamID]; s != nil {
			c.finish(s, Dropped, 0)
		}
	}
	return nil
}

// begin takes a call's headers; the lock is held.
func (c *conn) begin(f *http2.MetaHeadersFrame) error {
	e := c.endpoint
	s := &stream{gone: make(chan struct{}), call: &Call{
		Endpoint: e.id, Conn: c.number, Stream: f.StreamID, First: time.Now(),
	}}
	for _, h := range f.Fields {
		switch h.Name {
		case ":path":
			s.call.Method = h.Value
		case "x-trace-id":
			s.call.ID = h.Value
		case "idempotency-key":
			s.call.Key = h.Value
		case "grpc-previous-rpc-attempts":
			s.call.Attempts = h.Value
		case "grpc-timeout":
			s.request.Timeout = h.Value
		}
	}
	s.request.Endpoint, s.request.Method, s.request.ID, s.request.Key = e.id, s.call.Method, s.call.ID, s.call.Key
	c.streams[f.StreamID] = s
	e.partner.change(func() { e.partner.calls = append(e.partner.calls, s.call) })
	e.mu.Lock()
	early := e.early
	e.mu.Unlock()
	if early != nil {
		if r := early(&s.request); r != nil {
			s.early = true
			c.working.Go(func() { c.reply(s, r) })
		}
	}
	return nil
}

// data takes a piece of a call; the lock is held.
func (c *conn) data(f *http2.DataFrame) error {
	s := c.streams[f.StreamID]
	c.endpoint.mu.Lock()
	script := c.endpoint.script
	c.endpoint.mu.Unlock()
	if n := uint32(f.Length); n > 0 && s != nil && s.early {
		s.held += n
	} else if n > 0 {
		if err := c.framer.WriteWindowUpdate(0, n); err != nil {
			return err
		}
		if s != nil && !f.StreamEnded() {
			if err := c.framer.WriteWindowUpdate(f.StreamID, n); err != nil {
				return err
			}
		}
	}
	if s == nil {
		return nil
	}
	if s.body = append(s.body, f.Data()...); len(s.body) > bodyMost {
		return errors.New("too long")
	}
	if !f.StreamEnded() {
		return nil
	}
	if len(s.body) < 5 || int(binary.BigEndian.Uint32(s.body[1:])) != len(s.body)-5 {
		c.finish(s, Cut, codes.Internal)
		return c.framer.WriteRSTStream(f.StreamID, http2.ErrCodeProtocol)
	}
	s.request.Body = s.body[5:]
	p := c.endpoint.partner
	p.change(func() {
		s.call.Last = time.Now()
		p.came[s.call.ID]++
		s.request.N = p.came[s.call.ID]
	})
	r := script(&s.request)
	if r.Ran {
		p.change(func() { p.ran(s.call) })
	}
	c.working.Go(func() { c.reply(s, &r) })
	return nil
}

// reply does what the script wants, on a goroutine of its own.
func (c *conn) reply(s *stream, r *Reply) {
	if r.Delay > 0 {
		t := time.NewTimer(r.Delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-s.gone:
			return
		}
	}
	id := s.call.Stream
	if r.Instead == Hang {
		select {
		case <-s.gone:
		case <-c.gone:
		}
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.over {
		return
	}
	switch r.Instead {
	case CutConn:
		c.finish(s, Cut, 0)
		c.reset()
	case ResetStream:
		c.finish(s, Cut, 0)
		c.framer.WriteRSTStream(id, http2.ErrCode(r.RST))
	case RefuseStream:
		c.finish(s, Refused, 0)
		c.framer.WriteRSTStream(id, http2.ErrCodeRefusedStream)
	case GoAway:
		c.finish(s, Refused, 0)
		c.framer.WriteGoAway(max(id, 2)-2, http2.ErrCodeNo, nil)
		c.nc.Close()
	case Calm:
		c.finish(s, Cut, 0)
		c.framer.WriteGoAway(id, http2.ErrCodeEnhanceYourCalm, []byte("too_many_pings"))
		c.nc.Close()
	case HeadersHang:
		c.write(id, false, [2]string{":status", "200"}, [2]string{"content-type", "application/grpc"})
	case HeadersCut, HalfCut:
		c.write(id, false, [2]string{":status", "200"}, [2]string{"content-type", "application/grpc"})
		if r.Instead == HalfCut {
			c.framer.WriteData(id, false, []byte{0, 0, 0, 0, 100, 1, 2})
		}
		c.finish(s, Cut, 0)
		c.working.Go(c.cutSoon)
	default:
		c.finish(s, Answered, r.Code)
		c.answer(id, r)
	}
}

// cutSoon resets the connection once what was written has had time to arrive: a reset drops what was not read.
func (c *conn) cutSoon() {
	t := time.NewTimer(20 * time.Millisecond)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.gone:
	}
	c.reset()
}

// answer writes a whole answer; the lock is held. Whoever left early gets nothing.
func (c *conn) answer(id uint32, r *Reply) {
	head := [][2]string{{":status", "200"}, {"content-type", "application/grpc"}}
	tail := [][2]string{{"grpc-status", strconv.Itoa(int(r.Code))}, {"grpc-message", r.Message}}
	if r.Wait > 0 {
		st, err := status.New(r.Code, r.Message).WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(r.Wait)})
		if err == nil {
			bin, _ := proto.Marshal(st.Proto()) // made of known parts
			tail = append(tail, [2]string{"grpc-status-details-bin", base64.RawStdEncoding.EncodeToString(bin)})
		}
	}
	if r.Pushback != "" {
		tail = append(tail, [2]string{"grpc-retry-pushback-ms", r.Pushback})
	}
	if r.Trailer[0] != "" {
		tail = append(tail, r.Trailer)
	}
	if r.Only {
		c.write(id, true, append(head, tail...)...)
		return
	}
	c.write(id, false, head...)
	if r.Code == codes.OK {
		c.framer.WriteData(id, false, append(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(r.Body))), r.Body...))
	}
	c.write(id, true, tail...)
}

// write writes a header block; the lock is held.
func (c *conn) write(id uint32, end bool, fields ...[2]string) {
	c.headers.Reset()
	for _, f := range fields {
		c.encoder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
	}
	c.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: c.headers.Bytes(), EndStream: end, EndHeaders: true})
}

// reset ends the connection so that what is not read yet is dropped.
func (c *conn) reset() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.raw.Close()
}
