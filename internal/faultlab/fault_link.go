package faultlab

import (
	"context"

	"plovershore/internal/faultlab/link"
	"plovershore/internal/faultlab/scenario"
)

// injectLinkFault cuts, delays, throttles or resets links between relays and endpoints,
// or leaves their connections half open.
func (r *run) injectLinkFault(ctx context.Context, step Step) {
	links := r.targetLinks(step)
	switch step.Fault.Kind {
	case scenario.FaultReset:
		for _, l := range links {
			l.ResetConns(1)
		}
		return
	case scenario.FaultHalfOpen:
		for _, l := range links {
			l.HalfOpen()
		}
		return
	}
	for _, l := range links {
		faults := linkFaults(r.linkFaults[l], &step.Fault)
		if step.Fault.Direction != scenario.DirectionBack {
			l.SetFaults(link.ToServer, faults)
		}
		if step.Fault.Direction != scenario.DirectionForth {
			l.SetFaults(link.ToClient, faults)
		}
	}
	r.waitUntilUndone(ctx, step)
	for _, l := range links {
		l.SetBoth(r.linkFaults[l])
	}
}

// targetLinks returns the links of a step's relays; if the fault names a zone, only
// those that cross its border.
func (r *run) targetLinks(step Step) (links []*link.Link) {
	zone := step.Fault.Zone
	for _, i := range step.Targets {
		relay := r.relays[i]
		for k, l := range relay.links {
			if zone == "" || (relay.zone == zone) != (r.endpoints[k].Zone == zone) {
				links = append(links, l)
			}
		}
	}
	return links
}

// linkFaults returns the faults that a link has without the step, with the fault of the
// step added.
func linkFaults(faults link.Faults, fault *scenario.Fault) link.Faults {
	switch fault.Kind {
	case scenario.FaultCut:
		faults.Cut = true
	case scenario.FaultDelay:
		faults.Delay += millis(fault.MS)
	case scenario.FaultThrottle:
		faults.Rate = int(max(fault.Rate, 1))
	}
	return faults
}
