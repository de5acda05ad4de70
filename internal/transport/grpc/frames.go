package grpctransport

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"sync"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/credentials"
)

// gRPC does not tell how far a request came, nor whether a status is the partner's or its own. The frames on the
// connection do (RFC 9113, section 6), so each connection is watched: the credentials hand over one that reads along.
// Only frame heads are looked at, and the header blocks that we send, for the message's id.

// watchedCreds are the user's credentials, whose connections are watched.
type watchedCreds struct {
	credentials.TransportCredentials
	client *Client
}

func (w *watchedCreds) ClientHandshake(ctx context.Context, authority string, nc net.Conn) (net.Conn, credentials.AuthInfo, error) {
	c, info, err := w.TransportCredentials.ClientHandshake(ctx, authority, nc)
	if err != nil {
		return c, info, err // as it is: gRPC looks at its type
	}
	sub, _ := credentials.ClientHandshakeInfoFromContext(ctx).Attributes.Value(subKey{}).(*sub)
	return newWatched(c, w.client, sub), info, nil
}

func (w *watchedCreds) Clone() credentials.TransportCredentials {
	return &watchedCreds{w.TransportCredentials.Clone(), w.client}
}

// errUnread says that what gRPC writes is no HTTP/2 that we can read: nothing could be proven on such a connection.
var errUnread = errors.New("curlewmux: the frames on a connection can't be followed")

// watched is a connection whose frames are read along.
type watched struct {
	net.Conn
	client *Client
	sub    *sub // nil: of none of ours

	mu      sync.Mutex
	dead    bool // nothing is written any more
	closing bool // no new stream is taken
	streams map[uint32]*attempt
	goAway  uint32 // streams above it were never processed
	in, out frames
	block   []byte // header block that is being written
	end     bool   // and its stream ends with it
	headers *hpack.Decoder
	id      string // in the block decoded last
}

func newWatched(nc net.Conn, client *Client, s *sub) *watched {
	c := &watched{Conn: nc, client: client, sub: s, streams: map[uint32]*attempt{}, goAway: maxStream}
	client.up(s, 1, 1)
	c.out.skip = len(http2.ClientPreface)
	c.headers = hpack.NewDecoder(4096, func(f hpack.HeaderField) {
		if f.Name == HeaderID {
			c.id = f.Value
		}
	})
	c.headers.SetAllowedMaxDynamicTableSize(1 << 20) // the peer may have allowed more than the default
	return c
}

const (
	maxStream = 1<<31 - 1
	blockMost = 1 << 20 // bytes of a header block that we follow
)

func (c *watched) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.in.feed(b[:n], 8, c.came) // before gRPC sees it
	if err != nil {
		c.died()
	}
	return n, err
}

// Write notes what is about to be written before it is: what may be on its way counts as sent. Once a connection counts
// as dead nothing can follow.
func (c *watched) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.dead {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	err := c.out.feed(b, blockMost, c.goes)
	if err != nil {
		c.died()
	}
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	if err != nil {
		c.die()
	}
	return n, err
}

func (c *watched) Close() error {
	c.die()
	return c.Conn.Close()
}

func (c *watched) die() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.died()
}

// died notes that nothing is written any more; the lock is held.
func (c *watched) died() {
	if !c.dead {
		c.dead = true
		c.client.up(c.sub, -1, 0)
		c.full()
	}
}

// full notes that no new stream is taken; the lock is held.
func (c *watched) full() {
	if !c.closing {
		c.closing = true
		c.client.up(c.sub, 0, -1)
	}
}

// gone tells that nothing is written any more.
func (c *watched) gone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dead
}

// forget follows a stream no longer.
func (c *watched) forget(stream uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, stream)
}

