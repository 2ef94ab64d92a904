// Package settings converts the settings text, which the simulator and a deployment both provide, to the
// settings of package policy. It makes no decisions.
package settings

import (
	"fmt"

	"plovershore/internal/wire"
	"plovershore/policy"
)

// Values in the settings text. Each comment names the settings key that has the value.
const (
	lateHalving     = "halving"    // settings key specifics.late
	valueByWork     = "work"       // settings key value_by
	weightsNone     = "none"       // settings key weights
	reportInAnswers = "answers"    // settings key report.how
	listOnRequest   = "on_request" // settings key discovery
	groupAll        = "all"        // settings key classes[].group
)

// idempotencies maps the values of classes[].repeat to those of package policy.
var idempotencies = map[string]policy.Idempotency{
	"retryable": policy.Idempotent,
	"dedup":     policy.IdempotentByKey,
	"fragile":   policy.NonIdempotent,
}

// ToPolicy converts the settings text to a policy's settings. The error names the key of an unknown value.
func ToPolicy(s *wire.Settings) (policy.Settings, error) {
	mapped := policy.Settings{
		Relays:               s.Balancers,
		Zone:                 s.Zone,
		MaxCalls:             s.Specifics.CallsOut,
		MaxMessages:          s.Limits.MaxMessages,
		MaxAttempts:          s.Limits.MaxAttempts,
		HalvingWeight:        s.Specifics.Late == lateHalving,
		OverQuotaWeight:      s.OverQuotaWeight,
		WeightByCost:         s.ValueBy == valueByWork,
		LoadReports:          s.Report.How == reportInAnswers && len(s.Report.Fields) > 0,
		ListedRates:          s.Weights != "" && s.Weights != weightsNone,
		HealthChecks:         s.Limits.Probing,
		Cancellation:         s.Limits.MayCancel,
		RetryAfter:           s.Limits.RetryAfter,
		MaxRetryAfter:        s.Limits.MaxRetryAfter,
		PollList:             s.Discovery == listOnRequest,
		PollInterval:         s.Safety.PollInterval,
		ConnectTimeout:       s.Limits.ConnectTimeout,
		KeepAlive:            s.Limits.KeepAlive,
		StreamsPerConnection: s.Limits.StreamsPerConn,
		Tick:                 s.Tick,
		ResponseSlack:        s.Safety.ResponseSlack,
		DrainGrace:           s.Safety.DrainGrace,
		SlowStartCapacity:    s.Safety.SlowStartCapacity,
		SlowStartTime:        s.Safety.SlowStartTime,
		OverloadFactor:       s.Safety.OverloadFactor,
		OverloadWindow:       s.Safety.OverloadWindow,
		KeyCooldown:          s.Safety.KeyCooldown,
	}
	for i := range s.Classes {
		class, err := toClass(&s.Classes[i])
		if err != nil {
			return mapped, fmt.Errorf("settings: classes[%d].%w", i, err)
		}
		mapped.Classes = append(mapped.Classes, class)
	}
	for _, account := range s.Accounts {
		mapped.Tenants = append(mapped.Tenants, policy.Tenant{Name: account.Name, Quota: account.Quota})
	}
	for i := range s.Kinds {
		mapped.Kinds = append(mapped.Kinds, toKind(&s.Specifics, i))
	}
	return mapped, nil
}

func toClass(class *wire.Class) (policy.Class, error) {
	idempotency, ok := idempotencies[class.Idempotency]
	if !ok {
		return policy.Class{}, fmt.Errorf("repeat: unknown kind %q", class.Idempotency)
	}
	return policy.Class{
		Name:             class.Name,
		LatencyObjective: class.Target,
		Deadline:         class.Deadline,
		Weight:           class.Weight,
		LateWeight:       class.LateWeight,
		Idempotency:      idempotency,
		DedupWindow:      class.Window,
		DedupPerZone:     class.Group != groupAll && class.Group != "",
		Ordered:          class.Sequential,
	}, nil
}

// toKind returns the settings of one kind of destination. The lists with a value for each kind may be shorter
// than the list of kinds; a kind without a value gets the default.
func toKind(specifics *wire.Specifics, index int) policy.DestinationKind {
	kind := policy.DestinationKind{MaxBatch: 1}
	if index < len(specifics.OwnLimits) {
		kind.SeparateRoutes = specifics.OwnLimits[index]
	}
	if index < len(specifics.KindBatch) {
		kind.MaxBatch = specifics.KindBatch[index]
	}
	return kind
}
