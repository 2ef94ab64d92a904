package model

import "time"

// Class is a class of message, with the figures that BRIEF gives for it.
type Class struct {
	Name     string
	Share    float64       // of the traffic
	Target   time.Duration // delivered within this, it earns its whole worth
	Deadline time.Duration
	Worth    float64
	Late     float64          // share of the worth that is left at the deadline
	Unsafe   bool             // may not be repeated once it may have taken effect
	Took     [2]time.Duration // at a partner of usual pace
}

// Classes are the site's two.
func Classes() []Class {
	ms := time.Millisecond
	return []Class{
		{"alert-update", 0.7, 1500 * ms, 8 * time.Second, 1, 0, false, [2]time.Duration{90 * ms, 160 * ms}},
		{"copy-order", 0.3, 2 * time.Second, 16 * time.Second, 2, 0.5, true, [2]time.Duration{230 * ms, 390 * ms}},
	}
}

// Earned is what a message of the class is worth when it arrives so long after
// it was due: by half with each further target, down to what is left at the
// deadline, and nothing after it.
func (c *Class) Earned(after time.Duration) float64 {
	if after > c.Deadline {
		return 0
	}
	w := c.Worth
	for after > c.Target && w > c.Worth*0.001 {
		w /= 2
		after -= c.Target
	}
	return max(w, c.Worth*c.Late)
}

// Kinds of partner.
const (
	Telco     = "telco"
	Newsagent = "agent"
)

// Rules are the figures of the protocol's rules.
type Rules struct {
	Grace       time.Duration // after word of a drain
	Overdue     time.Duration // after a message's time is up
	Slack       time.Duration // by which each limit is longer on sockets
	WaitSlack   time.Duration // within which calls after a told wait are let through
	Restart     time.Duration // after ready, until notices may be overdue again
	Told        time.Duration // after which news counts as told
	Term        time.Duration // from SIGTERM to the end
	BadPeer     time.Duration // until an error line or a close
	BadPeerLong time.Duration // the same where the peer sends 60 MB
	Attempts    int
	Start       float64       // share of its capacity with which a partner comes back
	Ramp        time.Duration // until it has all of it
	Overload    float64       // times its capacity by which it falls over
	Fall        time.Duration // within which that is counted
	Blame       float64       // share of that from relays that had seen it fail
}

// StandardRules are those of the protocol and terms pages.
func StandardRules() Rules {
	ms := time.Millisecond
	return Rules{Grace: 2 * time.Second, Overdue: 300 * ms, Slack: 50 * ms, WaitSlack: 100 * ms, Restart: 1500 * ms,
		Told: 6 * time.Second, Term: 3700 * ms, BadPeer: 3 * time.Second, BadPeerLong: 6 * time.Second, Attempts: 12,
		Start: 0.19, Ramp: 13 * time.Second, Overload: 2.5, Fall: 3 * time.Second, Blame: 2.0 / 3}
}

// Fleet is what the settings tell a relay of its fleet.
type Fleet struct {
	Relays int
	Slots  int // calls out at once, of one relay
	Held   int // messages that one relay may hold
	Zones  []string
	Zone   int // of this relay
	Rank   int
	Batch  int // messages in one call to a telco
}

// Settings is the object that a relay finds in its configuration, in the form
// of the wire page.
func Settings(f Fleet, r Rules) map[string]any {
	us := func(d time.Duration) int64 { return d.Microseconds() }
	classes := []map[string]any{}
	for _, c := range Classes() {
		repeat := "retryable"
		if c.Unsafe {
			repeat = "fragile"
		}
		classes = append(classes, map[string]any{"name": c.Name, "repeat": repeat, "group": "all", "streaming": false,
			"target_us": us(c.Target), "deadline_us": us(c.Deadline), "worth": c.Worth, "late_worth": c.Late, "dedup_window_us": 5000000})
	}
	fees := make([]float64, len(f.Zones))
	return map[string]any{
		"accounts": []any{}, "balancers": f.Relays, "classes": classes, "client_habits": map[string]any{"marks_retry": true},
		"discovery": "pushed", "goal": map[string]any{"whole": 0.4, "worst_window": 0.25, "worst_class": 0.35, "worst_tenant": 0},
		"deductions": map[string]any{"handshake": 0.04, "late_fail": 0.043, "waste": 0.025},
		"kinds":      []string{Telco, Newsagent}, "localities": f.Zones, "over_share_worth": 0.1, "rank": f.Rank,
		"limits": map[string]any{"connect_timeout_us": 1500000, "cpu_us_per_request": 0, "cpu_us_per_s": 750000,
			"keepalive_us": 10000000, "max_retry_after_us": 3000000, "may_cancel": true, "most_held": f.Held,
			"most_tries": r.Attempts, "parallel_tries": false, "peers": false, "probing": false, "retry_after": true, "streams_per_conn": 8},
		"report": map[string]any{"fields": []string{"x0", "x1"}, "how": "answers"},
		"safety": map[string]any{"answer_slack_us": 20000, "ask_every_us": 10000000, "drain_grace_us": us(r.Grace), "fall_us": us(r.Fall),
			"overload_factor": r.Overload, "ramp_time_us": us(r.Ramp), "start_capacity": r.Start},
		"specifics": map[string]any{"calls_out": f.Slots, "kind_batch": []int{f.Batch, 1}, "late": "halving",
			"notes": "full: milliseconds to wait, 0 if none is told; moot: 1 no slot was free", "own_limits": []bool{false, false},
			"report_x0": "share of the allowance that is left", "report_x1": "calls a second that the limit allows; 0 where there is none",
			"turned_away_price": 0.03, "zone_fee": fees},
		"tick_us": 5000, "tier": 0, "tiers": []string{"outside-partners"}, "value_by": "request", "weights": "none",
		"workload": "deliver", "zone": f.Zone,
	}
}
