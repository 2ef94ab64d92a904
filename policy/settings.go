package policy

import "fmt"

// Time is a moment or a span in microseconds of the host's own clock.
type Time = int64

// Idempotency says what a second run of a message of a class would do. The zero value is Idempotent.
type Idempotency uint8

// Kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // the destination drops repeats inside the class's window
	NonIdempotent                      // must never run twice
)

// Class is one class of message.
type Class struct {
	Name             string
	LatencyObjective Time // delivered within this, a message earns its full weight
	Deadline         Time // after this it earns nothing and must have had its final response
	Weight           float64
	LateWeight       float64 // fraction of the weight left at the deadline
	Idempotency      Idempotency
	DedupWindow      Time // IdempotentByKey only: from the send of the first attempt that may have run
	DedupPerZone     bool // IdempotentByKey only: only endpoints of one zone share the memory of keys
	Ordered          bool // messages of one key go one at a time, in order of arrival
}

// Tenant is one of those who share the relay.
type Tenant struct {
	Name  string
	Quota float64 // messages a second over all relays; 0 for no limit
}

// DestinationKind is a kind of destination.
type DestinationKind struct {
	SeparateRoutes bool // its endpoints are separate routes, each with its own limit and outages
	MaxBatch       int  // messages that may travel in one call; 0 means 1
}

// Settings is the configuration of a policy. It is read by New and not changed.
type Settings struct {
	Relays               int // relays that share the destinations, this one included
	Zone                 int
	Classes              []Class
	Tenants              []Tenant
	Kinds                []DestinationKind
	MaxCalls             int // calls in flight at once
	MaxMessages          int // messages held at once; 0 for no limit
	MaxResidentMessages  int // messages in memory at most, the rest spilled; 0 for all
	MaxAttempts          int // attempts of one message; 0 for no limit
	HalvingWeight        bool
	OverQuotaWeight      float64 // fraction of its weight that a message beyond its tenant's quota keeps
	WeightByCost         bool
	LoadReports          bool    // answers hold load reports
	ListedRates          bool    // list entries carry the calls a second that a destination takes
	HealthChecks         bool    // health checks are allowed
	Cancellation         bool    // cancelling an attempt is allowed
	RetryAfter           bool    // a rejection tells the client when to retry
	MaxRetryAfter        Time    // the longest such advice that clients heed
	PollList             bool    // list changes come only when asked for
	PollInterval         Time    // with PollList: the longest a list counts as fresh without asking
	ConnectTimeout       Time    // 0 when unknown
	KeepAlive            Time    // idle connections close after this; 0 when unknown
	StreamsPerConnection int     // calls that one connection carries at once; 0 means 1
	Tick                 Time    // events come at most this often; 0 when unknown
	ResponseSlack        Time    // time past a deadline in which a final response still counts
	DrainGrace           Time    // time after the notification of a drain in which sends must have ended
	SlowStartCapacity    float64 // fraction of its capacity that a destination has at least after an outage
	SlowStartTime        Time    // by then at the latest it has all of it
	OverloadFactor       float64 // sent more than this many times what it can do ...
	OverloadWindow       Time    // ... for this long, a cold destination fails again
	KeyCooldown          Time    // pause of an ordered key after an attempt with an unknown outcome
}

// Validate checks the settings for impossible values. The error names the first key that has one.
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
		if !(tenant.Quota >= 0) { // NaN is no quota either
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

// validate checks a class; key is what errors call it.
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
