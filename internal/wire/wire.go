// Package wire speaks the batch protocol between a host process and the
// decision module: framing, event and action codecs and the settings parser.
// It decides nothing.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"curlewmux/control"
)

// maxBody bounds a frame so that a damaged length cannot exhaust memory.
const maxBody = 1 << 30

// Event codes.
const (
	evAttach = 16 + iota
	evDirectory
	evInbound
	evFlowing
	evResolved
	evWithdrawn
	evTickDue
	evProbed
	evNoteFrom
	evExit
	evPool
)

// Action codes.
const (
	acAttempt = 16 + iota
	acOverloadReply
	acReportFailure
	acStopAttempt
	acTimer
	acAskLoad
	acHangUp
	_
	acNoteDown
	acFatal
	acTrack
)

// Kind tells what a Record is about.
type Kind uint8

// Kinds of record.
const (
	Decision Kind = iota // an event for the module
	Attach               // an instance starts
	Exit                 // an instance is killed
	Other                // well-formed, of no use to the module
)

// Record is one event with the instance it is for.
type Record struct {
	Kind     Kind
	Instance uint16
	Seed     uint64
	Settings string
	Event    control.Event
}

// Batch is a decoded frame.
type Batch struct {
	Seq     uint32
	Now     control.Time
	Records []Record
}

// Decoder reads batches. It keeps the numbered endpoint lists, which belong
// to the connection and to no instance.
type Decoder struct {
	r     io.Reader
	pools map[uint16][]control.Entry
	body  []byte
}

// NewDecoder returns a Decoder reading from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: r, pools: make(map[uint16][]control.Entry)}
}

// Next returns the next batch, or io.EOF at a clean end of input.
func (d *Decoder) Next() (Batch, error) {
	var head [20]byte
	if _, err := io.ReadFull(d.r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("batch header: %w", err)
	}
	b := Batch{Seq: binary.LittleEndian.Uint32(head[0:]), Now: control.Time(binary.LittleEndian.Uint64(head[12:]))}
	size, count := binary.LittleEndian.Uint32(head[4:]), binary.LittleEndian.Uint32(head[8:])
	if size > maxBody || count > size {
		return b, fmt.Errorf("batch %d: %d bytes cannot hold %d records", b.Seq, size, count)
	}
	if cap(d.body) < int(size) {
		d.body = make([]byte, size)
	}
	if n, err := io.ReadFull(d.r, d.body[:size]); err != nil {
		return b, fmt.Errorf("batch %d: body ends after %d of %d bytes: %w", b.Seq, n, size, io.ErrUnexpectedEOF)
	}
	c := &cursor{buf: d.body[:size]}
	for i := 0; i < int(count); i++ {
		rec, err := d.record(c)
		if err != nil {
			return b, fmt.Errorf("batch %d, record %d: %w", b.Seq, i, err)
		}
		if rec.Kind != Other {
			b.Records = append(b.Records, rec)
		}
	}
	if c.at != len(c.buf) {
		return b, fmt.Errorf("batch %d: %d bytes left over after %d records", b.Seq, len(c.buf)-c.at, count)
	}
	return b, nil
}

// cursor takes fields off a buffer; after a short read every field is zero.
type cursor struct {
	buf   []byte
	at    int
	short bool
}

func (c *cursor) take(n int) []byte {
	if n < 0 || len(c.buf)-c.at < n {
		c.short = true
		c.at = len(c.buf)
		return make([]byte, min(max(n, 0), 8))
	}
	c.at += n
	return c.buf[c.at-n : c.at]
}

func (c *cursor) u8() uint8   { return c.take(1)[0] }
func (c *cursor) u16() uint16 { return binary.LittleEndian.Uint16(c.take(2)) }
func (c *cursor) u32() uint32 { return binary.LittleEndian.Uint32(c.take(4)) }
func (c *cursor) u64() uint64 { return binary.LittleEndian.Uint64(c.take(8)) }
func (c *cursor) f32() float32 {
	return math.Float32frombits(c.u32())
}
func (c *cursor) us() control.Time { return control.Time(c.u32()) }

