package policy

import "fmt"

// Time is a point in time or a span of time in microseconds of the host's own clock.
type Time = int64

// Idempotency says whether a message of a class may run more than once. The zero value is
// Idempotent.
type Idempotency uint8

// Kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // the destination ignores a repeat within the class's DedupWindow
	NonIdempotent                      // must never run twice
)

// Class is one class of message.
type Class struct {
	Name             string
	LatencyObjective Time // a message that is delivered within this time earns its full weight
	Deadline         Time // after this time a message earns nothing and must have had its final response
	Weight           float64
	LateWeight       float64 // fraction of the weight left at the deadline; a lower bound with HalvingWeight
	Idempotency      Idempotency
	DedupWindow      Time // IdempotentByKey only: begins when the first attempt that may have run is sent
	DedupPerZone     bool // IdempotentByKey only: only endpoints of the same zone recognize a repeat
	Ordered          bool // messages with the same key are sent one at a time, in order of arrival
}

// Tenant is one of the customers that share the relay.
type Tenant struct {
	Name  string
	Quota float64 // messages a second over all relays together; 0 for no limit
}

// DestinationKind holds what destinations of one kind have in common.
type DestinationKind struct {
	SeparateRoutes bool // each endpoint is a route of its own, with its own rate limit and outages
	MaxBatch       int  // number of messages that one call may carry; 0 means 1
}

// Settings is the configuration of a policy. It is read by New and not changed. The policy itself
// doesn't use HealthChecks, ConnectTimeout, ResponseSlack and DrainGrace.
type Settings struct {
	Relays               int // number of relays that share the destinations, this one included
	Zone                 int
	Classes              []Class
	Tenants              []Tenant
	Kinds                []DestinationKind
	MaxCalls             int     // maximum number of calls in flight
	MaxMessages          int     // maximum number of messages held, in memory or spilled; 0 for no limit
	MaxResidentMessages  int     // maximum number of messages in memory, the rest is spilled; 0 for no limit
	MaxAttempts          int     // maximum number of attempts of one message; 0 for no limit
	HalvingWeight        bool    // once late, a weight halves each LatencyObjective, down to LateWeight
	OverQuotaWeight      float64 // fraction of its weight that a message keeps if its tenant is over quota
	WeightByCost         bool
	LoadReports          bool    // answers have load reports
	ListedRates          bool    // list entries have the calls a second that a destination accepts
	HealthChecks         bool    // health checks are allowed
	Cancellation         bool    // cancelling an attempt is allowed
	RetryAfter           bool    // a rejection tells the client when to retry
	MaxRetryAfter        Time    // longest retry time that clients follow
	PollList             bool    // changes of the endpoint list come only on request
	PollInterval         Time    // with PollList: how long a list counts as up to date without a new request
	ConnectTimeout       Time    // 0 when unknown
	KeepAlive            Time    // idle connections are closed after this time; 0 when unknown
	StreamsPerConnection int     // number of calls that one connection carries at once; 0 means 1
	Tick                 Time    // resolution of the host's timers and unit of the margins; 0 when unknown
	ResponseSlack        Time    // time after a deadline in which a final response still counts
	DrainGrace           Time    // how long an endpoint may still be called after it is listed as draining
	SlowStartCapacity    float64 // least fraction of its capacity that a destination has after an outage
	SlowStartTime        Time    // time after an outage by which a destination has its full capacity again
	OverloadFactor       float64 // a cold destination fails again above this many times its capacity
	OverloadWindow       Time    // time over which the calls to a cold destination count for OverloadFactor
	KeyCooldown          Time    // how long an attempt that may still run holds back its key's next message
}

// Validate checks the settings for impossible values. The error names the first setting that has
// one.
func (s *Settings) Validate() error {
	if err := s.validateTimes(); err != nil {
		return err
	}
	if err := s.validateCounts(); err != nil {
		return err
	}
	if err := s.validateClasses(); err != nil {
		return err
	}
	return s.validateFractions()
}

