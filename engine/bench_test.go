package engine

import (
	"fmt"
	"testing"

	"curlewmux/control"
	"curlewmux/ledger"
)

// BenchmarkLife is a message's whole life, from being handed in to being delivered, with a store that answers at once,
// while so many others are held whose destinations take nothing; and with books.
func BenchmarkLife(b *testing.B) {
	for _, books := range []*LedgerSettings{nil, {Epoch: ledger.NewEpoch(1, 1, ledger.ReasonNoLedger, "")}} {
		for _, held := range []int{0, 20, 1000} {
			b.Run(fmt.Sprint("books=", books != nil, "/held=", held), func(b *testing.B) { benchLife(b, held, books) })
		}
	}
}

func benchLife(b *testing.B, held int, books *LedgerSettings) {
	set := testSettings()
	set.Ledger = books
	set.MaxIDs, set.MaxEndpoints = 1<<20, 2*held+10
	set.Remember = control.Second
	set.Control.MaxOpen = 2*held + 100
	for i := range set.Control.Classes {
		set.Control.Classes[i].Aim, set.Control.Classes[i].Deadline = 1e12, 1e12
	}
	e, err := New(set)
	if err != nil {
		b.Fatal(err)
	}
	now := Now{At: Epoch, Wall: testWall}
	var call CallID
	delivered := 0
	var handle func(ev Event)
	handle = func(ev Event) {
		var stored Batch
		for _, f := range e.Handle(now, ev) {
			switch f := f.(type) {
			case *Append:
				stored = f.Batch
			case *Call:
				call = f.ID
			case *Done:
				delivered++
			}
		}
		if stored > 0 {
			handle(&Stored{Batch: stored})
		}
	}
	l := &Members{Source: "s", FullList: true}
	for dest := range held + 1 {
		phase := Leaving
		if dest == 0 {
			phase = Active
		}
		l.List = append(l.List, Member{ID: fmt.Sprint("e", dest), Addr: "h", Destination: dest, Phase: phase})
	}
	handle(&RestoreComplete{})
	handle(l)
	for len(e.listings) > 0 { // a long list is taken in parts
		now.At, now.Wall = now.At+set.Control.Tick, now.Wall+Timestamp(set.Control.Tick)
		handle(&Wake{})
	}
	for dest := 1; dest <= held; dest++ {
		handle(&Submit{Message: Message{ID: fmt.Sprint("held", dest), Class: "free", Destination: dest}, ExpiresIn: 1e12})
	}
	outcomes := []Outcome{{Result: control.OK}}
	b.ReportAllocs()
	for b.Loop() {
		handle(&Submit{Message: Message{ID: fmt.Sprint(now.At), Class: "free", Body: []byte("body")}, ExpiresIn: 1e12})
		now.At, now.Wall = now.At+set.Control.Tick, now.Wall+Timestamp(set.Control.Tick)
		handle(&Wake{})
		handle(&Ended{Call: call, Outcomes: outcomes})
	}
	if delivered != b.N || e.OpenMessages() != held {
		b.Fatalf("%d of %d delivered, %d held", delivered, b.N, e.OpenMessages())
	}
}
