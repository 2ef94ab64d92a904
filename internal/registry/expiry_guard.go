package registry

import (
	"log/slog"
	"time"
)

// massExpiryGuard suspends expirations when too many registrations stop sending
// heartbeats within one time to live, since the likely cause is a network fault and not
// a failure of the members. It is not safe for concurrent use.
type massExpiryGuard struct {
	cfg *ExpiryGuard
	log *slog.Logger

	recentExpiries []time.Time // times of the expirations that are not older than the longest time to live
	suspendedSince time.Time   // zero while expirations aren't suspended
	suspended      int         // number of expirations that are suspended
	confirmed      bool        // an operator has allowed the suspended expirations
}

// silenceCount counts the registrations that have a time to live.
type silenceCount struct {
	expiring   int // all registrations with a time to live
	silent     int // those without a heartbeat for longer than silentFraction of their time to live
	due        int // those without a heartbeat for longer than their time to live
	longestTTL time.Duration
}

func (g *massExpiryGuard) reset() {
	g.recentExpiries = nil
	g.clearSuspension()
}

func (g *massExpiryGuard) clearSuspension() {
	g.suspendedSince, g.suspended, g.confirmed = time.Time{}, 0, false
}

func (g *massExpiryGuard) recordExpiry(now time.Time) {
	g.recentExpiries = append(g.recentExpiries, now)
}

// allowsExpiry reports whether the due registrations may expire now.
func (g *massExpiryGuard) allowsExpiry(count silenceCount, now time.Time) bool {
	for len(g.recentExpiries) > 0 && now.Sub(g.recentExpiries[0]) > count.longestTTL {
		g.recentExpiries = g.recentExpiries[1:]
	}
	silentOrExpired, total := count.silent+len(g.recentExpiries), count.expiring+len(g.recentExpiries)
	if silentOrExpired <= max(g.cfg.Minimum, int(g.cfg.Fraction*float64(total))) {
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
