package registry

import (
	"time"

	"github.com/hashicorp/raft"
)

// runLeaderTasks runs the tasks of a leader whenever this node is the leader, until the
// node is closed.
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
			if now := n.cfg.Clock.Monotonic(); now.Sub(lastMemberCheck) >= memberCheckInterval {
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

// initializeGroup gives a new group its zones and its epoch, and any group the static
// members that it lacks.
func (n *Node) initializeGroup() {
	// This node can't know which of them exist until it has applied the earlier log.
	if err := n.awaitFuture(n.raft.Barrier(applyTimeout)); err != nil {
		return // leadership was lost again; the next leader initializes the group
	}
	members, epoch, _ := n.store.members()
	if epoch == "" && !(n.initializeZones() && n.initializeEpoch()) {
		return
	}
	n.addStaticMembers(members)
}

// initializeZones sets the regions of the configured zones. Later changes are made by
// operators.
func (n *Node) initializeZones() bool {
	for _, zone := range n.cfg.Zones {
		if _, err := n.apply(Command{Request: NewID(), Op: OpZone, Zone: zone.Name, Region: zone.Region}); err != nil {
			n.log.Warn("zone region not set", "zone", zone.Name, "err", err)
			return false
		}
	}
	return true
}

// initializeEpoch begins the first epoch. It runs after initializeZones, so that the
// zones of a group that has an epoch were set.
func (n *Node) initializeEpoch() bool {
	if _, err := n.apply(Command{Request: NewID(), Op: OpEpoch, Epoch: NewID()}); err != nil {
		n.log.Warn("epoch not set", "err", err)
		return false
	}
	return true
}

// addStaticMembers adds the configured members that the list doesn't have as static
// members. It leaves those that it has unchanged, since operators may have drained them.
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
