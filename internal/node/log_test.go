package node

import (
	"bytes"
	"strings"
	"testing"

	"curlewmux/internal/operator"
)

func TestLogFormatAndLevel(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		set  *operator.Log
		want string // without the time
	}{
		{nil, "level=INFO msg=\"a b\" message=\"x\\n\\\"y\"\n"},
		{&operator.Log{Format: "text", Level: "debug"}, "level=DEBUG msg=low\nlevel=INFO msg=\"a b\" message=\"x\\n\\\"y\"\n"},
		{&operator.Log{Format: "json", Level: "info"}, `"level":"INFO","msg":"a b","message":"x\n\"y"}` + "\n"},
		{&operator.Log{Format: "json", Level: "error"}, ""},
	} {
		var b bytes.Buffer
		log := NewLog(&b, c.set)
		log.Debug("low")
		log.Info("a b", "message", "x\n\"y") // untrusted ids can't break out of their field
		var got strings.Builder
		for line := range strings.Lines(b.String()) {
			_, rest, _ := strings.Cut(line, "level")
			if strings.HasPrefix(line, "{") {
				got.WriteByte('"')
			}
			got.WriteString("level" + rest)
		}
		if got.String() != c.want {
			t.Errorf("%+v: %q, want %q", c.set, got.String(), c.want)
		}
	}
}
