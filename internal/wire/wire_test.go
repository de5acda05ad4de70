package wire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"regexp"
	"strings"
	"testing"

	"curlewmux/control"
)

func unhex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

const sample = `0c000000 39000000 03000000 5a5c800000000000
	12 0300 c4913a5d82c10c00 0000 01 00 e02e0000 80a90300 00006442 640ad2557c3bf091
	16 0300 4d00000000000000
	15 0500 192b6f0e7a800700`

func TestDecodeBatch(t *testing.T) {
	d := NewDecoder(bytes.NewReader(unhex(t, sample)))
	b, err := d.Next()
	if err != nil {
		t.Fatal(err)
	}
	if b.Seq != 12 || b.Now != 0x805c5a || len(b.Records) != 3 {
		t.Fatalf("batch %+v", b)
	}
	e := b.Records[0].Event
	if e.Kind != control.Arrival || e.Message != 0xcc1825d3a91c4 || e.Destination != 57 || e.TimeLeft != 240000 || e.Key == 0 {
		t.Errorf("arrival %+v", e)
	}
	if b.Records[1].Event.TimerID != 77 || b.Records[2].Instance != 5 {
		t.Errorf("records %+v", b.Records)
	}
	if _, err := d.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("at the end: %v", err)
	}
}

func TestEncodeReply(t *testing.T) {
	var r Reply
	r.Add(3, control.Action{
		Kind: control.Send, Message: 0xcc1825d3a91c4, Endpoint: control.Endpoint(0x074a120a)<<16 | 0x1f93, After: 80000,
	})
	r.Add(3, control.Action{Kind: control.Timer, After: 500000, TimerID: 77})
	r.Add(5, control.Action{Kind: control.Note, Text: "two servers unknown"[:17]})
	var out bytes.Buffer
	if err := r.Write(&out, 12); err != nil {
		t.Fatal(err)
	}
	want := unhex(t, `0c000000 03000000 3a000000 10 0300 c4913a5d82c10c00 0a124a07 931f 80380100
		14 0300 20a10700 4d00000000000000 18 0500 1100`)
	if !bytes.HasPrefix(out.Bytes(), want) || out.Len() != 12+0x3a {
		t.Errorf("reply %x", out.Bytes())
	}
}

func TestBadInputNamesBatchAndRecord(t *testing.T) {
	for name, c := range map[string]struct{ in, want string }{
		"header cut":     {"0c0000", "batch header"},
		"body cut":       {"0c000000 39000000 03000000 5a5c800000000000 12", "batch 12: body ends"},
		"count too big":  {"0c000000 03000000 09000000 5a5c800000000000 190300", "batch 12: 3 bytes cannot hold 9 records"},
		"unknown code":   {"0c000000 03000000 01000000 5a5c800000000000 770300", "batch 12, record 0: event code 119 is unknown"},
		"record cut":     {"0c000000 05000000 01000000 5a5c800000000000 1603004d00", "record 0: event code 22 is cut short"},
		"left over":      {"0c000000 04000000 01000000 5a5c800000000000 19030000", "1 bytes left over"},
		"list never set": {"0c000000 0e000000 01000000 5a5c800000000000 110300020000000000000000 0700", "list 7 was never sent"},
	} {
		_, err := NewDecoder(bytes.NewReader(unhex(t, c.in))).Next()
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %q", name, err, c.want)
		}
	}
}

func FuzzDecoder(f *testing.F) {
	f.Add(unhex(f, sample))
	f.Add(unhex(f, "0c000000 03000000 09000000 5a5c800000000000 190300"))
	f.Add(unhex(f, `01000000 38000000 02000000 0000000000000000 1a 0000 01000000 0a124a07931f00003900010000803f
		0000000000000000 14 0300 01 00`))
	f.Fuzz(func(t *testing.T, in []byte) {
		d := NewDecoder(bytes.NewReader(in))
		for range 100 {
			if _, err := d.Next(); err != nil {
				return
			}
		}
	})
}

