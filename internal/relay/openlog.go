package relay

import (
	"plovershore/internal/wal"
)

// openLog opens the log and recovers the pending messages, the policy snapshot of the
// previous process and, if that process still runs, its calls in flight.
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
	r.clock.alignToLog(w)
	r.recovery.isDowntimeUnknown = w.ClockSetBack > 0 && w.Handoff == nil // while the previous process runs, there is no gap
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
	go w.Run(r.ownership.stopLog) // closeLog waits until Run returns
	r.restoreMessages(records, false)
	if r.recovery.isRunning {
		r.readNextPending()
	}
	return pending, nil
}

// clearFence removes the file that marks a state folder whose messages were migrated to
// another relay.
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

// countCorruptions counts the corruptions that the log found when it was opened.
func (r *Relay) countCorruptions() {
	recovery := &r.wal.Recovery
	for _, c := range recovery.Corruptions {
		r.metrics.logDamaged.Add(1)
		r.metrics.logAffected.Add(int64(c.Affected))
	}
	r.metrics.logLost.Add(int64(len(recovery.LostIDs)))
}

// closeLog ends the log's goroutine and waits until all records are written.
func (r *Relay) closeLog() {
	if r.ownership.stopLog != nil {
		close(r.ownership.stopLog)
		<-r.wal.Done()
		r.ownership.stopLog = nil
	}
}
