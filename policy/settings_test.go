package policy

import (
	"math"
	"strings"
	"testing"
)

func TestNewRejectsImpossibleSettings(t *testing.T) {
	for _, c := range []struct {
		key    string
		change func(*Settings)
	}{
		{"MaxCalls", func(s *Settings) { s.MaxCalls = 0 }},
		{"Relays", func(s *Settings) { s.Relays = 0 }},
		{"OverloadWindow", func(s *Settings) { s.OverloadWindow = -1 }},
		{"Classes[0].Idempotency", func(s *Settings) { s.Classes[0].Idempotency = 9 }},
		{"Classes[0].Deadline", func(s *Settings) { s.Classes[0].Deadline = 0 }},
		{"Classes[0].DedupWindow", func(s *Settings) { s.Classes[0].DedupWindow = -5 }},
		{"Classes", func(s *Settings) { s.Classes = nil }},
		{"SlowStartCapacity", func(s *Settings) { s.SlowStartCapacity = math.NaN() }},
		{"Kinds[0].MaxBatch", func(s *Settings) { s.Kinds[0].MaxBatch = -1 }},
	} {
		s := baseSettings()
		c.change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), c.key) {
			t.Errorf("%s: error %v, want one that names the setting", c.key, err)
		}
	}
	if _, err := New(baseSettings(), 1); err != nil {
		t.Errorf("possible settings were rejected: %v", err)
	}
}
