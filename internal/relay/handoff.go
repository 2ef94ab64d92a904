package relay

import (
	"encoding/json"
	"fmt"
	"time"

	"plovershore/policy"
)

// policyHandoff is the state of the policy that a process hands to the next one with the log.
// The next process may run another version of the program, so the JSON names must not change.
type policyHandoff struct {
	PolicyTime  policy.Time                `json:"Now"`  // time of the export by the policy's clock
	LogTime     int64                      `json:"Wall"` // the same time by the log's clock
	EndpointIDs map[policy.Endpoint]string `json:"IDs"`  // ids of the endpoints, by their numbers in the snapshot
	Snapshot    policy.Snapshot            `json:"Memory"`
}

// exportPolicy returns a snapshot of the policy's state for another process.
func (r *Relay) exportPolicy() policyHandoff {
	now := r.clock.now()
	h := policyHandoff{PolicyTime: now, LogTime: r.clock.logTime(now), EndpointIDs: map[policy.Endpoint]string{}, Snapshot: r.policy.Snapshot()}
	for id, ep := range r.endpoints.byID {
		h.EndpointIDs[ep.number] = id
	}
	return h
}

// restrictions returns the part of the handoff that keeps calls away from destinations.
func (h policyHandoff) restrictions() policyHandoff {
	h.Snapshot = h.Snapshot.Restrictions(h.PolicyTime)
	ids := map[policy.Endpoint]string{}
	for _, route := range h.Snapshot.Routes {
		for _, ep := range route.Endpoints {
			ids[ep.Endpoint] = h.EndpointIDs[ep.Endpoint]
		}
	}
	h.EndpointIDs = ids
	return h
}

// encodePolicyHandoffs returns the policy's state as JSON in forms of decreasing size, since
// the log may have no space for all of it. The last form holds nothing.
func (r *Relay) encodePolicyHandoffs() [][]byte {
	complete := r.exportPolicy()
	var forms [][]byte
	for _, h := range []policyHandoff{complete, complete.restrictions()} {
		text, err := json.Marshal(h)
		if err != nil {
			r.log.Error("policy snapshot not handed off", "err", err)
			continue
		}
		forms = append(forms, text)
	}
	return append(forms, []byte("{}"))
}

// importPolicy restores the snapshot of the previous process into the policy.
func (r *Relay) importPolicy(data []byte) {
	var h policyHandoff
	if err := json.Unmarshal(data, &h); err != nil {
		r.log.Error("policy snapshot unreadable", "err", err)
		return
	}
	for i := range h.Snapshot.Routes {
		endpoints := h.Snapshot.Routes[i].Endpoints
		for j := range endpoints {
			number := policy.Endpoint(0) // the number of no endpoint
			if ep := r.endpoints.byID[h.EndpointIDs[endpoints[j].Endpoint]]; ep != nil {
				number = ep.number
			}
			endpoints[j].Endpoint = number
		}
	}
	r.policy.Restore(h.Snapshot, r.clock.fromLogTime(h.LogTime)-h.PolicyTime)
	r.endpoints.checkAvailabilityOfAll()
}

// transferOwnership ends this process's ownership. After it, this process begins no call
// and makes no policy decision. Messages with calls in flight stay here until the calls
// end. The next process is responsible for all others and recovers them from the log.
func (r *Relay) transferOwnership() {
	r.log.Info("handing off to the next process", "pending", r.messages.pending, "calls", r.callsInFlight)
	snapshots := r.encodePolicyHandoffs()
	r.ownership.isTransferred, r.recovery.isRunning = true, false
	r.metrics.logUnread.Store(0)
	r.transferMessages()
	for _, ep := range r.endpoints.byID {
		if ep.transport != nil {
			ep.transport.CloseIdleConnections()
		}
	}
	r.splitLimits()
	lock := r.ownership.lock
	r.wal.HandOff(snapshots, func(err error) {
		if err == nil {
			err = lock.Unlock()
		}
		if err != nil {
			r.log.Error("handoff failed", "err", err)
		}
		r.mailbox.Put(handoffDoneEvent{isTransferred: err == nil})
	})
}

