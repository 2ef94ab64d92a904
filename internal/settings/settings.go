// Package settings maps the settings text, as the simulator and a deployment
// both give it, to the words of package decide. It decides nothing.
package settings

import (
	"fmt"

	"plovershore/internal/wire"
	"plovershore/policy"
)

var repeats = map[string]policy.Idempotency{"retryable": policy.Idempotent, "dedup": policy.IdempotentByKey, "fragile": policy.NonIdempotent}

// ToPolicy maps the settings text to the interface's words.
func ToPolicy(s *wire.Settings) (policy.Settings, error) {
	l, f := &s.Limits, &s.Safety
	d := policy.Settings{Relays: s.Balancers, Zone: s.Zone, MaxCalls: s.Specifics.CallsOut, MaxMessages: l.MaxMessages,
		MaxAttempts: l.MaxAttempts, HalvingWeight: s.Specifics.Late == "halving", OverQuotaWeight: s.OverQuotaWeight,
		WeightByCost: s.ValueBy == "work", ListedRates: s.Weights != "" && s.Weights != "none",
		LoadReports:  s.Report.How == "answers" && len(s.Report.Fields) > 0,
		HealthChecks: l.Probing, Cancellation: l.MayCancel, RetryAfter: l.RetryAfter, MaxRetryAfter: l.MaxRetryAfter,
		PollList: s.Discovery == "on_request", PollInterval: f.PollInterval, ConnectTimeout: l.ConnectTimeout,
		KeepAlive: l.KeepAlive, StreamsPerConnection: l.StreamsPerConn, Tick: s.Tick, ResponseSlack: f.ResponseSlack,
		DrainGrace: f.DrainGrace, SlowStartCapacity: f.SlowStartCapacity, SlowStartTime: f.SlowStartTime,
		OverloadFactor: f.OverloadFactor, OverloadWindow: f.OverloadWindow, KeyCooldown: f.KeyCooldown}
	for i, c := range s.Classes {
		rep, ok := repeats[c.Idempotency]
		if !ok {
			return d, fmt.Errorf("settings: classes[%d].repeat: unknown kind %q", i, c.Idempotency)
		}
		d.Classes = append(d.Classes, policy.Class{Name: c.Name, LatencyObjective: c.Target, Deadline: c.Deadline,
			Weight: c.Weight, LateWeight: c.LateWeight, Idempotency: rep, DedupWindow: c.Window,
			DedupPerZone: c.Group != "all" && c.Group != "", Ordered: c.Sequential})
	}
	for _, a := range s.Accounts {
		d.Tenants = append(d.Tenants, policy.Tenant{Name: a.Name, Quota: a.Quota})
	}
	for i := range s.Kinds {
		k := policy.DestinationKind{MaxBatch: 1}
		if i < len(s.Specifics.OwnLimits) {
			k.SeparateRoutes = s.Specifics.OwnLimits[i]
		}
		if i < len(s.Specifics.KindBatch) {
			k.MaxBatch = s.Specifics.KindBatch[i]
		}
		d.Kinds = append(d.Kinds, k)
	}
	return d, nil
}