func (s *Settings) validateTimes() error {
	for _, setting := range []struct {
		key   string
		value Time
	}{
		{"MaxRetryAfter", s.MaxRetryAfter},
		{"PollInterval", s.PollInterval},
		{"ConnectTimeout", s.ConnectTimeout},
		{"KeepAlive", s.KeepAlive},
		{"Tick", s.Tick},
		{"ResponseSlack", s.ResponseSlack},
		{"DrainGrace", s.DrainGrace},
		{"SlowStartTime", s.SlowStartTime},
		{"OverloadWindow", s.OverloadWindow},
		{"KeyCooldown", s.KeyCooldown},
	} {
		if setting.value < 0 {
			return fmt.Errorf("%s: negative time %d", setting.key, setting.value)
		}
	}
	return nil
}

func (s *Settings) validateCounts() error {
	for _, setting := range []struct {
		key        string
		value, min int
	}{
		{"Relays", s.Relays, 1},
		{"MaxCalls", s.MaxCalls, 1},
		{"MaxMessages", s.MaxMessages, 0},
		{"MaxResidentMessages", s.MaxResidentMessages, 0},
		{"Zone", s.Zone, 0},
		{"MaxAttempts", s.MaxAttempts, 0},
		{"StreamsPerConnection", s.StreamsPerConnection, 0},
		{"Classes", len(s.Classes), 1},
	} {
		if setting.value < setting.min {
			return fmt.Errorf("%s: %d, want at least %d", setting.key, setting.value, setting.min)
		}
	}
	return nil
}

func (s *Settings) validateClasses() error {
	for i := range s.Classes {
		if err := s.Classes[i].validate(fmt.Sprintf("Classes[%d]", i)); err != nil {
			return err
		}
	}
	for i, tenant := range s.Tenants {
		if !(tenant.Quota >= 0) { // written so that NaN is refused too
			return fmt.Errorf("Tenants[%d].Quota: %v, want 0 or more", i, tenant.Quota)
		}
	}
	for i, kind := range s.Kinds {
		if kind.MaxBatch < 0 {
			return fmt.Errorf("Kinds[%d].MaxBatch: %d, want 0 or more", i, kind.MaxBatch)
		}
	}
	return nil
}

// validate checks a class. Errors begin with key, the class's place in the settings.
func (c *Class) validate(key string) error {
	switch {
	case c.Idempotency > NonIdempotent:
		return fmt.Errorf("%s.Idempotency: unknown kind %d", key, c.Idempotency)
	case c.LatencyObjective < 0:
		return fmt.Errorf("%s.LatencyObjective: negative time %d", key, c.LatencyObjective)
	case c.Deadline <= 0:
		return fmt.Errorf("%s.Deadline: %d, want above 0", key, c.Deadline)
	case c.DedupWindow < 0:
		return fmt.Errorf("%s.DedupWindow: negative time %d", key, c.DedupWindow)
	case !(c.Weight >= 0):
		return fmt.Errorf("%s.Weight: %v, want 0 or more", key, c.Weight)
	case !isFraction(c.LateWeight):
		return fmt.Errorf("%s.LateWeight: %v, want 0 to 1", key, c.LateWeight)
	}
	return nil
}

func (s *Settings) validateFractions() error {
	switch {
	case !isFraction(s.SlowStartCapacity):
		return fmt.Errorf("SlowStartCapacity: %v, want 0 to 1", s.SlowStartCapacity)
	case !(s.OverloadFactor >= 0):
		return fmt.Errorf("OverloadFactor: %v, want 0 or more", s.OverloadFactor)
	case !isFraction(s.OverQuotaWeight):
		return fmt.Errorf("OverQuotaWeight: %v, want 0 to 1", s.OverQuotaWeight)
	}
	return nil
}

func isFraction(value float64) bool { return value >= 0 && value <= 1 }
