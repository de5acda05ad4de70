package engine

import "testing"

func TestAPrintTellsMessagesApart(t *testing.T) {
	t.Parallel()
	base := Message{ID: "m", Class: "c", Tenant: "t", Destination: 1, Key: "k", Body: []byte("body")}
	if got, want := base.Fingerprint(), uint64(0x7e25c060d5fc2d2d); got != want {
		t.Errorf("print %#x, want %#x: stores keep prints, they must stay the same", got, want)
	}
	seen := map[uint64]string{base.Fingerprint(): "base"}
	for name, change := range map[string]func(*Message){
		"class":               func(m *Message) { m.Class = "d" },
		"tenant":              func(m *Message) { m.Tenant = "u" },
		"destination":         func(m *Message) { m.Destination = 2 },
		"key":                 func(m *Message) { m.Key = "l" },
		"body":                func(m *Message) { m.Body = []byte("bodz") },
		"no body":             func(m *Message) { m.Body = nil },
		"border of two":       func(m *Message) { m.Class, m.Tenant = "ct", "" },
		"border of key":       func(m *Message) { m.Tenant, m.Key = "", "tk" },
		"key and body swap":   func(m *Message) { m.Key, m.Body = "body", []byte("k") },
		"class and key swap":  func(m *Message) { m.Class, m.Key = "k", "c" },
		"a longer body of 0s": func(m *Message) { m.Body = make([]byte, 9) },
		"a body of 0s":        func(m *Message) { m.Body = make([]byte, 8) },
	} {
		m := base
		change(&m)
		if other, ok := seen[m.Fingerprint()]; ok {
			t.Errorf("%s has the print of %s", name, other)
		}
		seen[m.Fingerprint()] = name
		if sameMessage(m.Fingerprint(), base.Fingerprint()) {
			t.Errorf("%s counts as the same message", name)
		}
	}
	other := base
	other.ID = "n"
	if other.Fingerprint() != base.Fingerprint() {
		t.Error("the id is in the print")
	}
	bodyless := base.Fingerprint() &^ bodyPrint
	if !sameMessage(bodyless, base.Fingerprint()) || !sameMessage(base.Fingerprint(), bodyless) || !sameMessage(bodyless, bodyless) {
		t.Error("a print without its body is another message's")
	}
	other.Key = "l"
	if sameMessage(bodyless, other.Fingerprint()) {
		t.Error("a print without its body is any message's")
	}
}
