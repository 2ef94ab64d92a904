package registry

import (
	"log/slog"
	"time"
)

// massExpiryGuard suspends expirations where too many registrations fall silent within
// one time to live: that looks like a fault of the network, not of the members. It is
// not safe for concurrent use.
type massExpiryGuard struct {
	cfg *ExpiryGuard
	log *slog.Logger

	recent         []time.Time // times of the expirations within the longest time to live
	suspendedSince time.Time   // zero for not suspended
	suspended      int         // expirations that are suspended
	confirmed      bool        // an operator lets them take place
}

// silenceCount counts registrations with a time to live.
type silenceCount struct {
	expiring   int // all that have one
	silent     int // without a heartbeat for silentFraction of it, or longer
	due        int // without a heartbeat for all of it
	longestTTL time.Duration
}

func (g *massExpiryGuard) reset() {
	g.recent = nil
	g.clearSuspension()
}

func (g *massExpiryGuard) clearSuspension() {
	g.suspendedSince, g.suspended, g.confirmed = time.Time{}, 0, false
}

func (g *massExpiryGuard) recordExpiry(now time.Time) { g.recent = append(g.recent, now) }

// admits reports whether the due registrations may expire now.
func (g *massExpiryGuard) admits(count silenceCount, now time.Time) bool {
	for len(g.recent) > 0 && now.Sub(g.recent[0]) > count.longestTTL {
		g.recent = g.recent[1:]
	}
	lost, all := count.silent+len(g.recent), count.expiring+len(g.recent)
	if lost <= max(g.cfg.Minimum, int(g.cfg.Fraction*float64(all))) {
		if g.suspended > 0 {
			g.log.Info("expirations resumed")
		}
		g.clearSuspension()
		return true
	}
	suspendFor := time.Duration(g.cfg.SuspendFor)
	if g.suspendedSince.IsZero() {
		g.suspendedSince = now
		g.log.Error("expirations suspended", "silent", count.silent, "of", count.expiring, "until", now.Add(suspendFor))
	}
	g.suspended = count.due
	return g.confirmed || now.Sub(g.suspendedSince) >= suspendFor
}
