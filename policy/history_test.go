package policy

import (
	"math"
	"testing"
)

func TestCallHistoryDropsOldCounts(t *testing.T) {
	c := newCallHistory(10*second, 20)
	for i := range Time(10) {
		c.recordRequest(i * second)
		c.recordAccept(i * second)
	}
	for _, x := range []struct {
		at   Time
		want float64
	}{{9 * second, 10}, {14 * second, 5}, {60 * second, 0}} {
		if req, acc := c.totals(x.at); math.Abs(req-x.want) > 1 || req != acc {
			t.Errorf("at %d: %v requests and %v accepts, want about %v of each", x.at, req, acc, x.want)
		}
	}
}
