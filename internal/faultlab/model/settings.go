package model

import "time"

// Kinds of upstream.
const (
	Telco     = "telco"
	Newsagent = "agent"
)

// Fleet holds what the settings of one relay say about it and its fleet.
type Fleet struct {
	Relays      int      // number of relays in the fleet
	MaxCalls    int      // limit on the calls of this relay that are in flight
	MaxMessages int      // limit on the messages that this relay holds
	Zones       []string // all zones of the fleet
	Zone        int      // zone of this relay, an index into Zones
	Rank        int      // number of this relay in the fleet
	MaxBatch    int      // largest number of messages in one call to a telco
}

const (
	connectTimeout = 1500 * time.Millisecond
	idleTimeout    = 10 * time.Second // after which an idle connection to an endpoint is closed
	maxRetryAfter  = 3 * time.Second
	dedupWindow    = 5 * time.Second
	policyTick     = 5 * time.Millisecond
)

// Settings returns the settings object for the configuration of a relay, in the format
// of the wire page. Durations are in microseconds.
func Settings(fleet Fleet, rules Rules) map[string]any {
	return map[string]any{
		"accounts":         []any{},
		"balancers":        fleet.Relays,
		"classes":          classSettings(),
		"client_habits":    map[string]any{"marks_retry": true},
		"deductions":       map[string]any{"handshake": 0.04, "late_fail": 0.043, "waste": 0.025},
		"discovery":        "pushed",
		"goal":             map[string]any{"whole": 0.4, "worst_window": 0.25, "worst_class": 0.35, "worst_tenant": 0},
		"kinds":            []string{Telco, Newsagent},
		"limits":           limitSettings(fleet, rules),
		"localities":       fleet.Zones,
		"over_share_worth": 0.1,
		"rank":             fleet.Rank,
		"report":           map[string]any{"fields": []string{"x0", "x1"}, "how": "answers"},
		"safety":           safetySettings(rules),
		"specifics":        siteSettings(fleet),
		"tick_us":          policyTick.Microseconds(),
		"tier":             0,
		"tiers":            []string{"outside-partners"},
		"value_by":         "request",
		"weights":          "none",
		"workload":         "deliver",
		"zone":             fleet.Zone,
	}
}

func classSettings() []map[string]any {
	all := []map[string]any{}
	for _, class := range Classes() {
		repeat := "retryable"
		if class.NonIdempotent {
			repeat = "fragile"
		}
		all = append(all, map[string]any{
			"name":            class.Name,
			"repeat":          repeat,
			"group":           "all",
			"streaming":       false,
			"target_us":       class.LatencyObjective.Microseconds(),
			"deadline_us":     class.Deadline.Microseconds(),
			"worth":           class.Weight,
			"late_worth":      class.LateFraction,
			"dedup_window_us": dedupWindow.Microseconds(),
		})
	}
	return all
}

func limitSettings(fleet Fleet, rules Rules) map[string]any {
	return map[string]any{
		"connect_timeout_us": connectTimeout.Microseconds(),
		"cpu_us_per_request": 0,
		"cpu_us_per_s":       750000,
		"keepalive_us":       idleTimeout.Microseconds(),
		"max_retry_after_us": maxRetryAfter.Microseconds(),
		"may_cancel":         true,
		"most_held":          fleet.MaxMessages,
		"most_tries":         rules.MaxAttempts,
		"parallel_tries":     false,
		"peers":              false,
		"probing":            false,
		"retry_after":        true,
		"streams_per_conn":   8,
	}
}

func safetySettings(rules Rules) map[string]any {
	return map[string]any{
		"answer_slack_us": (20 * time.Millisecond).Microseconds(),
		"ask_every_us":    (10 * time.Second).Microseconds(),
		"drain_grace_us":  rules.DrainGrace.Microseconds(),
		"fall_us":         rules.OverloadWindow.Microseconds(),
		"overload_factor": rules.OverloadFactor,
		"ramp_time_us":    rules.RecoveryTime.Microseconds(),
		"start_capacity":  rules.RecoveryCapacity,
	}
}

// siteSettings returns the settings that are specific to the simulated site.
func siteSettings(fleet Fleet) map[string]any {
	return map[string]any{
		"calls_out":         fleet.MaxCalls,
		"kind_batch":        []int{fleet.MaxBatch, 1},
		"late":              "halving",
		"notes":             "full: milliseconds to wait, 0 if none is told; moot: 1 no slot was free",
		"own_limits":        []bool{false, false},
		"report_x0":         "share of the allowance that is left",
		"report_x1":         "calls a second that the limit allows; 0 where there is none",
		"turned_away_price": 0.03,
		"zone_fee":          make([]float64, len(fleet.Zones)),
	}
}
