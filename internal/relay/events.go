package relay

import (
	"plovershore/internal/backlog"
	"plovershore/internal/discovery"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// event is sent to the loop through its mailbox. handle runs on the loop's goroutine. If
// the policy has to know of the event, handle appends a policy.Event to those of the next
// step.
type event interface{ handle(r *Relay) }

// submitEvent reports that a client has submitted a message.
type submitEvent struct {
	request      *putRequest
	isLogChecked bool // the log was already asked whether the message is pending
}

// responseDoneEvent reports the end of a client's wait for its response.
type responseDoneEvent struct {
	request *putRequest
	isSent  bool // the response was written; otherwise the client left before it
}

// logRejectedEvent reports that a message could not be written to the log.
type logRejectedEvent struct{ request *putRequest }

// listEvent reports a list update from discovery.
type listEvent struct{ list *discovery.List }

// discoveryRejectedEvent reports that discovery rejected a call.
type discoveryRejectedEvent struct{}

// noticeAcceptedEvent reports that discovery accepted a completion notice.
type noticeAcceptedEvent struct{ messageID string }

// callDoneEvent reports the end of a call.
type callDoneEvent struct {
	call    *call
	results []outcome // one for each message of the call
}

// attemptNotSentEvent reports that an attempt was never sent.
type attemptNotSentEvent struct {
	message  *message
	endpoint policy.Endpoint // 0 if the endpoint is no longer known
}

// healthCheckDoneEvent reports the result of a health check.
type healthCheckDoneEvent struct {
	endpoint policy.Endpoint
	result   outcome
}

// operatorEvent passes an operator's command on.
type operatorEvent struct{ command operatorCommand }

// stopEvent requests a graceful shutdown.
type stopEvent struct{}

// logFailedEvent reports that the log failed and accepts no more records.
type logFailedEvent struct{ err error }

// handoffRejectedEvent reports that a message that the previous process accepted could not
// be written to the log, for example because the log has no space for it.
type handoffRejectedEvent struct{ message *message }

// handoffDoneEvent reports whether handing the log to the next process succeeded.
type handoffDoneEvent struct{ isTransferred bool }

// recoveredEvent holds messages that were pending at the start and are now read.
type recoveredEvent struct {
	log     *wal.Log // the log that they were read from
	records []*wal.Record
	unread  int // number of messages still to be read; -1 if checkPendingInLog read this one ahead of its turn
}

// spilledLoadedEvent holds spilled messages that were read from the log.
type spilledLoadedEvent struct {
	log     *wal.Log // the log that they were read from
	items   []backlog.Item
	records []*wal.Record // one for each item
}

// spilledWithdrawnEvent tells the policy that a message it spilled is completed.
type spilledWithdrawnEvent struct {
	message uint32
	dest    int
}

func (e submitEvent) handle(r *Relay) {
	mayBeOnlyInLog := r.recovery.isRunning || r.spilled.count() > 0
	if mayBeOnlyInLog && !e.isLogChecked && !r.ownership.isTransferred && r.messages.byID[e.request.record.ID] == nil {
		r.checkPendingInLog(e.request)
		return
	}
	r.admit(e.request)
}

func (e responseDoneEvent) handle(r *Relay) { r.handleResponseDone(e.request, e.isSent) }

func (e logRejectedEvent) handle(r *Relay) { r.rejectUnlogged(e.request) }

func (e listEvent) handle(r *Relay) {
	kind := policy.ListDelta
	if e.list.Complete {
		kind = policy.ListFull
	}
	r.updateList(e.list, kind)
}

func (discoveryRejectedEvent) handle(*Relay) {} // only awaitFirstList uses it

func (e noticeAcceptedEvent) handle(r *Relay) {
	r.wal.Submit(&wal.Record{Kind: wal.KindCompleted, ID: e.messageID}, nil)
}

func (e callDoneEvent) handle(r *Relay) { r.finishCall(e.call, e.results) }

func (e attemptNotSentEvent) handle(r *Relay) {
	if r.ownership.isTransferred { // the next process is responsible for the message
		return
	}
	ep := r.endpoints.byNumber[e.endpoint]
	r.finishAttempt(e.message, ep, e.message.attempts-1, &outcome{kind: policy.NotSent, isUnlogged: true})
}

func (e healthCheckDoneEvent) handle(r *Relay) {
	r.step.add(policy.Event{Kind: policy.EventHealthChecked, Endpoint: e.endpoint,
		Outcome: e.result.kind, Latency: e.result.latency, Load: e.result.load})
}

func (e operatorEvent) handle(r *Relay) { r.applyOperatorCommand(e.command) }

func (stopEvent) handle(r *Relay) { r.beginShutdown() }

func (e logFailedEvent) handle(r *Relay) { r.handleLogFailure(e.err) }

func (e handoffRejectedEvent) handle(r *Relay) { r.returnUnlogged(e.message) }

func (e handoffDoneEvent) handle(r *Relay) { r.finishHandoff(e.isTransferred) }

func (e recoveredEvent) handle(r *Relay) { r.handleRecovered(e) }

func (e spilledLoadedEvent) handle(r *Relay) { r.readmitLoaded(e) }

func (e spilledWithdrawnEvent) handle(r *Relay) {
	r.step.add(policy.Event{Kind: policy.EventWithdraw, Message: e.message, Spilled: true, Dest: e.dest})
}
