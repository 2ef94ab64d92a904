package registry

import (
	"time"

	"github.com/hashicorp/raft"
)

// runLeaderTasks does what the leader alone does, for as long as this node leads,
// until the node is closed.
func (n *Node) runLeaderTasks() {
	var lastMemberCheck time.Time
	for {
		select {
		case <-n.ctx.Done():
			return
		case leads := <-n.raft.LeaderCh():
			n.heartbeats.reset()
			if !leads {
				n.log.Info("leadership lost")
				continue
			}
			n.log.Info("leadership gained", "term", n.raft.CurrentTerm())
			n.initializeGroup()
		case <-time.After(sessionCheckInterval):
			if n.raft.State() != raft.Leader {
				continue
			}
			n.heartbeats.expireSessions()
			if now := n.cfg.Clock.Mono(); now.Sub(lastMemberCheck) >= memberCheckInterval {
				lastMemberCheck = now
				n.expireMembers(now)
			}
		}
	}
}

// expireMembers expires registrations, unless the configuration leaves that to the
// holder of a role.
func (n *Node) expireMembers(now time.Time) {
	if n.cfg.ExpiryGuard.ExpiredBy == expiredByRole {
		return
	}
	if _, _, err := n.heartbeats.expireMembers(now, fence{}); err != nil {
		n.log.Warn("registration expiry failed", "err", err)
	}
}

// initializeGroup gives a new group its zones, its epoch and its static members.
func (n *Node) initializeGroup() {
	// Until the earlier log is applied here, nothing is known of any of them.
	if err := n.awaitFuture(n.raft.Barrier(applyTimeout)); err != nil {
		return // leadership is lost again: the next leader does it
	}
	members, epoch, _ := n.store.members()
	if epoch == "" && !(n.initializeZones() && n.initializeEpoch()) {
		return
	}
	n.addStaticMembers(members)
}

// initializeZones sets the regions of the configured zones. Later on operators change
// them.
func (n *Node) initializeZones() bool {
	for _, zone := range n.cfg.Zones {
		if _, err := n.apply(Command{Request: NewID(), Op: OpZone, Zone: zone.Name, Region: zone.Region}); err != nil {
			n.log.Warn("zone region not set", "zone", zone.Name, "err", err)
			return false
		}
	}
	return true
}

// initializeEpoch begins the first epoch. It comes after the zones: a group with an
// epoch has them.
func (n *Node) initializeEpoch() bool {
	if _, err := n.apply(Command{Request: NewID(), Op: OpEpoch, Epoch: NewID()}); err != nil {
		n.log.Warn("epoch not set", "err", err)
		return false
	}
	return true
}

// addStaticMembers adds the configured members that the list lacks. One that it has
// stays as it is: it may have been drained.
func (n *Node) addStaticMembers(listed []Member) {
	isStatic := map[string]bool{}
	for _, m := range listed {
		isStatic[m.ID] = m.Static
	}
	for _, configured := range n.cfg.Members {
		if isStatic[configured.ID] {
			continue
		}
		m := Member{Member: configured.member(), Static: true}
		if _, err := n.apply(Command{Request: NewID(), Op: OpAdd, Member: m}); err != nil {
			n.log.Warn("static member not added", "member", configured.ID, "err", err)
			return
		}
	}
}