// goes takes up a frame that is written; the lock is held.
func (c *watched) goes(f *frame) error {
	switch f.kind {
	case http2.FrameHeaders, http2.FrameContinuation:
		if f.kind == http2.FrameHeaders {
			c.block, c.end = c.block[:0], f.flags.Has(http2.FlagHeadersEndStream)
			if f.flags&(http2.FlagHeadersPadded|http2.FlagHeadersPriority) != 0 {
				return errUnread // gRPC writes neither
			}
		}
		if c.block = append(c.block, f.load...); len(c.block) > blockMost || len(f.load) < f.size {
			return errUnread
		}
		if !f.flags.Has(http2.FlagHeadersEndHeaders) {
			return nil
		}
		c.id = ""
		if _, err := c.headers.Write(c.block); err != nil || c.headers.Close() != nil {
			return errUnread
		}
		a := c.client.attempt(c.id)
		if a == nil { // it was given up before; or its id is not the one that we sent
			c.client.stray(c.sub)
			return nil
		}
		c.streams[f.stream] = a
		a.note(func(s *signs) { s.on, s.stream, s.above, s.sent = c, f.stream, f.stream > c.goAway, s.sent || c.end })
	case http2.FrameData:
		if a := c.streams[f.stream]; a != nil && f.flags.Has(http2.FlagDataEndStream) {
			a.note(func(s *signs) { s.sent = true })
		}
	}
	return nil
}

// came takes up a frame that was read; the lock is held.
func (c *watched) came(f *frame) error {
	if f.kind == http2.FrameGoAway && len(f.load) >= 4 {
		c.full()
		c.goAway = min(c.goAway, binary.BigEndian.Uint32(f.load)&maxStream)
		for id, a := range c.streams {
			if id > c.goAway {
				a.note(func(s *signs) { s.above = true })
			}
		}
	}
	a := c.streams[f.stream]
	if a == nil {
		return nil
	}
	switch f.kind {
	case http2.FrameHeaders:
		a.note(func(s *signs) {
			s.answered = true
			s.trailers = s.trailers || f.flags.Has(http2.FlagHeadersEndStream)
		})
	case http2.FrameData:
		a.note(func(s *signs) { s.replied = s.replied || f.size > 0 })
	case http2.FrameRSTStream:
		if len(f.load) >= 4 {
			refused := http2.ErrCode(binary.BigEndian.Uint32(f.load)) == http2.ErrCodeRefusedStream
			a.note(func(s *signs) { s.refused, s.reset = refused, !refused })
		}
	}
	return nil
}

// frame is one frame, once all of it has come by.
type frame struct {
	kind   http2.FrameType
	flags  http2.Flags
	stream uint32
	size   int    // of its payload
	load   []byte // the payload's first bytes, as many as are kept
}

// frames cuts a stream of bytes into frames.
type frames struct {
	skip int // bytes before the first frame
	head [9]byte
	have int // bytes of the head
	left int // bytes of the payload to come
	f    frame
}

// feed takes further bytes and tells the frames that end in them. It keeps the first bytes of each payload, so many at
// most.
func (p *frames) feed(b []byte, keep int, tell func(*frame) error) error {
	n := min(p.skip, len(b))
	p.skip -= n
	b = b[n:]
	for {
		if p.have < len(p.head) {
			n := copy(p.head[p.have:], b)
			p.have += n
			b = b[n:]
			if p.have < len(p.head) {
				return nil
			}
			h := &p.head
			p.left = int(h[0])<<16 | int(h[1])<<8 | int(h[2])
			p.f = frame{
				kind: http2.FrameType(h[3]), flags: http2.Flags(h[4]), stream: binary.BigEndian.Uint32(h[5:]) & maxStream,
				size: p.left, load: p.f.load[:0],
			}
		}
		n := min(p.left, len(b))
		if p.f.kind != http2.FrameData { // what users say is never kept
			p.f.load = append(p.f.load, b[:min(n, keep-len(p.f.load))]...)
		}
		p.left -= n
		b = b[n:]
		if p.left > 0 {
			return nil
		}
		p.have = 0
		if err := tell(&p.f); err != nil {
			return err
		}
	}
}
