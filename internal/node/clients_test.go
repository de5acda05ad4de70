package node

import (
	"curlewmux/membership/partnerlist"
	"fmt"
	"strings"
	"testing"
)

// A message for a destination that no list has named is rejected with Retry-After. One for a destination without
// endpoints at the moment is accepted and waits.
func TestOnlyDestinationsThatWereNamed(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	w.start()
	if code, h, why := w.do(w.request("free", "m", 9)); code != 503 || h.Get("Retry-After") == "" {
		t.Errorf("%d %v %s", code, h, why)
	}
	m := partnerlist.Entry{ID: "e9", HostPort: "127.0.0.1:1", Locality: "west", Flavor: "hooks", Cell: 9, Phase: "leaving"}
	w.setEntry(m)
	waitFor(t, func() bool { code, _, _ := w.do(w.request("free", "m", 9)); return code == 202 })
	m.Phase = "left"
	w.setEntry(m)
	w.listDestinations(8)
	waitFor(t, func() bool { code, _, _ := w.do(w.request("free", "n", 8)); return code == 202 })
	w.submit("free", "later", 9)
	if len(w.journalled()) != 3 {
		t.Errorf("journalled %v", w.journalled())
	}
}

// The bodies of all open messages share one memory limit. Messages that end or are rejected release their part.
func TestBodiesShareABudget(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t)
	w.memoryMB, w.maxOpen, w.diskMB = 2, 1000, 50
	w.start()
	big := func(id string) int {
		code, h, _ := w.do(mustRequest(t, w.request("free", id, 1), strings.Repeat("x", 60000)))
		if code == 503 && h.Get("Retry-After") == "" {
			t.Error("503 without Retry-After")
		}
		return code
	}
	accepted := 0
	for i := 0; i < 20 && big(fmt.Sprint("m", i)) == 202; i++ {
		accepted++
	}
	if most := (2 << 20) / bodyMemoryDivisor / 60000; accepted != most {
		t.Errorf("%d large messages accepted, want %d", accepted, most)
	}
	w.endpoint("e", 1, "hooks", respond(200))
	w.awaitEmpty()
	for i := range 20 { // rejected, since no list names the destination; releases its memory
		w.do(mustRequest(t, w.request("free", fmt.Sprint("x", i), 9), strings.Repeat("x", 60000)))
	}
	if code := big("again"); code != 202 {
		t.Errorf("answered %d after all had ended", code)
	}
}
