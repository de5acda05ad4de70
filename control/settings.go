package control

import (
	"fmt"
	"math"
)

// SettingError reports a setting that is out of range.
type SettingError struct {
	Field string // path within Settings, such as Slots or Classes[1].Aim
	Value float64
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s: %g is out of range", e.Field, e.Value)
}

// Check returns a *SettingError for the first setting out of range.
func (s *Settings) Check() error {
	type lowerBound struct {
		name    string
		value   float64
		minimum float64
	}
	lowerBounds := []lowerBound{
		{"Slots", float64(s.Slots), 1}, {"MaxOpen", float64(s.MaxOpen), 1}, {"MaxTries", float64(s.MaxTries), 1},
		{"Instances", float64(s.Instances), 1}, {"Tick", float64(s.Tick), 1}, {"Classes", float64(len(s.Classes)), 1},
		{"Me", float64(s.Me), 0}, {"Zone", float64(s.Zone), 0}, {"OverShare", s.OverShare, 0},
		{"MaxRetryAfter", float64(s.MaxRetryAfter), 0}, {"ConnIdle", float64(s.ConnIdle), 0},
		{"ConnectTimeout", float64(s.ConnectTimeout), 0}, {"StreamsPerConn", float64(s.StreamsPerConn), 0},
		{"StopSendingWithin", float64(s.StopSendingWithin), 0}, {"ColdFrom", s.ColdFrom, 0},
		{"WarmUp", float64(s.WarmUp), 0}, {"TipMultiple", s.TipMultiple, 0},
		{"OverloadFor", float64(s.OverloadFor), 0}, {"SettleAfterDoubt", float64(s.SettleAfterDoubt), 0},
		{"RiskAfter", float64(s.RiskAfter), 0},
	}
	for i, class := range s.Classes {
		prefix := fmt.Sprintf("Classes[%d].", i)
		lowerBounds = append(lowerBounds,
			lowerBound{prefix + "Window", float64(class.Window), 0}, lowerBound{prefix + "Aim", float64(class.Aim), 0},
			lowerBound{prefix + "Deadline", float64(class.Deadline), 0}, lowerBound{prefix + "Worth", class.Worth, 0},
			lowerBound{prefix + "LateWorth", class.LateWorth, 0})
	}
	for i, tenant := range s.Tenants {
		lowerBounds = append(lowerBounds, lowerBound{fmt.Sprintf("Tenants[%d].Quota", i), tenant.Quota, 0})
	}
	for i, kind := range s.Kinds {
		lowerBounds = append(lowerBounds, lowerBound{fmt.Sprintf("Kinds[%d].Batch", i), float64(kind.Batch), 1})
	}
	for _, bound := range lowerBounds {
		if !(bound.value >= bound.minimum) || math.IsInf(bound.value, 0) {
			return &SettingError{bound.name, bound.value}
		}
	}
	if s.ColdFrom > 1 {
		return &SettingError{"ColdFrom", s.ColdFrom}
	}
	return nil
}