func (c *cursor) endpoint() control.Endpoint {
	b := c.take(4)
	addr := uint64(binary.LittleEndian.Uint32(b))
	return control.Endpoint(addr<<16 | uint64(c.u16()))
}

func (c *cursor) report() []float32 {
	n := int(c.u8())
	if n == 0 || len(c.buf)-c.at < 4*n {
		c.short = c.short || n > 0
		return nil
	}
	r := make([]float32, n)
	for i := range r {
		r[i] = c.f32()
	}
	return r
}

// record decodes one record.
func (d *Decoder) record(c *cursor) (Record, error) {
	code := c.u8()
	if code == evPool {
		return Record{Kind: Other}, d.pool(c)
	}
	r := Record{Instance: c.u16()}
	e := &r.Event
	switch code {
	case evAttach:
		r.Kind, r.Seed = Attach, c.u64()
		n := int(c.u32())
		if n > len(c.buf)-c.at {
			return r, fmt.Errorf("settings of %d bytes do not fit", n)
		}
		r.Settings = string(c.take(n))
	case evExit:
		r.Kind = Exit
	case evDirectory:
		e.Kind, e.ListKind = control.List, control.ListKind(c.u8())
		c.u64()
		roster := c.u16()
		if e.ListKind > control.ListFailed {
			return r, fmt.Errorf("list kind %d is unknown", e.ListKind)
		}
		if e.ListKind != control.ListFailed {
			pool, ok := d.pools[roster]
			if !ok && !c.short {
				return r, fmt.Errorf("list %d was never sent", roster)
			}
			e.Entries = pool
		}
	case evInbound:
		e.Kind, e.Message, e.Tenant = control.Arrival, control.MessageID(c.u64()), int(c.u16())
		c.u8()
		e.Class = int(c.u8())
		c.u32()
		e.TimeLeft, e.Destination, e.Key = c.us(), int(c.f32()), c.u64()
	case evFlowing:
		e.Kind, e.Message, e.Attempt, e.Endpoint = control.Started, control.MessageID(c.u64()), int(c.u16()), c.endpoint()
		e.Latency = c.us()
	case evResolved:
		return r, c.resolved(e)
	case evWithdrawn:
		e.Kind, e.Message = control.Withdrawn, control.MessageID(c.u64())
	case evTickDue:
		e.Kind, e.TimerID = control.Tick, c.u64()
	case evProbed:
		e.Kind, e.Latency, e.Endpoint = control.Probed, c.us(), c.endpoint()
		var err error
		if e.Result, err = result(c.u8()); err != nil && !c.short {
			return r, err
		}
		e.Report = c.report()
	case evNoteFrom:
		r.Kind = Other
		c.u16()
		c.take(int(c.u16()))
	default:
		if c.short {
			return r, io.ErrUnexpectedEOF
		}
		return r, fmt.Errorf("event code %d is unknown", code)
	}
	if c.short {
		return r, fmt.Errorf("event code %d is cut short", code)
	}
	return r, nil
}

func (c *cursor) resolved(e *control.Event) error {
	e.Kind, e.Message, e.Attempt, e.Endpoint = control.Outcome, control.MessageID(c.u64()), int(c.u16()), c.endpoint()
	res, err := result(c.u8())
	e.Result, e.Latency, e.Closed = res, c.us(), c.u8() != 0
	note := c.u32()
	if res == control.Refused {
		e.RetryAfter = control.Time(note) * control.Millisecond
	}
	e.Report = c.report()
	if c.short {
		return fmt.Errorf("event code %d is cut short", evResolved)
	}
	return err
}

// pool decodes a numbered endpoint list; a new one replaces the old.
func (d *Decoder) pool(c *cursor) error {
	id, n := c.u16(), int(c.u32())
	const entry = 23
	if n > (len(c.buf)-c.at)/entry {
		return fmt.Errorf("list of %d entries does not fit", n)
	}
	list := make([]control.Entry, n)
	for i := range list {
		l := &list[i]
		l.Endpoint, l.Zone, l.Kind, l.Destination = c.endpoint(), int(c.u8()), int(c.u8()), int(c.u16())
		l.Health = control.Health(c.u8())
		l.Weight = float64(c.f32())
		c.u64()
		if l.Health > control.Gone {
			return fmt.Errorf("entry %d: standing %d is unknown", i, l.Health)
		}
	}
	if c.short {
		return fmt.Errorf("event code %d is cut short", evPool)
	}
	d.pools[id] = list
	return nil
}

