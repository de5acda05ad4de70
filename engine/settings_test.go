package engine

import (
	"strings"
	"testing"
)

func TestNewNamesTheSettingAtFault(t *testing.T) {
	t.Parallel()
	for name, spoil := range map[string]func(*Settings){
		"MaxBytes":     func(s *Settings) { s.MaxBytes = -1 },
		"MaxIDs":       func(s *Settings) { s.MaxIDs = -1 },
		"MaxEndpoints": func(s *Settings) { s.MaxEndpoints = -1 },
		"CallBytes":    func(s *Settings) { s.CallBytes = -1 },
		"Remember":     func(s *Settings) { s.Remember = -1 },
		"Patience":     func(s *Settings) { s.StoreTimeout = -1 },
		"Slots":        func(s *Settings) { s.Control.Slots = 0 },
	} {
		s := testSettings()
		spoil(&s)
		if _, err := New(s); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s out of range: %v", name, err)
		}
	}
	e, err := New(testSettings())
	if err != nil {
		t.Fatal(err)
	}
	if s := e.set; s.MaxBytes <= 0 || s.MaxIDs <= 0 || s.MaxEndpoints <= 0 || s.CallBytes <= 0 || s.Remember <= 0 || s.StoreTimeout <= 0 {
		t.Errorf("a bound without a setting is none: %+v", s)
	}
}
