package relay

import (
	"plovershore/internal/backlog"
	"plovershore/internal/discovery"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// event is something that the loop is told through its mailbox. handle runs on the
// loop's goroutine; what the policy has to know of the event is appended to the
// events of its next step.
type event interface{ handle(r *Relay) }

// submitEvent is a message that a client submits.
type submitEvent struct {
	request      *putRequest
	isLogChecked bool // the log was asked whether it is pending already
}

// acknowledgedEvent is the end of a client's wait for its answer.
type acknowledgedEvent struct {
	request *putRequest
	isSent  bool // the answer was written; else the client left before it
}

// logRejectedEvent is a message that the log could not take.
type logRejectedEvent struct{ request *putRequest }

// listEvent is a list update of discovery.
type listEvent struct{ list *discovery.List }

// discoveryRejectedEvent is a call that discovery rejected.
type discoveryRejectedEvent struct{}

// noticeAcceptedEvent is a completion notice that discovery accepted.
type noticeAcceptedEvent struct{ messageID string }

// callDoneEvent is the end of a call.
type callDoneEvent struct {
	call    *call
	results []outcome // one for each of its parts
}

// attemptNotSentEvent is an attempt that never left this process.
type attemptNotSentEvent struct {
	message  *message
	endpoint policy.Endpoint // 0 where it is no longer known
}

// healthCheckDoneEvent is the result of a health check.
type healthCheckDoneEvent struct {
	endpoint policy.Endpoint
	result   outcome
}

// operatorEvent is a command of the operators: policy.EventDrain or policy.EventActivate.
type operatorEvent struct{ command policy.EventKind }

// stopEvent asks for a graceful shutdown.
type stopEvent struct{}

// logFailedEvent says that the log can take nothing more.
type logFailedEvent struct{ err error }

// handoffRejectedEvent is a message that the previous process accepted but that the
// log has no room for.
type handoffRejectedEvent struct{ message *message }

// handoffDoneEvent is the end of handing the log to the next process.
type handoffDoneEvent struct{ isTransferred bool }

// recoveredEvent holds messages that were pending at the start.
type recoveredEvent struct {
	log     *wal.Log // that they were read from
	records []*wal.Record
	unread  int // how many are still to be read; -1 for one that was read out of turn
}

// spilledLoadedEvent holds spilled messages that were read from the log.
type spilledLoadedEvent struct {
	log     *wal.Log // that they were read from
	items   []backlog.Item
	records []*wal.Record // one for each item
}

// spilledWithdrawnEvent tells the policy that a message it spilled is completed.
type spilledWithdrawnEvent struct {
	message uint32
	dest    int
}

func (e submitEvent) handle(r *Relay) {
	isUnread := r.recovery.isRunning || r.spilled.count() > 0
	if isUnread && !e.isLogChecked && !r.ownership.isTransferred && r.messages.byID[e.request.record.ID] == nil {
		r.checkLogFor(e.request)
		return
	}
	r.admit(e.request)
}

func (e acknowledgedEvent) handle(r *Relay) { r.acknowledge(e.request, e.isSent) }

func (e logRejectedEvent) handle(r *Relay) { r.rejectUnlogged(e.request) }

func (e listEvent) handle(r *Relay) {
	kind := policy.ListDelta
	if e.list.Complete {
		kind = policy.ListFull
	}
	r.updateList(e.list, kind)
}

func (discoveryRejectedEvent) handle(*Relay) {} // matters before the first list alone

func (e noticeAcceptedEvent) handle(r *Relay) {
	r.wal.Submit(&wal.Record{Kind: wal.KindCompleted, ID: e.messageID}, nil)
}

func (e callDoneEvent) handle(r *Relay) { r.finishCall(e.call, e.results) }

func (e attemptNotSentEvent) handle(r *Relay) {
	if r.ownership.isTransferred { // the message is the next process's
		return
	}
	ep := r.endpoints.byNumber[e.endpoint]
	r.finishAttempt(e.message, ep, e.message.attempts-1, &outcome{kind: policy.NotSent, isUnlogged: true})
}

func (e healthCheckDoneEvent) handle(r *Relay) {
	r.step.add(policy.Event{Kind: policy.EventHealthChecked, Endpoint: e.endpoint,
		Outcome: e.result.kind, Latency: e.result.latency, Load: e.result.load})
}

func (e operatorEvent) handle(r *Relay) {
	if r.shutdown.isRunning() { // it is not taken into service again
		return
	}
	r.log.Info("operator command", "drain", e.command == policy.EventDrain)
	r.step.add(policy.Event{Kind: e.command})
}

func (stopEvent) handle(r *Relay) { r.beginShutdown() }

func (e logFailedEvent) handle(r *Relay) { r.handleLogFailure(e.err) }

func (e handoffRejectedEvent) handle(r *Relay) { r.returnUnlogged(e.message) }

func (e handoffDoneEvent) handle(r *Relay) { r.finishHandoff(e.isTransferred) }

func (e recoveredEvent) handle(r *Relay) { r.restoreRead(e) }

func (e spilledLoadedEvent) handle(r *Relay) { r.readmitLoaded(e) }

func (e spilledWithdrawnEvent) handle(r *Relay) {
	r.step.add(policy.Event{Kind: policy.EventWithdraw, Message: e.message, Spilled: true, Dest: e.dest})
}
