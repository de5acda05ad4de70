package host

import (
	"testing"
	"time"
)

func TestProbeReturnsOncePerSend(t *testing.T) {
	t.Parallel()
	back := make(chan bool)
	p, err := System{}.NewProbe(func() { back <- true })
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	for range 10 {
		p.Send()
		select {
		case <-back:
		case <-time.After(20 * time.Second):
			t.Fatal("the probe did not come back")
		}
	}
	select {
	case <-back:
		t.Error("the probe came back without Send")
	case <-time.After(10 * time.Millisecond):
	}
}

func TestAClosedProbeEnds(t *testing.T) {
	t.Parallel()
	p, err := System{}.NewProbe(func() { t.Error("the closed probe came back") })
	if err != nil {
		t.Fatal(err)
	}
	p.Close()
	p.Send() // must have no effect
}