// result translates an outcome code.
func result(code uint8) (control.Result, error) {
	switch code {
	case 0:
		return control.OK, nil
	case 13:
		return control.Errored, nil
	case 8:
		return control.Refused, nil
	case 4:
		return control.TimedOut, nil
	case 14:
		return control.ConnectFailed, nil
	case 10:
		return control.Reset, nil
	case 1:
		return control.Cancelled, nil
	case 9:
		return control.Moot, nil
	}
	return 0, fmt.Errorf("outcome code %d is unknown", code)
}

// Reply gathers the records that answer one batch.
type Reply struct {
	body  []byte
	count uint32
}

// Reset empties the reply for the next batch.
func (r *Reply) Reset() { r.body, r.count = r.body[:0], 0 }

func (r *Reply) head(code uint8, who uint16) {
	r.count++
	r.body = append(r.body, code)
	r.body = binary.LittleEndian.AppendUint16(r.body, who)
}

func (r *Reply) endpoint(e control.Endpoint) {
	r.body = binary.LittleEndian.AppendUint32(r.body, uint32(e>>16))
	r.body = binary.LittleEndian.AppendUint16(r.body, uint16(e))
}

func (r *Reply) span(t control.Time) {
	r.body = binary.LittleEndian.AppendUint32(r.body, uint32(min(max(t, 0), math.MaxUint32)))
}

func (r *Reply) text(code uint8, who uint16, s string) {
	s = s[:min(len(s), math.MaxUint16)]
	r.head(code, who)
	r.body = binary.LittleEndian.AppendUint16(r.body, uint16(len(s)))
	r.body = append(r.body, s...)
}

// Fatal adds the end of an instance whose decision code failed.
func (r *Reply) Fatal(who uint16, text string) { r.text(acFatal, who, text) }

// Track asks for changes of the list from now on. One event answers it: a list, or that it failed.
func (r *Reply) Track(who uint16) {
	r.head(acTrack, who)
	r.body = append(r.body, 1)
}

// Add encodes one action of an instance.
func (r *Reply) Add(who uint16, a control.Action) {
	le := binary.LittleEndian
	switch a.Kind {
	case control.Send:
		r.head(acAttempt, who)
		r.body = le.AppendUint64(r.body, uint64(a.Message))
		r.endpoint(a.Endpoint)
		r.span(a.After)
	case control.Refuse:
		r.head(acOverloadReply, who)
		r.body = le.AppendUint64(r.body, uint64(a.Message))
		r.span(a.After)
	case control.Fail:
		r.head(acReportFailure, who)
		r.body = le.AppendUint64(r.body, uint64(a.Message))
	case control.Cancel:
		r.head(acStopAttempt, who)
		r.body = le.AppendUint64(r.body, uint64(a.Message))
		r.body = le.AppendUint16(r.body, uint16(a.Attempt))
	case control.Timer:
		r.head(acTimer, who)
		r.span(a.After)
		r.body = le.AppendUint64(r.body, a.TimerID)
	case control.Probe:
		r.head(acAskLoad, who)
		r.endpoint(a.Endpoint)
	case control.Close:
		r.head(acHangUp, who)
		r.endpoint(a.Endpoint)
	case control.Note:
		r.text(acNoteDown, who, a.Text)
	}
}

// Write writes the reply to batch seq in one piece.
func (r *Reply) Write(w io.Writer, seq uint32) error {
	var head [12]byte
	binary.LittleEndian.PutUint32(head[0:], seq)
	binary.LittleEndian.PutUint32(head[4:], r.count)
	binary.LittleEndian.PutUint32(head[8:], uint32(len(r.body)))
	if _, err := w.Write(head[:]); err != nil {
		return fmt.Errorf("reply to batch %d: %w", seq, err)
	}
	if _, err := w.Write(r.body); err != nil {
		return fmt.Errorf("reply to batch %d: %w", seq, err)
	}
	return nil
}
