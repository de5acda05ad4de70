package exporter

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"curlewmux/internal/figures"
	"curlewmux/ledger"
)

type source struct{ *ledger.Snapshot }

func (s source) Ledger(time.Duration) (*ledger.Snapshot, error) { return s.Snapshot, nil }

// scrape asks a handler of the library as Prometheus does.
func scrape(t testing.TB, cut func() (*ledger.Snapshot, error)) (int, string) {
	t.Helper()
	r := prometheus.NewPedanticRegistry()
	if err := r.Register(&Collector{Snapshot: cut}); err != nil {
		t.Fatal(err)
	}
	h := promhttp.HandlerFor(r, promhttp.HandlerOpts{EnableOpenMetrics: true, Registry: nil})
	ask := httptest.NewRequest("GET", "/metrics", nil)
	ask.Header.Set("Accept", figures.ContentTypeMetrics)
	out := httptest.NewRecorder()
	h.ServeHTTP(out, ask)
	return out.Code, out.Body.String()
}

// lines are a text's, sorted, with figures as floating-point numbers.
func lines(t *testing.T, text string) (out []string) {
	t.Helper()
	for line := range strings.Lines(text) {
		line = strings.TrimSuffix(line, "\n")
		if at := strings.LastIndexByte(line, ' '); !strings.HasPrefix(line, "#") {
			v, err := strconv.ParseFloat(line[at+1:], 64)
			if err != nil {
				t.Errorf("%q: %v", line, err)
			}
			line = line[:at] + " " + strconv.FormatFloat(v, 'g', -1, 64)
		}
		out = append(out, line)
	}
	slices.Sort(out)
	return out
}

func cut(names ...string) *ledger.Snapshot {
	s := &ledger.Snapshot{
		Format: ledger.Format, Instance: "a \"b\"\n", Epoch: ledger.NewEpoch(7, 1_800_000_000_000_001, ledger.ReasonNoLedger, ""), Wall: 1_800_000_123_456_789,
		Provisional: true, Breaches: []ledger.Breach{{Check: ledger.CheckMessages, FoundAt: 1}, {Check: ledger.CheckMessages, FoundAt: 1, ResolvedAt: 2}}, MoreBreaches: 3,
	}
	for i, name := range names {
		f := ledger.Counts{Accepted: ledger.Count(i + 1), Open: ledger.Count(i), Delivered: 1}
		f.Attempts.Sent, f.Doubt.Unresolved = 1<<53+1, math.MaxUint64
		s.Accounts = append(s.Accounts, ledger.AccountCounts{Key: ledger.Key{Class: name, Destination: i % 3, Tenant: name}, Counts: f})
	}
	s.Accounts = append(s.Accounts, ledger.AccountCounts{Key: ledger.Key{Other: true}, Counts: ledger.Counts{Accepted: 5, Open: 5}})
	return s
}

// The dispatcher's own text and the library's say the same of every snapshot.
func TestTheTextIsTheLibrarys(t *testing.T) {
	t.Parallel()
	many := make([]string, 1000)
	for i := range many {
		many[i] = fmt.Sprint("class-", i)
	}
	for name, s := range map[string]*ledger.Snapshot{
		"empty": cut(), "usual": cut("mail", "hooks"), "more accounts than series": cut(many...),
		"hostile": cut(`a"b\c`+"\n", "{x=\"y\"} 1\n# EOF", "\xff\xfe", "\xff\xff", "�", "", "other", strings.Repeat("é", 30), "\x00\r\t"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			code, want := scrape(t, func() (*ledger.Snapshot, error) { return s, nil })
			if code != 200 {
				t.Fatalf("the library: %d %s", code, want)
			}
			got, err := figures.New(source{s}, time.Now).Metrics()
			if err != nil {
				t.Fatal(err)
			}
			a, b := lines(t, string(got)), lines(t, want)
			for i := range max(len(a), len(b)) {
				if i >= len(a) || i >= len(b) || a[i] != b[i] {
					t.Fatalf("line %d of %d and %d: %q, the library has %q", i, len(a), len(b), a[min(i, len(a)-1)], b[min(i, len(b)-1)])
				}
			}
			if !bytes.HasSuffix(got, []byte("\n# EOF\n")) || bytes.Count(got, []byte("\n# EOF\n")) != 1 {
				t.Error("the text does not end as it must")
			}
			if n := bytes.Count(got, []byte("curlewmux_messages_taken_total{")); n > figures.MaxSeries+1 {
				t.Errorf("%d series of a metric", n)
			}
			if len(s.Accounts) > 1 && !bytes.Contains(got, []byte(" 9007199254740993\n")) {
				t.Error("a figure beyond 2^53 is not exact")
			}
		})
	}
}

func TestWithoutACutAScrapeFails(t *testing.T) {
	t.Parallel()
	if code, text := scrape(t, func() (*ledger.Snapshot, error) { return nil, errors.New("nobody there") }); code != 500 || !strings.Contains(text, "nobody there") {
		t.Errorf("%d %s", code, text)
	}
}

// go test -bench . ./internal/figures/exporter: one text of 256 accounts, by the library and by the dispatcher's own code.
func BenchmarkText(b *testing.B) {
	names := make([]string, figures.MaxSeries)
	for i := range names {
		names[i] = fmt.Sprint("class-", i)
	}
	s := cut(names...)
	b.Run("library", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			scrape(b, func() (*ledger.Snapshot, error) { return s, nil })
		}
	})
	b.Run("own", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := figures.New(source{s}, time.Now).Metrics(); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("JSON", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := figures.New(source{s}, time.Now).JSON(); err != nil {
				b.Fatal(err)
			}
		}
	})
}
