package faultlab

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"plovershore/internal/faultlab/checker"
	"plovershore/internal/faultlab/model"
	"plovershore/internal/faultlab/scenario"
	"plovershore/internal/faultlab/simrelay"
)

// settle waits until every relay has the service's list, and the simulated relays have no
// message in flight and no notice of a returned or failed message that discovery has not
// accepted. It waits no longer than the scenario allows. Of the real relays, only those
// with an operator address are asked, and only for the length of their list; settle
// checks that length at the end.
func (r *scaleRun) settle() {
	if r.ctx.Err() != nil {
		return
	}
	startedAt := time.Now()
	list, err := r.fetchList(r.ctx)
	if err != nil {
		r.failure.set(err)
		return
	}
	hash := fmt.Sprintf("%016x", simrelay.ListHash(list.Members))
	settleCtx, cancel := context.WithTimeout(r.ctx, scenario.Seconds(r.scenario.Scale.Settle))
	defer cancel()
	for {
		status := r.simStatus()
		allCompleted := status.Counts.InFlight == 0 && status.Counts.Notices >= status.Counts.Returned+status.Counts.Failed
		settled := status.Hashes[hash] == r.scenario.Scale.Relays && allCompleted
		for _, relay := range r.realRelays {
			settled = settled && (relay.operator == "" || relay.members(r.ctx) == len(list.Members))
		}
		if settled || !model.Sleep(settleCtx, pollInterval) {
			break
		}
	}
	r.results.Settle = time.Since(startedAt).Seconds()
	r.listHash = simrelay.ListHash(list.Members)
	for _, relay := range r.realRelays {
		if relay.operator == "" {
			continue
		}
		r.check.countCheck(checker.RuleList)
		if members := relay.members(r.ctx); members != len(list.Members) {
			r.check.addViolation(checker.RuleList, relay.name, fmt.Sprintf("has %d members, the service %d", members, len(list.Members)), 0, 0)
		}
	}
}

// checkResults has the simulated relays write their results, and checks and adds up
// these.
func (r *scaleRun) checkResults() error {
	if err := r.ctx.Err(); err != nil {
		return errors.Join(r.failure.get(), err)
	}
	r.isFinishing.Store(true)
	r.forEachSimProcess(func(simulated *simProcess) error { return simulated.process.Signal(simrelay.Finish) })
	resultCtx, cancel := context.WithTimeout(r.ctx, scaleResultTimeout)
	defer cancel()
	var relays []simrelay.RelayResult
	for _, simulated := range r.simProcesses {
		if !simulated.process.Wait(resultCtx) {
			return fmt.Errorf("lab: %s wrote no result in %v", simulated.process.Name, scaleResultTimeout)
		}
		result, err := simrelay.ReadResult(simulated.result)
		if err != nil {
			return err
		}
		relays = append(relays, result.Relays...)
		r.results.SimLateP99 = max(r.results.SimLateP99, result.LateP99)
	}
	for i := range relays {
		r.check.checkList(relays[i].Name, relays[i].Hash, r.listHash, relays[i].Members)
		r.check.checkChanges(&relays[i], r.members.changes)
		r.check.checkMessages(&relays[i])
	}
	r.addFigures(relays)
	return nil
}

// addFigures adds the figures of a run that has ended to its result.
func (r *scaleRun) addFigures(relays []simrelay.RelayResult) {
	for _, role := range r.roles {
		r.results.Roles = append(r.results.Roles, role.finalCost(r.scenario.Scale.Speed))
	}
	r.results.compareRoles(simRelayRole, realRelayRole)
	var control, load []scaleChange
	for _, change := range r.members.changes {
		if change.RunPhase == phaseLoad {
			load = append(load, change)
		} else {
			control = append(control, change)
		}
	}
	r.addDelays("a change, control", relays, control)
	r.addDelays("a change, load", relays, load)
	if r.scenario.Scale.ExpiryAt > 0 {
		r.addDelays(fmt.Sprintf("a zone gone (of it %.0f s to live)", r.scenario.Registry.TTL), relays, r.members.expired)
		r.addDelays("a zone back", relays, r.members.restored)
	}
	counts, completeLists := simrelay.Counts{}, 0
	for i := range relays {
		counts.Add(relays[i].Counts)
		completeLists += relays[i].CompleteLists
	}
	r.addNote("simulated relays: %d messages offered, %d rejected, %d accepted, %d delivered, %d returned, %d failed, %d calls, %d notices; %d complete lists in %d relays",
		counts.Offered, counts.Rejected, counts.Accepted, counts.Delivered, counts.Returned, counts.Failed, counts.Calls, counts.Notices, completeLists, len(relays))
	for i, clients := range r.clients {
		r.addNote("%s: %d messages offered, %d rejected, %d accepted, %d unanswered", r.realRelays[i].name, clients.offered.Load(), clients.rejected.Load(), clients.accepted.Load(), clients.unanswered.Load())
	}
	members := r.members
	if len(members.restored) > 0 {
		lastRestored := slices.MaxFunc(members.restored, func(a, b scaleChange) int { return cmp.Compare(a.AnsweredAt, b.AnsweredAt) })
		firstRestored := slices.MinFunc(members.restored, func(a, b scaleChange) int { return cmp.Compare(a.RequestedAt, b.RequestedAt) })
		r.addNote("list service: the zone's %d members were registered again in %.1f s", len(members.restored), float64(lastRestored.AnsweredAt-firstRestored.RequestedAt)/1e6)
	}
	r.addNote("list service: %d changes waited for the answer to the one before, %d batches of heartbeats took over a third of a time to live", members.changesBehind, members.heartbeatsBehind)
	r.addNote("endpoints of the real relays: %d messages", r.endpoints.delivered.Load())
}

func (r *scaleRun) addNote(format string, args ...any) {
	r.results.Notes = append(r.results.Notes, fmt.Sprintf(format, args...))
}

// addDelays adds two distributions of the time from the request of a change until
// relays had applied it: for each change and relay, and for each change until the last
// relay.
func (r *scaleRun) addDelays(name string, relays []simrelay.RelayResult, changes []scaleChange) {
	if len(changes) == 0 {
		return
	}
	var perRelay, untilAll []float64
	missingApplications, incompleteChanges := 0, 0
	slowest, appliedCount := map[uint64]float64{}, map[uint64]int{}
	requestedAtByKey := map[uint64]int64{}
	for _, change := range changes {
		requestedAtByKey[change.Key] = change.RequestedAt
	}
	for i := range relays {
		for _, applied := range relays[i].Changes {
			requestedAt, isMeasured := requestedAtByKey[applied.Key]
			if !isMeasured || applied.At < requestedAt {
				continue
			}
			seconds := float64(applied.At-requestedAt) / 1e6
			perRelay = append(perRelay, seconds)
			slowest[applied.Key] = max(slowest[applied.Key], seconds)
			appliedCount[applied.Key]++
		}
	}
	for _, change := range changes {
		missingApplications += max(0, len(relays)-appliedCount[change.Key])
		if appliedCount[change.Key] < len(relays) {
			incompleteChanges++
			continue
		}
		untilAll = append(untilAll, slowest[change.Key])
	}
	r.results.Delays = append(r.results.Delays, newScaleDelay(name+", each relay", perRelay, missingApplications), newScaleDelay(name+", the last relay", untilAll, incompleteChanges))
}
