package membership

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

// start is an arbitrary time, since the table reads no clock.
var start = time.Unix(1_700_000_000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// testEndpoint returns an endpoint of destination 1. The digits of its ID are the last part of its address, so that IDs with
// the same digits share an address.
func testEndpoint(id string, p Phase) Endpoint {
	return Endpoint{ID: id, Addr: "10.0.0." + strings.TrimLeft(id, "abcdefghijklmnopqrstuvwxyz-") + ":80", Dest: 1, Zone: "east", Kind: "hooks", Phase: p}
}

// tableTest is a test of one table.
type tableTest struct {
	*testing.T
	table *Table
}

func newTableTest(t *testing.T, sources ...string) tableTest {
	t.Helper()
	table, err := New(Settings{Sources: sources, RememberLeft: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	return tableTest{t, table}
}

// apply applies an update s seconds after start and returns the changes as "id phase" in their order.
func (r tableTest) apply(s float64, source string, kind UpdateKind, list ...Endpoint) string {
	r.Helper()
	changes, refused, err := r.table.Apply(at(s), source, Update{Kind: kind, Endpoints: list})
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

func (r tableTest) want(got, want string) {
	r.Helper()
	if got != want {
		r.Errorf("got %q, want %q", got, want)
	}
}

func TestWorstClaimCounts(t *testing.T) {
	t.Parallel()
	r := newTableTest(t, "a", "b")
	r.want(r.apply(0, "a", FullList, testEndpoint("e1", Active)), "e1 active")
	r.want(r.apply(1, "b", Changes, testEndpoint("e1", Leaving)), "e1 leaving")
	r.want(r.apply(2, "a", Changes, testEndpoint("e1", Active)), "")
	r.want(r.apply(3, "b", Changes, testEndpoint("e1", Active)), "e1 active")
	r.want(r.apply(4, "a", Changes, testEndpoint("e1", Left)), "e1 left")
}

func TestSourceHasNoClaimOnUnreportedEndpoint(t *testing.T) {
	t.Parallel()
	r := newTableTest(t, "a", "b")
	r.want(r.apply(0, "a", FullList, testEndpoint("e1", Active)), "e1 active")
	r.want(r.apply(1, "b", FullList, testEndpoint("e2", Active)), "e2 active")
	r.want(r.apply(2, "b", FullList), "e2 left")
	r.want(show(r.table.List()), "e1 active")
}

func TestFullListWithoutEndpointClaimsLeft(t *testing.T) {
	t.Parallel()
	r := newTableTest(t, "a", "b")
	r.apply(0, "a", FullList, testEndpoint("e1", Active))
	r.apply(0, "b", FullList, testEndpoint("e1", Active))
	r.want(r.apply(1, "b", FullList), "e1 left")
	r.want(r.apply(2, "a", FullList, testEndpoint("e1", Active)), "") // a lags behind b
	r.want(r.apply(500, "a", FullList, testEndpoint("e1", Active)), "")
	r.want(r.apply(501, "b", Changes, testEndpoint("e1", Active)), "e1 active")
}

func TestLaggingSourceDoesNotBringBackLeftEndpoint(t *testing.T) {
	t.Parallel()
	r := newTableTest(t, "a", "b")
	r.apply(0, "a", FullList, testEndpoint("e1", Active))
	r.apply(0, "b", FullList)
	r.want(r.apply(1, "a", Changes, Endpoint{ID: "e1", Phase: Left}), "e1 left")
	r.want(r.apply(2, "b", Changes, testEndpoint("e1", Active)), "")
	x, known := r.table.Explain("e1")
	if !known || len(x.Claims) != 2 || x.Endpoint.Phase != Left || !strings.Contains(x.Reason, "which is a") {
		t.Errorf("explanation: %v", x)
	}
}

func TestLeftClaimOnUnknownEndpointIsRemembered(t *testing.T) {
	t.Parallel()
	r := newTableTest(t, "a", "b")
	r.want(r.apply(0, "a", Changes, Endpoint{ID: "e1", Phase: Left}), "")
	r.want(r.apply(1, "b", Changes, testEndpoint("e1", Active)), "")
	r.want(r.apply(2, "b", Changes, testEndpoint("e1", Left)), "")
	r.want(r.apply(70, "b", Changes, testEndpoint("e1", Active)), "e1 active") // RememberLeft has passed since the last report
}

func TestReplacementWithdrawsOmittedClaims(t *testing.T) {
	t.Parallel()
	r := newTableTest(t, "hand", "a")
	r.apply(0, "a", FullList, testEndpoint("e1", Active), testEndpoint("e2", Active))
	r.want(r.apply(1, "hand", Replacement, testEndpoint("e1", Leaving), testEndpoint("e3", Active)), "e1 leaving, e3 active")
	r.want(r.apply(2, "hand", Replacement), "e3 left, e1 active")
	r.want(show(r.table.List()), "e1 active, e2 active")
}

func TestFailedSourceKeepsItsClaims(t *testing.T) {
	t.Parallel()
	r := newTableTest(t, "a")
	r.apply(0, "a", FullList, testEndpoint("e1", Active))
	if _, _, err := r.table.Apply(at(5), "a", Update{Kind: Failed, Err: errors.New("connection refused")}); err != nil {
		t.Fatal(err)
	}
	r.want(show(r.table.List()), "e1 active")
	s := r.table.Sources()[0]
	if !s.Failed.Equal(at(5)) || s.Err != "connection refused" || !s.Told.Equal(at(0)) || s.Named != 1 || !s.Listed {
		t.Errorf("state of the failed source: %+v", s)
	}
	if x, _ := r.table.Explain("e1"); !x.Claims[0].FailingSince.Equal(at(5)) || !strings.Contains(x.String(), "can't be heard") {
		t.Errorf("explanation: %v", x)
	}
	r.apply(6, "a", Changes)
	if s := r.table.Sources()[0]; !s.Failed.IsZero() || s.Err != "" {
		t.Errorf("state of the source after it reported again: %+v", s)
	}
}

func TestFieldsComeFromFirstSource(t *testing.T) {
	t.Parallel()
	r := newTableTest(t, "a", "b")
	b := Endpoint{ID: "e1", Addr: "10.0.0.2:80", Dest: 1, Zone: "west", Kind: "hooks", Phase: Active, Weight: 3, Started: 20, Hints: "west"}
	r.apply(0, "b", FullList, b)
	a := Endpoint{ID: "e1", Addr: "10.0.0.1:80", Dest: 1, Kind: "archives", Phase: Active, Started: 10}
	r.apply(1, "a", FullList, a)
	want := Endpoint{ID: "e1", Addr: "10.0.0.1:80", Dest: 1, Zone: "west", Kind: "archives", Phase: Active, Weight: 3, Started: 20, Hints: "west"}
	if got := r.table.List()[0]; got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestConflictingDestinationsMakeEndpointLeaving(t *testing.T) {
	t.Parallel()
	r := newTableTest(t, "a", "b")
	r.apply(0, "a", FullList, testEndpoint("e1", Active))
	other := testEndpoint("e1", Active)
	other.Dest = 2
	r.want(r.apply(1, "b", FullList, other), "e1 leaving")
	if x, _ := r.table.Explain("e1"); !strings.Contains(x.Reason, "different destinations") {
		t.Errorf("explanation: %v", x)
	}
}

func TestNewestEndpointKeepsSharedAddress(t *testing.T) {
	t.Parallel()
	r := newTableTest(t, "a")
	old, newer := testEndpoint("e1", Active), testEndpoint("f1", Active)
	newer.Started = 5
	r.want(r.apply(0, "a", FullList, old), "e1 active")
	r.want(r.apply(1, "a", Changes, newer), "e1 leaving, f1 active")
	if x, _ := r.table.Explain("e1"); !strings.Contains(x.Reason, "held by f1") {
		t.Errorf("explanation: %v", x)
	}
	r.want(r.apply(2, "a", Changes, testEndpoint("f1", Left)), "f1 left, e1 active")
	twin := testEndpoint("d1", Active)
	r.want(r.apply(3, "a", Changes, twin), "e1 leaving, d1 active")
	twin.Dest = 2 // endpoints of different destinations may share an address
	r.want(r.apply(4, "a", Changes, twin), "d1 active, e1 active")
}

func TestMalformedEndpointDoesNotAffectOthers(t *testing.T) {
	t.Parallel()
	r := newTableTest(t, "a")
	r.apply(0, "a", FullList, testEndpoint("e1", Active), testEndpoint("e2", Active))
	bad := testEndpoint("e1", Active)
	bad.Addr = "nowhere"
	unknown := testEndpoint("e3", Active)
	unknown.Weight = math.NaN()
	changes, refused, err := r.table.Apply(at(1), "a", Update{Kind: FullList, Endpoints: []Endpoint{bad, unknown, {ID: "e 4"}, testEndpoint("e2", Active), testEndpoint("e5", Active)}})
	if err != nil || len(refused) != 3 || !errors.Is(refused[0].Err, ErrMalformed) {
		t.Fatal(err, refused)
	}
	r.want(show(changes), "e1 leaving, e5 active")
}

func TestWorseOfTwoEntriesInOneListCounts(t *testing.T) {
	t.Parallel()
	r := newTableTest(t, "a")
	r.want(r.apply(0, "a", FullList, testEndpoint("e1", Leaving), testEndpoint("e1", Active)), "e1 leaving")
	r.want(r.apply(1, "a", Changes, testEndpoint("e1", Leaving), testEndpoint("e1", Active)), "e1 active") // changes are applied in their order
}

func TestTableIsBounded(t *testing.T) {
	t.Parallel()
	table, err := New(Settings{Sources: []string{"a"}, MaxEndpoints: 3})
	if err != nil {
		t.Fatal(err)
	}
	_, refused, _ := table.Apply(at(0), "a", Update{Kind: FullList, Endpoints: []Endpoint{testEndpoint("e1", Active), testEndpoint("e2", Active), testEndpoint("e3", Active), testEndpoint("e4", Active)}})
	if len(refused) != 1 || !errors.Is(refused[0].Err, ErrFull) {
		t.Fatal(refused)
	}
	for i := range 1000 {
		id := fmt.Sprint("x", i)
		table.Apply(at(1), "a", Update{Endpoints: []Endpoint{{ID: "e1", Phase: Left}, {ID: id, Phase: Left}}})
		if _, refused, _ := table.Apply(at(1), "a", Update{Endpoints: []Endpoint{testEndpoint("e1", Active)}}); len(refused) > 0 {
			t.Fatal(refused) // endpoints that have left are removed to make room
		}
		if len(table.records) > 3 || len(table.leftQueue) > maxRememberedLeft+2 {
			t.Fatalf("%d records, %d remembered as left", len(table.records), len(table.leftQueue))
		}
	}
}

func TestMemoryOfLeftEndpointsIsBounded(t *testing.T) {
	t.Parallel()
	r := newTableTest(t, "a")
	for i := range 3 * maxRememberedLeft {
		id := fmt.Sprint("x", i)
		r.apply(1, "a", Changes, Endpoint{ID: id, Addr: "10.0.0.1:80", Phase: Active})
		r.apply(1, "a", Changes, Endpoint{ID: id, Phase: Left})
	}
	if n := r.table.Len(); n > maxRememberedLeft+2 {
		t.Errorf("%d endpoints are remembered that have left", n)
	}
}

func TestCachedClaimsCountUntilSourceReports(t *testing.T) {
	t.Parallel()
	r := newTableTest(t, "a", "b")
	r.apply(0, "a", FullList, testEndpoint("e1", Active), testEndpoint("e2", Leaving), testEndpoint("e3", Active))
	r.apply(0, "a", Changes, testEndpoint("e3", Left))
	dump := r.table.Dump("a")

	r = newTableTest(t, "a", "b")
	changes, refused, err := r.table.Restore(at(100), "a", dump)
	if err != nil || len(refused) > 0 {
		t.Fatal(err, refused)
	}
	r.want(show(changes), "e2 leaving, e1 active")
	if r.table.Complete() {
		t.Error("the table is complete with a cache but without a full list")
	}
	r.want(r.apply(101, "b", FullList, testEndpoint("e3", Active)), "") // the cache has e3 as Left
	if x, _ := r.table.Explain("e1"); !x.Claims[0].Cached || !strings.Contains(x.String(), "cache") {
		t.Errorf("explanation: %v", x)
	}
	r.want(r.apply(102, "a", Changes, testEndpoint("e2", Leaving)), "")
	r.want(r.apply(103, "a", FullList, testEndpoint("e2", Leaving)), "e1 left")
	if !r.table.Complete() {
		t.Error("the table is not complete after full lists from all sources")
	}
	if _, _, err := r.table.Restore(at(104), "a", dump); err == nil {
		t.Error("a cache was accepted after an update of its source")
	}
}

func TestRemovedSourceLosesItsClaims(t *testing.T) {
	t.Parallel()
	r := newTableTest(t, "a", "b")
	r.apply(0, "a", FullList, testEndpoint("e1", Active), testEndpoint("e2", Leaving))
	r.apply(0, "b", FullList, testEndpoint("e2", Active))
	changes, err := r.table.SetSources(at(1), []string{"c", "b"})
	if err != nil {
		t.Fatal(err)
	}
	r.want(show(changes), "e1 left, e2 active")
	if _, _, err := r.table.Apply(at(2), "a", Update{}); err == nil {
		t.Error("an update of a removed source was accepted")
	}
	if _, err := r.table.SetSources(at(3), []string{"b", "b"}); err == nil {
		t.Error("two sources with the same name were accepted")
	}
}
