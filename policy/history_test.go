package policy

import (
	"math"
	"testing"
)

func TestCallHistoryDropsOldCounts(t *testing.T) {
	history := newCallHistory(10*second, 20)
	for i := range Time(10) {
		history.recordRequest(i * second)
		history.recordAccept(i * second)
	}
	for _, check := range []struct {
		at   Time
		want float64
	}{{9 * second, 10}, {14 * second, 5}, {60 * second, 0}} {
		if requests, accepts := history.totals(check.at); math.Abs(requests-check.want) > 1 || requests != accepts {
			t.Errorf("at %d: %v requests and %v accepts, want about %v of each", check.at, requests, accepts, check.want)
		}
	}
}
