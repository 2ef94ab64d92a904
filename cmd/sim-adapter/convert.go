package main

import (
	"math"

	"plovershore/internal/wire"
	"plovershore/policy"
)

// Names of a load report's values in the settings text.
const (
	reportRemaining = "x0" // fraction of the limit that is left
	reportLimit     = "x1" // calls a second
)

// Values in the fields of events.
const (
	flagEstimate       = 1    // bit in Flags of an EvCall: Estimate is set
	noteCallsExhausted = 1    // Note of an EvResolved with StatusMoot: all call slots were taken
	microsPerMilli     = 1000 // converts the Note of an EvResolved with StatusFull, which is in milliseconds
)

var outcomes = map[wire.Status]policy.Outcome{
	wire.StatusOK:     policy.Delivered,
	wire.StatusError:  policy.Errored,
	wire.StatusFull:   policy.Rejected,
	wire.StatusLate:   policy.TimedOut,
	wire.StatusNoConn: policy.ConnectFailed,
	wire.StatusReset:  policy.ConnectionReset,
	wire.StatusCancel: policy.Cancelled,
	wire.StatusMoot:   policy.NotSent,
}

var listUpdates = map[wire.SyncKind]policy.ListUpdateKind{
	wire.SyncDelta:  policy.ListDelta,
	wire.SyncFull:   policy.ListFull,
	wire.SyncCached: policy.ListCached,
	wire.SyncFailed: policy.ListFailed,
}

var actionCodes = map[policy.ActionKind]wire.ActionCode{
	policy.ActionSend:        wire.ActDeliver,
	policy.ActionReject:      wire.ActReject,
	policy.ActionFail:        wire.ActLose,
	policy.ActionCancel:      wire.ActCancel,
	policy.ActionTimer:       wire.ActRemind,
	policy.ActionHealthCheck: wire.ActHealthCheck,
	policy.ActionCloseIdle:   wire.ActClose,
	policy.ActionWatchList:   wire.ActListen,
	policy.ActionFetchList:   wire.ActRead,
	policy.ActionLog:         wire.ActLog,
}

// toPolicyEvent converts an event for the policy of an instance. It returns false for a kind of event that
// policies don't take.
func (h *host) toPolicyEvent(target *instance, event *wire.Event) (policy.Event, bool) {
	converted := policy.Event{
		Message:  event.Ticket,
		Endpoint: policy.Endpoint(event.Endpoint),
		Attempt:  int(event.Attempt),
		Latency:  policy.Time(event.Took),
		Outcome:  outcomes[event.Status],
	}
	if event.ReportFields > 0 {
		converted.Load = target.toLoadReport(event)
	}
	switch event.Code {
	case wire.EvSync:
		h.convertSync(&converted, event)
	case wire.EvCall:
		convertCall(&converted, event)
	case wire.EvBegun:
		converted.Kind = policy.EventResponseStarted
	case wire.EvResolved:
		convertResolved(&converted, event)
	case wire.EvExpired:
		converted.Kind = policy.EventWithdraw
	case wire.EvAlarm:
		converted.Kind, converted.Token = policy.EventTimer, event.Token
	case wire.EvHealth:
		converted.Kind = policy.EventHealthChecked
	default:
		return converted, false
	}
	return converted, true
}

func (h *host) convertSync(converted *policy.Event, event *wire.Event) {
	converted.Kind, converted.ListUpdate = policy.EventListUpdate, listUpdates[event.Kind]
	if converted.ListUpdate != policy.ListFailed {
		converted.Entries = h.lists[event.Sheet]
	}
}

func convertCall(converted *policy.Event, event *wire.Event) {
	converted.Kind = policy.EventMessage
	converted.Key = event.Subject
	converted.TimeLeft = policy.Time(event.Grace)
	converted.Class = int(event.Class)
	converted.Dest = int(event.Dest)
	converted.Tenant = int(event.Tenant)
	if event.Flags&flagEstimate != 0 {
		converted.EstimatedCost = policy.Time(event.Estimate)
	}
}

func convertResolved(converted *policy.Event, event *wire.Event) {
	converted.Kind, converted.Final = policy.EventAttemptDone, event.Settled
	switch converted.Outcome {
	case policy.Rejected:
		converted.RetryAfter = policy.Time(event.Note) * microsPerMilli
	case policy.NotSent:
		converted.CallsExhausted = event.Note == noteCallsExhausted
	}
}

func (target *instance) toLoadReport(event *wire.Event) policy.LoadReport {
	return policy.LoadReport{
		Remaining: reportValue(event, target.remainingIndex),
		Limit:     reportValue(event, target.limitIndex),
		Present:   true,
	}
}

// reportValue returns the value at an index of a load report; 0 if the report has no such value.
func reportValue(event *wire.Event, index int) float64 {
	if index < 0 || index >= event.ReportFields {
		return 0
	}
	return float64(event.Report[index])
}

func toPolicyEntries(entries []wire.Entry) []policy.Entry {
	converted := make([]policy.Entry, len(entries))
	for i, entry := range entries {
		converted[i] = policy.Entry{
			Endpoint: policy.Endpoint(entry.Endpoint),
			Zone:     int(entry.Zone),
			Kind:     int(entry.Kind),
			Dest:     int(entry.Dest),
			State:    policy.Readiness(entry.State),
			Rate:     float64(entry.Nominal),
		}
	}
	return converted
}

// toWireAction converts an action of an instance. A kind that the protocol doesn't have gets the code 0, for
// which the encoder returns an error.
func toWireAction(id uint16, action *policy.Action) wire.Action {
	return wire.Action{
		Code:     actionCodes[action.Kind],
		Relay:    id,
		Attempt:  uint8(action.Attempt),
		On:       action.Kind == policy.ActionWatchList,
		Ticket:   action.Message,
		After:    uint32(min(max(action.Delay, 0), math.MaxUint32)),
		Endpoint: uint64(action.Endpoint),
		At:       uint64(action.Deadline),
		Token:    action.Token,
		Text:     action.Text,
	}
}
