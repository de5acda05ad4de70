package redeliver

import (
	"encoding/json"
	"testing"

	"curlewmux/resend"
)

// Only an explicit answer counts. Anything else is no answer; above all it must not be read as "no".
func FuzzAnswer(f *testing.F) {
	for _, s := range []string{`{"effect":"yes"}`, `{"effect":"no"}`, `{"effect":"unknown","why":"gone"}`, `{"effect":"NO"}`, `{}`, `null`, `"no"`, `{"effect":null}`, `{"effect":"no"`} {
		f.Add(200, []byte(s))
		f.Add(404, []byte(s))
	}
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		a, why := readAnswer(status, body)
		if len(why) > 300 {
			t.Errorf("the reason has %d bytes", len(why))
		}
		var v struct{ Effect *string }
		answered := json.Unmarshal(body, &v) == nil && v.Effect != nil && status == 200
		want := resend.Unanswered
		if answered {
			want = map[string]resend.Answer{"yes": resend.Yes, "no": resend.No, "unknown": resend.Unknown}[*v.Effect]
		}
		if a != want {
			t.Errorf("status %d, %q: %v, want %v", status, body, a, want)
		}
	})
}
