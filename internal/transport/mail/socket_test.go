package mailtransport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/host"
	"curlewmux/internal/mail"
	standin "curlewmux/internal/standin/mail"
)

// heard hears the outcomes of one call.
type heard struct {
	n    int
	ends chan engine.Outcome
}

func (h *heard) MayWrite(engine.CallID) []bool { return slices.Repeat([]bool{true}, h.n) }
func (h *heard) FirstLine(engine.CallID)       {}
func (h *heard) Ended(_ engine.CallID, outs []engine.Outcome) {
	for _, o := range outs {
		h.ends <- o
	}
}

// The same on real sockets as TestWhereverASessionIsCutOffTheOutcomesAreTrue.
func TestOnSocketsTheOutcomesOfSessionsThatAreCutOffAreTrue(t *testing.T) {
	t.Parallel()
	sure, doubt := 0, 0
	for seed := range uint64(300) {
		dice := rand.New(rand.NewPCG(seed, 3))
		p := mail.Protocol(dice.IntN(2))
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must(t, err)
		var cut standin.Cut
		if dice.IntN(2) == 0 {
			cut.Read = 1 + dice.IntN(700)
		} else {
			cut.Written = 1 + dice.IntN(500)
		}
		s := &standin.Server{
			Host: host.System{}, LMTP: p == mail.LMTP, Extensions: allExtensions[:dice.IntN(len(allExtensions)+1)],
			Cuts: func(int) standin.Cut { return cut },
		}
		served := make(chan bool)
		go func() {
			s.Serve(l)
			close(served)
		}()
		h := host.System{}
		clock := engine.Clock{Start: h.Now()}
		tr := New(h, clock, Settings{Name: "mux.example.org", Partners: map[int]Partner{0: {Protocol: p}}, ConnectTimeout: generous, MostIdle: 1})
		n := 1 + dice.IntN(4)
		c := &engine.Call{ID: 1, Endpoint: 1, Addr: l.Addr().String()}
		for i := range n {
			e := mail.Envelope{From: mail.Path{Addr: "a@x.example"}, To: mail.Path{Addr: fmt.Sprintf("r%d@x.example", i)}, Content: []byte(content)}
			c.Items = append(c.Items, engine.Item{ID: fmt.Sprint(i), Body: e.Bytes(), Deadline: clock.At(h.Now().Add(generous))})
		}
		on := &heard{n: n, ends: make(chan engine.Outcome, 2*n)}
		tr.Start(c, on)
		outs := map[int]engine.Outcome{}
		for len(outs) < n {
			select {
			case o := <-on.ends:
				if _, twice := outs[o.Item]; twice {
					t.Errorf("seed %d: item %d ended twice", seed, o.Item)
				}
				outs[o.Item] = o
			case <-time.After(generous):
				t.Fatalf("seed %d: waited in vain", seed)
			}
		}
		must(t, tr.Close(generous))
		l.Close()
		<-served
		s.Close()
		had := map[string]int{}
		for _, a := range s.Accepted() {
			had[a.Rcpt]++
		}
		for i := range n {
			o, e := outs[i], had[fmt.Sprintf("r%d@x.example", i)]
			switch {
			case o.Result == control.OK && e == 1:
			case control.NeverRan(o.Result) && e == 0:
				sure++
			case !control.NeverRan(o.Result) && o.Result != control.OK && e <= 1:
				doubt++
			default:
				t.Errorf("seed %d, %+v: item %d ended as %s and took effect %d times", seed, cut, i, nameOf(o), e)
			}
		}
	}
	if sure == 0 || doubt == 0 {
		t.Errorf("%d sure, %d in doubt", sure, doubt)
	}
}
