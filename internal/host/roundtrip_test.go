package host

import (
	"net"
	"testing"
	"time"
)

// The kernel's estimate is never longer than a round trip that was seen from here.
func TestTheRoundTripIsNoLongerThanOneThatWasSeen(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		b := make([]byte, 1)
		for {
			if _, err := c.Read(b); err != nil {
				return
			}
			if _, err := c.Write(b); err != nil {
				return
			}
		}
	}()
	c, err := System{}.Dial(l.Addr().String(), time.Second, &Abort{})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	b := make([]byte, 1)
	measured := false
	for range 200 {
		began := time.Now()
		if _, err := c.Write(b); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(b); err != nil {
			t.Fatal(err)
		}
		saw, least := time.Since(began), MinRoundTrip(c)
		measured = measured || least > 0
		if least > saw {
			t.Fatalf("%v, and a request was answered in %v", least, saw)
		}
	}
	if !measured {
		t.Log("this kernel measures none")
	}
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	if MinRoundTrip(near) != 0 {
		t.Error("a pipe has a round trip")
	}
}
