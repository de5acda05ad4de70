package httptransport

import (
	"bytes"
	"net"
	"testing"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/host"
)

// singleCallEvents receives the events of one call at a time.
type singleCallEvents struct{ done chan control.Result }

func (o *singleCallEvents) MayWrite(engine.CallID) []bool                { return []bool{true} }
func (o *singleCallEvents) FirstLine(engine.CallID)                      {}
func (o *singleCallEvents) Ended(_ engine.CallID, outs []engine.Outcome) { o.done <- outs[0].Result }

// BenchmarkCall makes one call after the other over an idle loopback connection to an endpoint that doesn't allocate.
func BenchmarkCall(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(b, err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		answer, buf := []byte(ok200), make([]byte, 4<<10)
		for n := 0; ; {
			m, err := c.Read(buf[n:])
			if err != nil {
				return
			}
			if n += m; bytes.HasSuffix(buf[:n], []byte("body a")) {
				if _, err := c.Write(answer); err != nil {
					return
				}
				n = 0
			}
		}
	}()
	clock := engine.Clock{Start: time.Now()}
	t := New(host.System{}, clock, Settings{ConnectTimeout: time.Second, EndpointIdleTimeout: 5 * time.Second, MaxIdle: 8})
	defer t.Close(testTimeout)
	o := &singleCallEvents{make(chan control.Result)}
	items := []engine.Item{{ID: "9b1f03aa5c7e2d41", Key: "k-a", Body: []byte("body a"), Deadline: clock.At(time.Now().Add(time.Hour))}}
	addr, id := l.Addr().String(), engine.CallID(0)
	b.ReportAllocs()
	for b.Loop() {
		id++
		t.Start(&engine.Call{ID: id, Endpoint: 1, Addr: addr, Items: items}, o)
		if r := <-o.done; r != control.OK {
			b.Fatalf("outcome %v", r)
		}
	}
}
