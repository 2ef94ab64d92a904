package policy

import "testing"

// Guards against calls that a Retry-After or an ejection forbids, after a handoff with little space:
// the restricted snapshot keeps the routes that have one and no other.
func TestRestrictionsKeepRoutesThatLimitCalls(t *testing.T) {
	const now = 100
	idle := EndpointSnapshot{Endpoint: 1, LastSuccessAt: 90, LastFailureAt: 80, BackoffUntil: now}
	for name, test := range map[string]struct {
		route RouteSnapshot
		want  bool
	}{
		"Retry-After":         {RouteSnapshot{RetryAfterUntil: now + 1}, true},
		"past Retry-After":    {RouteSnapshot{RetryAfterUntil: now}, false},
		"backoff":             {RouteSnapshot{BackoffUntil: now + 1}, true},
		"idle endpoint":       {RouteSnapshot{Endpoints: []EndpointSnapshot{idle}}, false},
		"ejected endpoint":    {RouteSnapshot{Endpoints: []EndpointSnapshot{idle, {IsEjected: true}}}, true},
		"silent endpoint":     {RouteSnapshot{Endpoints: []EndpointSnapshot{{IsUnresponsive: true}}}, true},
		"recovering endpoint": {RouteSnapshot{Endpoints: []EndpointSnapshot{{RecoveredAt: 1}}}, true},
		"endpoint's backoff":  {RouteSnapshot{Endpoints: []EndpointSnapshot{{BackoffUntil: now + 1}}}, true},
	} {
		test.route.History = []BinSnapshot{{At: 1}}
		got := Snapshot{Routes: []RouteSnapshot{test.route}}.Restrictions(now).Routes
		if (len(got) == 1) != test.want || test.want && got[0].History != nil {
			t.Errorf("%s: got %+v", name, got)
		}
	}
}
