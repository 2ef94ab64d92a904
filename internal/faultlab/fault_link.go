package faultlab

import (
	"context"
	"time"

	"plovershore/internal/faultlab/link"
)

// strikeLinks cuts, delays, slows or resets links between relays and
// endpoints. With a zone, those that cross its border; with relays, theirs.
func (r *run) strikeLinks(ctx context.Context, s Step) {
	var links []*link.Link
	for _, i := range s.Targets {
		x := r.relays[i]
		for k, l := range x.links {
			if s.Fault.Zone == "" || (x.zone == s.Fault.Zone) != (r.endpoints[k].Zone == s.Fault.Zone) {
				links = append(links, l)
			}
		}
	}
	switch s.Fault.Kind {
	case "reset":
		for _, l := range links {
			l.ResetConns(1)
		}
		return
	case "halfopen":
		for _, l := range links {
			l.HalfOpen()
		}
		return
	}
	for _, l := range links {
		for _, d := range []link.Direction{link.ToServer, link.ToClient} {
			if s.Fault.Direction == "forth" && d == link.ToClient || s.Fault.Direction == "back" && d == link.ToServer {
				continue
			}
			f := r.linkFaults[l]
			switch s.Fault.Kind {
			case "cut":
				f.Cut = true
			case "delay":
				f.Delay += time.Duration(s.Fault.MS * float64(time.Millisecond))
			case "throttle":
				f.Rate = int(max(s.Fault.Rate, 1))
			}
			l.SetFaults(d, f)
		}
	}
	r.waitUntilUndone(ctx, s)
	for _, l := range links {
		l.SetFaults(link.ToServer, r.linkFaults[l])
		l.SetFaults(link.ToClient, r.linkFaults[l])
	}
}