const goodSettings = `instances=2
tick=5000
extra.slots=13
limits.max-open=313
limits.most-tries=6
classes.count=1
classes.0.effect=guarded
classes.0.gain=2.0
classes.0.target=2500000
classes.0.hard-limit=24000000
classes.0.window=10000000
host-types=a,b
extra.batch-by-kind=10,1
extra.routes-apart=false,true
report.names=x0,x1
unknown.key=7
`

func TestParseSettings(t *testing.T) {
	s, err := ParseSettings(goodSettings)
	if err != nil {
		t.Fatal(err)
	}
	if s.Slots != 13 || s.MaxOpen != 313 || s.Classes[0].Effect != control.Guarded || s.Classes[0].Worth != 2 ||
		s.Kinds[0].Batch != 10 || !s.Kinds[1].RoutesApart || s.ReportLimit != 1 {
		t.Errorf("settings %+v", s)
	}
	for from, key := range map[string]string{
		"extra.slots=13": "extra.slots", "tick=5000": "tick", "classes.0.gain=2.0": "classes.0.gain",
		"classes.0.effect=guarded": "classes.0.effect",
	} {
		name, _, _ := strings.Cut(from, "=")
		for _, to := range []string{"", name + "=none", name + "=-1"} {
			if _, err := ParseSettings(strings.Replace(goodSettings, from, to, 1)); err == nil || !strings.Contains(err.Error(), key) {
				t.Errorf("%q for %q: error %v", to, from, err)
			}
		}
	}
}

// A setting that is out of range is told by the name that it has on the wire.
func TestSettingsOutOfRangeAreNamedAsOnTheWire(t *testing.T) {
	for key, to := range map[string]string{
		"extra.slots": "0", "limits.most-tries": "0", "tick": "0", "rules.cold-from": "1.5",
	} {
		text := regexp.MustCompile(`(?m)^`+regexp.QuoteMeta(key)+"=.*$").ReplaceAllString(goodSettings, key+"="+to)
		if text == goodSettings {
			text += "\n" + key + "=" + to
		}
		if _, err := ParseSettings(text); err == nil || !strings.Contains(err.Error(), key+":") {
			t.Errorf("%s=%s: error %v", key, to, err)
		}
	}
	for field, want := range map[string]string{
		"Classes[2].Aim": "classes.2.target", "Tenants[11].Quota": "tenants.11.quota-per-s", "Kinds[1].Batch": "extra.batch-by-kind",
		"ConnIdle": "limits.conn-idle",
	} {
		if got := nameOf(field); got != want {
			t.Errorf("%s is %q, want %q", field, got, want)
		}
	}
}

func TestCloseIsHangUp(t *testing.T) {
	var r Reply
	var out bytes.Buffer
	r.Add(3, control.Action{Kind: control.Close, Endpoint: control.Endpoint(0xf211900a<<16 | 0x1fbc)})
	if err := r.Write(&out, 1); err != nil {
		t.Fatal(err)
	}
	if want := unhex(t, `01000000 01000000 09000000 16 0300 0a9011f2 bc1f`); !bytes.Equal(out.Bytes(), want) {
		t.Errorf("reply %x, want %x", out.Bytes(), want)
	}
}

// Nested settings become the lines that the parser reads: lists of objects are numbered and counted, others joined.
func TestNestedSettingsBecomeLines(t *testing.T) {
	got := Flatten(map[string]any{
		"tick": 5000, "zones": []any{"far west", "east,1"}, "none": nil, "empty": []any{},
		"limits": map[string]any{"max-open": 10, "note": "two\nlines"}, "classes": []any{map[string]any{"name": "a"}, map[string]any{"name": "b"}},
	})
	want := "classes.0.name=a\nclasses.1.name=b\nclasses.count=2\nempty.count=0\nempty=\nlimits.max-open=10\n" +
		"limits.note=two_lines\ntick=5000\nzones=far_west,east_1\n"
	if got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
