package overloadbench

import (
	"sync"
	"testing"
	"time"

	"curlewmux/internal/bench/rig"
	"curlewmux/internal/standin/discovery"
)

// What became of a message is judged by what its client, its partner and discovery saw.
func TestAMessageThatHasNoEndInTimeIsLate(t *testing.T) {
	t.Parallel()
	agent, err := discovery.Start()
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	w := &world{agent: agent, partners: rig.NewPartners(8, 0), records: make([]record, 8)}
	defer w.partners.Close()
	addr, err := w.partners.Endpoint(1)
	if err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	for i, status := range []int{202, 202, 503, 0, 400} {
		w.records[i] = record{sent: begun, answered: begun.Add(time.Millisecond), status: status, again: time.Second}
		w.next.Add(1)
	}
	// The partner speaks HTTP as an endpoint does, and answers alike whoever calls.
	if status, _ := rig.NewClient(addr, 10).Submit("free", 0, 1, expires); status != 200 {
		t.Fatalf("the partner answers %d", status)
	}
	o := w.judge(begun, begun.Add(time.Minute))
	if o.delivered != 1 || o.late != 1 || o.refused != 1 || o.silent != 1 || o.other != 1 || o.offered != 5 || o.again != time.Second {
		t.Errorf("%+v", o)
	}
	if w.partners.Tries(0) != 1 || w.partners.Tries(1) != 0 {
		t.Errorf("tries %d, %d", w.partners.Tries(0), w.partners.Tries(1))
	}
}

func TestAnOpenLoopKeepsToItsRate(t *testing.T) {
	t.Parallel()
	p := rig.NewPartners(1000, 0)
	defer p.Close()
	addr, err := p.Endpoint(1)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{partners: p, records: make([]record, most), daemon: &rig.Daemon{Addr: addr}}
	var all sync.WaitGroup
	all.Go(func() { w.open(50, 500, time.Now().Add(400*time.Millisecond)) })
	all.Wait()
	if n := w.handed() + w.noConn; n < 120 || n > 300 {
		t.Errorf("%d messages in 400 ms, want 200", n)
	}
}