// transferMessages makes the next process responsible for all messages without a call in
// flight.
func (r *Relay) transferMessages() {
	r.transferSpilled()
	for _, m := range r.messages.byNumber {
		if e := m.pendingCompletion; e != nil { // its client's response is being written now
			m.pendingCompletion = nil
			r.logCompletion(m, e.Notice, e.RetryMS)
		}
		m.pendingBatch = nil
		if m.call == nil && !m.isCompleted {
			r.transferMessage(m)
		}
	}
}

// finishHandoff handles the end of a handoff. If it failed, this process reclaims the
// ownership.
func (r *Relay) finishHandoff(isTransferred bool) {
	r.ownership.isUnlocked = isTransferred
	if isTransferred {
		return
	}
	r.ownership.nextCheck = time.Now().Add(handoffRetryDelay)
	r.ownership.fatalErr = r.reclaim()
}

// acceptForSuccessor accepts a message for the process that owns the relay now. That
// process reads the message from the handoff log.
func (r *Relay) acceptForSuccessor(q *putRequest) {
	m := &message{record: q.record, class: q.class, isLogged: true, isTransferred: true}
	r.messages.byID[q.record.ID], r.messages.unanswered[q] = m, m
	r.logAccepted(q)
}

// reclaim takes the ownership back in the same way as a start does. The next process may
// have done anything in the meantime, so this process's calls are abandoned and the
// pending messages are recovered from the log.
func (r *Relay) reclaim() error {
	r.adoptSharedDrain() // the next process may have been given the last command
	exported := r.exportPolicy()
	r.closeLog() // this closes the handoff log too; openLog merges it into the log
	r.abandonCalls()
	newPolicy, err := policy.New(r.cfg.Policy, r.cfg.Seed+1)
	if err != nil {
		return fmt.Errorf("config: settings: %w", err)
	}
	r.policy = newPolicy
	r.forgetAllMessages()
	r.ownership.isTransferred, r.ownership.isUnlocked = false, false
	r.step.events, r.timers = []policy.Event{r.completeListEvent()}, nil
	r.stepPolicy()
	r.policy.Restore(exported.Snapshot, 0)
	r.endpoints.checkAvailabilityOfAll()
	var pending int
	retry := transientRetry{log: r.log, operation: "open_log", timeout: reopenTimeout, isTransient: isTransientDiskError}
	if _, err := retry.run(func() (err error) {
		pending, err = r.openLog()
		return err
	}); err != nil {
		return fmt.Errorf("ownership not reclaimed: %w", err)
	}
	r.splitLimits()
	r.log.Info("ownership reclaimed", "pending", pending)
	r.stepPolicy()
	return nil
}

// abandonCalls cancels all calls; their results are ignored.
func (r *Relay) abandonCalls() {
	for _, ep := range r.endpoints.byID {
		for c := range ep.calls {
			c.isAbandoned = true
			c.cancel(errCancelled)
		}
	}
}

// forgetAllMessages drops all messages from memory before the log is read again. Their
// numbers are not reused.
func (r *Relay) forgetAllMessages() {
	lastNumber := r.messages.lastNumber
	r.messages = newMessageTable()
	r.messages.lastNumber = lastNumber
	r.spilled = spillState{}
	r.metrics.spilled.Store(0)
	r.overdue, r.pendingNotices = overdueCounter{}, nil
}

// completeListEvent returns a complete list update with the last known entries of all
// listed endpoints.
func (r *Relay) completeListEvent() policy.Event {
	e := policy.Event{Kind: policy.EventListUpdate, ListUpdate: policy.ListFull}
	for _, ep := range r.endpoints.byID {
		if ep.isListed {
			e.Entries = append(e.Entries, ep.policyEntry)
		}
	}
	return e
}
