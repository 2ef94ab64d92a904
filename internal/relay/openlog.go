package relay

import (
	"plovershore/internal/wal"
)

// openLog opens the log and recovers from it the pending messages, what the previous
// process's policy has learned and, if that process lives, its calls.
func (r *Relay) openLog() (pending int, err error) {
	if err := r.clearFence(); err != nil {
		return 0, err
	}
	w, err := wal.Open(wal.Options{Dir: r.cfg.StateDir, Limit: int64(r.cfg.Limits.DiskMB) << 20, Durability: r.cfg.Durability, FS: r.cfg.FS, Log: r.log,
		OnFailure: func(err error) { r.mailbox.Put(logFailedEvent{err}) }})
	if err != nil {
		return 0, err
	}
	r.wal = w
	r.ownership.handoff, r.ownership.process, r.ownership.stopLog = w.Handoff, w.Process, make(chan struct{})
	r.messages.remoteCalls = map[string]*message{}
	r.clock.alignTo(w)
	r.recovery.isGapUnknown = w.ClockSetBack > 0 && w.Handoff == nil // a previous process that lives has seen all time pass
	if w.ClockSetBack > 0 {
		r.log.Warn("clock set back while no process ran", "by", w.ClockSetBack)
	}
	if w.PolicySnapshot != nil {
		r.importPolicy(w.PolicySnapshot)
	}
	pending = w.PendingUnread()
	r.countCorruptions()
	records := w.Next(recoveryBatchSize)
	unread := w.PendingUnread()
	r.recovery.isRunning = unread > 0
	r.metrics.logUnread.Store(int64(unread))
	go w.Run(r.ownership.stopLog) // closeLog waits for its end
	r.restore(records, false)
	if r.recovery.isRunning {
		r.readNextPending()
	}
	return pending, nil
}

// clearFence removes the mark of a state folder whose messages were migrated to another
// relay.
func (r *Relay) clearFence() error {
	fence, err := wal.ClearFence(r.cfg.StateDir)
	if err != nil {
		return err
	}
	if fence != nil {
		r.log.Warn("state folder was migrated, starting empty", "to", fence.To, "at", fence.At)
	}
	return nil
}

// countCorruptions publishes what the log found corrupted.
func (r *Relay) countCorruptions() {
	found := &r.wal.Recovery
	for _, c := range found.Corruptions {
		r.metrics.logDamaged.Add(1)
		r.metrics.logAffected.Add(int64(c.Affected))
	}
	r.metrics.logLost.Add(int64(len(found.LostIDs)))
}

// closeLog ends the log's goroutine, once all is written.
func (r *Relay) closeLog() {
	if r.ownership.stopLog != nil {
		close(r.ownership.stopLog)
		<-r.wal.Done()
		r.ownership.stopLog = nil
	}
}
