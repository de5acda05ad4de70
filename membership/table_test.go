package membership

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

// start is an instant; the table reads no clock.
var start = time.Unix(1_700_000_000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// ep is an endpoint of destination 1 at an address of its own.
func ep(id string, p Phase) Endpoint {
	return Endpoint{ID: id, Addr: "10.0.0." + strings.TrimLeft(id, "abcdefghijklmnopqrstuvwxyz-") + ":80", Dest: 1, Zone: "east", Kind: "hooks", Phase: p}
}

type rig struct {
	*testing.T
	t *Table
}

func newRig(t *testing.T, sources ...string) rig {
	t.Helper()
	table, err := New(Settings{Sources: sources, RememberLeft: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	return rig{t, table}
}

// tell tells an update and returns the changes as "id phase" in their order.
func (r rig) tell(s float64, source string, kind UpdateKind, list ...Endpoint) string {
	r.Helper()
	changes, refused, err := r.t.Apply(at(s), source, Update{Kind: kind, Endpoints: list})
	if err != nil || len(refused) > 0 {
		r.Fatal(err, refused)
	}
	return show(changes)
}

func show(list []Endpoint) string {
	var words []string
	for _, e := range list {
		words = append(words, e.ID+" "+e.Phase.String())
	}
	return strings.Join(words, ", ")
}

func (r rig) want(got, want string) {
	r.Helper()
	if got != want {
		r.Errorf("got %q, want %q", got, want)
	}
}

func TestTheWorstClaimCounts(t *testing.T) {
	t.Parallel()
	r := newRig(t, "a", "b")
	r.want(r.tell(0, "a", FullList, ep("e1", Active)), "e1 active")
	r.want(r.tell(1, "b", Changes, ep("e1", Leaving)), "e1 leaving")
	r.want(r.tell(2, "a", Changes, ep("e1", Active)), "")
	r.want(r.tell(3, "b", Changes, ep("e1", Active)), "e1 active")
	r.want(r.tell(4, "a", Changes, ep("e1", Left)), "e1 left")
}

func TestASourceThatNeverToldOfAnEndpointHasNoClaimOnIt(t *testing.T) {
	t.Parallel()
	r := newRig(t, "a", "b")
	r.want(r.tell(0, "a", FullList, ep("e1", Active)), "e1 active")
	r.want(r.tell(1, "b", FullList, ep("e2", Active)), "e2 active")
	r.want(r.tell(2, "b", FullList), "e2 left")
	r.want(show(r.t.List()), "e1 active")
}

func TestAWholeListWithoutAnEndpointIsItsClaimThatItHasLeft(t *testing.T) {
	t.Parallel()
	r := newRig(t, "a", "b")
	r.tell(0, "a", FullList, ep("e1", Active))
	r.tell(0, "b", FullList, ep("e1", Active))
	r.want(r.tell(1, "b", FullList), "e1 left")
	r.want(r.tell(2, "a", FullList, ep("e1", Active)), "") // it lags
	r.want(r.tell(500, "a", FullList, ep("e1", Active)), "")
	r.want(r.tell(501, "b", Changes, ep("e1", Active)), "e1 active")
}

func TestASourceThatLagsDoesNotBringBackWhoHasLeft(t *testing.T) {
	t.Parallel()
	r := newRig(t, "a", "b")
	r.tell(0, "a", FullList, ep("e1", Active))
	r.tell(0, "b", FullList)
	r.want(r.tell(1, "a", Changes, Endpoint{ID: "e1", Phase: Left}), "e1 left")
	r.want(r.tell(2, "b", Changes, ep("e1", Active)), "")
	x, known := r.t.Explain("e1")
	if !known || len(x.Claims) != 2 || x.Endpoint.Phase != Left || !strings.Contains(x.Reason, "which is a") {
		t.Errorf("why: %v", x)
	}
}

func TestLeftBeforeItWasEverToldIsKeptInMind(t *testing.T) {
	t.Parallel()
	r := newRig(t, "a", "b")
	r.want(r.tell(0, "a", Changes, Endpoint{ID: "e1", Phase: Left}), "")
	r.want(r.tell(1, "b", Changes, ep("e1", Active)), "")
	r.want(r.tell(2, "b", Changes, ep("e1", Left)), "")
	r.want(r.tell(70, "b", Changes, ep("e1", Active)), "e1 active") // a minute after the last word
}

func TestASourceThatRestatesItsWordTakesTheRestBack(t *testing.T) {
	t.Parallel()
	r := newRig(t, "hand", "a")
	r.tell(0, "a", FullList, ep("e1", Active), ep("e2", Active))
	r.want(r.tell(1, "hand", Replacement, ep("e1", Leaving), ep("e3", Active)), "e1 leaving, e3 active")
	r.want(r.tell(2, "hand", Replacement), "e3 left, e1 active")
	r.want(show(r.t.List()), "e1 active, e2 active")
}

func TestASilentSourceKeepsItsList(t *testing.T) {
	t.Parallel()
	r := newRig(t, "a")
	r.tell(0, "a", FullList, ep("e1", Active))
	if _, _, err := r.t.Apply(at(5), "a", Update{Kind: Failed, Err: errors.New("connection refused")}); err != nil {
		t.Fatal(err)
	}
	r.want(show(r.t.List()), "e1 active")
	s := r.t.Sources()[0]
	if !s.Failed.Equal(at(5)) || s.Err != "connection refused" || !s.Told.Equal(at(0)) || s.Named != 1 || !s.Listed {
		t.Errorf("state %+v", s)
	}
	if x, _ := r.t.Explain("e1"); !x.Claims[0].FailingSince.Equal(at(5)) || !strings.Contains(x.String(), "can't be heard") {
		t.Errorf("why: %v", x)
	}
	r.tell(6, "a", Changes)
	if s := r.t.Sources()[0]; !s.Failed.IsZero() || s.Err != "" {
		t.Errorf("state %+v", s)
	}
}

func TestTheFirstSourceInOrderSettlesTheFields(t *testing.T) {
	t.Parallel()
	r := newRig(t, "a", "b")
	b := Endpoint{ID: "e1", Addr: "10.0.0.2:80", Dest: 1, Zone: "west", Kind: "hooks", Phase: Active, Weight: 3, Started: 20, Hints: "west"}
	r.tell(0, "b", FullList, b)
	a := Endpoint{ID: "e1", Addr: "10.0.0.1:80", Dest: 1, Kind: "archives", Phase: Active, Started: 10}
	r.tell(1, "a", FullList, a)
	want := Endpoint{ID: "e1", Addr: "10.0.0.1:80", Dest: 1, Zone: "west", Kind: "archives", Phase: Active, Weight: 3, Started: 20, Hints: "west"}
	if got := r.t.List()[0]; got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestSourcesThatDisagreeOnTheDestinationStopWork(t *testing.T) {
	t.Parallel()
	r := newRig(t, "a", "b")
	r.tell(0, "a", FullList, ep("e1", Active))
	other := ep("e1", Active)
	other.Dest = 2
	r.want(r.tell(1, "b", FullList, other), "e1 leaving")
	if x, _ := r.t.Explain("e1"); !strings.Contains(x.Reason, "different destinations") {
		t.Errorf("why: %v", x)
	}
}

func TestOneAddressIsActiveOnceAndTheLaterStartHoldsIt(t *testing.T) {
	t.Parallel()
	r := newRig(t, "a")
	old, fresh := ep("e1", Active), ep("f1", Active)
	fresh.Started = 5
	r.want(r.tell(0, "a", FullList, old), "e1 active")
	r.want(r.tell(1, "a", Changes, fresh), "e1 leaving, f1 active")
	if x, _ := r.t.Explain("e1"); !strings.Contains(x.Reason, "held by f1") {
		t.Errorf("why: %v", x)
	}
	r.want(r.tell(2, "a", Changes, ep("f1", Left)), "f1 left, e1 active")
	twin := ep("d1", Active)
	r.want(r.tell(3, "a", Changes, twin), "e1 leaving, d1 active")
	twin.Dest = 2 // another destination's endpoint may stand at the same address
	r.want(r.tell(4, "a", Changes, twin), "d1 active, e1 active")
}

func TestAMalformedEndpointSpoilsNoOther(t *testing.T) {
	t.Parallel()
	r := newRig(t, "a")
	r.tell(0, "a", FullList, ep("e1", Active), ep("e2", Active))
	bad := ep("e1", Active)
	bad.Addr = "nowhere"
	unknown := ep("e3", Active)
	unknown.Weight = math.NaN()
	changes, refused, err := r.t.Apply(at(1), "a", Update{Kind: FullList, Endpoints: []Endpoint{bad, unknown, {ID: "e 4"}, ep("e2", Active), ep("e5", Active)}})
	if err != nil || len(refused) != 3 || !errors.Is(refused[0].Err, ErrMalformed) {
		t.Fatal(err, refused)
	}
	r.want(show(changes), "e1 leaving, e5 active")
}

func TestTheWorseOfTwoEntriesInOneListCounts(t *testing.T) {
	t.Parallel()
	r := newRig(t, "a")
	r.want(r.tell(0, "a", FullList, ep("e1", Leaving), ep("e1", Active)), "e1 leaving")
	r.want(r.tell(1, "a", Changes, ep("e1", Leaving), ep("e1", Active)), "e1 active") // one after the other
}

func TestTheTableIsBounded(t *testing.T) {
	t.Parallel()
	table, err := New(Settings{Sources: []string{"a"}, MaxEndpoints: 3})
	if err != nil {
		t.Fatal(err)
	}
	_, refused, _ := table.Apply(at(0), "a", Update{Kind: FullList, Endpoints: []Endpoint{ep("e1", Active), ep("e2", Active), ep("e3", Active), ep("e4", Active)}})
	if len(refused) != 1 || !errors.Is(refused[0].Err, ErrFull) {
		t.Fatal(refused)
	}
	for i := range 1000 {
		id := fmt.Sprint("x", i)
		table.Apply(at(1), "a", Update{Endpoints: []Endpoint{{ID: "e1", Phase: Left}, {ID: id, Phase: Left}}})
		if _, refused, _ := table.Apply(at(1), "a", Update{Endpoints: []Endpoint{ep("e1", Active)}}); len(refused) > 0 {
			t.Fatal(refused) // who has left makes room
		}
		if len(table.records) > 3 || len(table.gone) > mostGone+2 {
			t.Fatalf("%d records, %d that left", len(table.records), len(table.gone))
		}
	}
}

func TestAFloodOfLeavingLeavesLittleBehind(t *testing.T) {
	t.Parallel()
	r := newRig(t, "a")
	for i := range 3 * mostGone {
		id := fmt.Sprint("x", i)
		r.tell(1, "a", Changes, Endpoint{ID: id, Addr: "10.0.0.1:80", Phase: Active})
		r.tell(1, "a", Changes, Endpoint{ID: id, Phase: Left})
	}
	if n := r.t.Len(); n > mostGone+2 {
		t.Errorf("%d are remembered", n)
	}
}

func TestTheCacheCountsUntilItsSourceSpeaks(t *testing.T) {
	t.Parallel()
	r := newRig(t, "a", "b")
	r.tell(0, "a", FullList, ep("e1", Active), ep("e2", Leaving), ep("e3", Active))
	r.tell(0, "a", Changes, ep("e3", Left))
	dump := r.t.Dump("a")

	r = newRig(t, "a", "b")
	changes, refused, err := r.t.Restore(at(100), "a", dump)
	if err != nil || len(refused) > 0 {
		t.Fatal(err, refused)
	}
	r.want(show(changes), "e2 leaving, e1 active")
	if r.t.Complete() {
		t.Error("a cache is no list")
	}
	r.want(r.tell(101, "b", FullList, ep("e3", Active)), "") // e3 had left, as the cache knows
	if x, _ := r.t.Explain("e1"); !x.Claims[0].Cached || !strings.Contains(x.String(), "cache") {
		t.Errorf("why: %v", x)
	}
	r.want(r.tell(102, "a", Changes, ep("e2", Leaving)), "")
	r.want(r.tell(103, "a", FullList, ep("e2", Leaving)), "e1 left")
	if !r.t.Complete() {
		t.Error("all have told a whole list")
	}
	if _, _, err := r.t.Restore(at(104), "a", dump); err == nil {
		t.Error("a cache came after its source")
	}
}

func TestASourceThatIsTakenOutLosesItsClaims(t *testing.T) {
	t.Parallel()
	r := newRig(t, "a", "b")
	r.tell(0, "a", FullList, ep("e1", Active), ep("e2", Leaving))
	r.tell(0, "b", FullList, ep("e2", Active))
	changes, err := r.t.SetSources(at(1), []string{"c", "b"})
	if err != nil {
		t.Fatal(err)
	}
	r.want(show(changes), "e1 left, e2 active")
	if _, _, err := r.t.Apply(at(2), "a", Update{}); err == nil {
		t.Error("a source that is out was heard")
	}
	if _, err := r.t.SetSources(at(3), []string{"b", "b"}); err == nil {
		t.Error("two sources of one name")
	}
}
