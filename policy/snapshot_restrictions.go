package policy

import "slices"

// Restrictions returns the part of the snapshot that a later policy needs to keep calls away
// from destinations: the routes that have to wait at the time now, or of which an endpoint is or
// was ejected. The later policy learns the rest again.
func (s Snapshot) Restrictions(now Time) Snapshot {
	restricted := s
	restricted.Routes = nil
	for _, route := range s.Routes {
		if route.isRestricted(now) {
			route.History = nil
			restricted.Routes = append(restricted.Routes, route)
		}
	}
	return restricted
}

func (s *RouteSnapshot) isRestricted(now Time) bool {
	isWaiting := s.RetryAfterUntil > now || s.BackoffUntil > now
	return isWaiting || slices.ContainsFunc(s.Endpoints, func(endpoint EndpointSnapshot) bool {
		return endpoint.isRestricted(now)
	})
}

func (s *EndpointSnapshot) isRestricted(now Time) bool {
	wasEjected := s.IsEjected || s.IsUnresponsive || s.RecoveredAt != 0
	return wasEjected || s.BackoffUntil > now
}
