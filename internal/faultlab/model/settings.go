package model

import "time"

// Class is a class of message, with the figures that BRIEF gives for it.
type Class struct {
	Name             string
	Fraction         float64       // of the traffic
	LatencyObjective time.Duration // delivered within this, it earns its whole worth
	Deadline         time.Duration
	Weight           float64
	LateFraction     float64          // share of the worth that is left at the deadline
	NonIdempotent    bool             // may not be repeated once it may have taken effect
	ServiceTime      [2]time.Duration // at a partner of usual pace
}

// Classes are the site's two.
func Classes() []Class {
	ms := time.Millisecond
	return []Class{
		{"alert-update", 0.7, 1500 * ms, 8 * time.Second, 1, 0, false, [2]time.Duration{90 * ms, 160 * ms}},
		{"copy-order", 0.3, 2 * time.Second, 16 * time.Second, 2, 0.5, true, [2]time.Duration{230 * ms, 390 * ms}},
	}
}

// Value is what a message of the class is worth when it arrives so long after
// it was due: by half with each further target, down to what is left at the
// deadline, and nothing after it.
func (c *Class) Value(after time.Duration) float64 {
	if after > c.Deadline {
		return 0
	}
	w := c.Weight
	for after > c.LatencyObjective && w > c.Weight*0.001 {
		w /= 2
		after -= c.LatencyObjective
	}
	return max(w, c.Weight*c.LateFraction)
}

// Kinds of partner.
const (
	Telco     = "telco"
	Newsagent = "agent"
)

// Rules are the figures of the protocol's rules.
type Rules struct {
	DrainGrace         time.Duration // after word of a drain
	CompletionGrace    time.Duration // after a message's time is up
	Slack              time.Duration // by which each limit is longer on sockets
	RetryAfterSlack    time.Duration // within which calls after a told wait are let through
	RestartGrace       time.Duration // after ready, until notices may be overdue again
	ListDelay          time.Duration // after which news counts as told
	ShutdownTimeout    time.Duration // from SIGTERM to the end
	InvalidPeerTimeout time.Duration // until an error line or a close
	LongRequestTimeout time.Duration // the same where the peer sends 60 MB
	MaxAttempts        int
	RecoveryCapacity   float64       // share of its capacity with which a partner comes back
	RecoveryTime       time.Duration // until it has all of it
	OverloadFactor     float64       // times its capacity by which it falls over
	OverloadWindow     time.Duration // within which that is counted
	BlameFraction      float64       // share of that from relays that had seen it fail
}

// StandardRules are those of the protocol and terms pages.
func StandardRules() Rules {
	ms := time.Millisecond
	return Rules{DrainGrace: 2 * time.Second, CompletionGrace: 300 * ms, Slack: 50 * ms, RetryAfterSlack: 100 * ms, RestartGrace: 1500 * ms,
		ListDelay: 6 * time.Second, ShutdownTimeout: 3700 * ms, InvalidPeerTimeout: 3 * time.Second, LongRequestTimeout: 6 * time.Second, MaxAttempts: 12,
		RecoveryCapacity: 0.19, RecoveryTime: 13 * time.Second, OverloadFactor: 2.5, OverloadWindow: 3 * time.Second, BlameFraction: 2.0 / 3}
}

// Fleet is what the settings tell a relay of its fleet.
type Fleet struct {
	Relays      int
	MaxCalls    int // calls out at once, of one relay
	MaxMessages int // messages that one relay may hold
	Zones       []string
	Zone        int // of this relay
	Rank        int
	MaxBatch    int // messages in one call to a telco
}

// Settings is the object that a relay finds in its configuration, in the form
// of the wire page.
func Settings(f Fleet, r Rules) map[string]any {
	us := func(d time.Duration) int64 { return d.Microseconds() }
	classes := []map[string]any{}
	for _, c := range Classes() {
		repeat := "retryable"
		if c.NonIdempotent {
			repeat = "fragile"
		}
		classes = append(classes, map[string]any{"name": c.Name, "repeat": repeat, "group": "all", "streaming": false,
			"target_us": us(c.LatencyObjective), "deadline_us": us(c.Deadline), "worth": c.Weight, "late_worth": c.LateFraction, "dedup_window_us": 5000000})
	}
	fees := make([]float64, len(f.Zones))
	return map[string]any{
		"accounts": []any{}, "balancers": f.Relays, "classes": classes, "client_habits": map[string]any{"marks_retry": true},
		"discovery": "pushed", "goal": map[string]any{"whole": 0.4, "worst_window": 0.25, "worst_class": 0.35, "worst_tenant": 0},
		"deductions": map[string]any{"handshake": 0.04, "late_fail": 0.043, "waste": 0.025},
		"kinds":      []string{Telco, Newsagent}, "localities": f.Zones, "over_share_worth": 0.1, "rank": f.Rank,
		"limits": map[string]any{"connect_timeout_us": 1500000, "cpu_us_per_request": 0, "cpu_us_per_s": 750000,
			"keepalive_us": 10000000, "max_retry_after_us": 3000000, "may_cancel": true, "most_held": f.MaxMessages,
			"most_tries": r.MaxAttempts, "parallel_tries": false, "peers": false, "probing": false, "retry_after": true, "streams_per_conn": 8},
		"report": map[string]any{"fields": []string{"x0", "x1"}, "how": "answers"},
		"safety": map[string]any{"answer_slack_us": 20000, "ask_every_us": 10000000, "drain_grace_us": us(r.DrainGrace), "fall_us": us(r.OverloadWindow),
			"overload_factor": r.OverloadFactor, "ramp_time_us": us(r.RecoveryTime), "start_capacity": r.RecoveryCapacity},
		"specifics": map[string]any{"calls_out": f.MaxCalls, "kind_batch": []int{f.MaxBatch, 1}, "late": "halving",
			"notes": "full: milliseconds to wait, 0 if none is told; moot: 1 no slot was free", "own_limits": []bool{false, false},
			"report_x0": "share of the allowance that is left", "report_x1": "calls a second that the limit allows; 0 where there is none",
			"turned_away_price": 0.03, "zone_fee": fees},
		"tick_us": 5000, "tier": 0, "tiers": []string{"outside-partners"}, "value_by": "request", "weights": "none",
		"workload": "deliver", "zone": f.Zone,
	}
}
