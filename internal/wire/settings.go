package wire

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Settings is the decoded settings text of one relay. Unknown keys are ignored. Times are in microseconds.
type Settings struct {
	Accounts        []Account `json:"accounts"`
	Balancers       int       `json:"balancers"`
	Classes         []Class   `json:"classes"`
	Discovery       string    `json:"discovery"`
	Kinds           []string  `json:"kinds"`
	Limits          Limits    `json:"limits"`
	OverQuotaWeight float64   `json:"over_share_worth"` // 1 if the text has no value
	Report          Report    `json:"report"`
	Safety          Safety    `json:"safety"`
	Specifics       Specifics `json:"specifics"`
	Tick            int64     `json:"tick_us"`
	ValueBy         string    `json:"value_by"`
	Weights         string    `json:"weights"`
	Zone            int       `json:"zone"`
}

// Account is a tenant of the relay.
type Account struct {
	Name          string  `json:"name"`
	Quota         float64 `json:"quota_per_s"` // messages a second
	QuotaFraction float64 `json:"share"`
}

// Class is a class of message.
type Class struct {
	Deadline    int64   `json:"deadline_us"`
	Window      int64   `json:"dedup_window_us"`
	Group       string  `json:"group"`
	LateWeight  float64 `json:"late_worth"`
	Name        string  `json:"name"`
	Idempotency string  `json:"repeat"`
	Sequential  bool    `json:"sequential"`
	Target      int64   `json:"target_us"`
	Weight      float64 `json:"worth"`
}

// Limits bounds what a relay may do.
type Limits struct {
	ConnectTimeout int64 `json:"connect_timeout_us"`
	KeepAlive      int64 `json:"keepalive_us"`
	MaxRetryAfter  int64 `json:"max_retry_after_us"`
	MayCancel      bool  `json:"may_cancel"`
	MaxMessages    int   `json:"most_held"`
	MaxAttempts    int   `json:"most_tries"`
	Probing        bool  `json:"probing"`
	RetryAfter     bool  `json:"retry_after"`
	StreamsPerConn int   `json:"streams_per_conn"`
}

// Report says how endpoints report their load.
type Report struct {
	How    string   `json:"how"`
	Fields []string `json:"fields"`
}

// Safety says what destinations can stand, and which time margins a relay has to keep.
type Safety struct {
	ResponseSlack     int64   `json:"answer_slack_us"`
	PollInterval      int64   `json:"ask_every_us"`
	DrainGrace        int64   `json:"drain_grace_us"`
	OverloadWindow    int64   `json:"fall_us"`
	OverloadFactor    float64 `json:"overload_factor"`
	SlowStartTime     int64   `json:"ramp_time_us"`
	SlowStartCapacity float64 `json:"start_capacity"`
	KeyCooldown       int64   `json:"settle_after_doubt_us"`
}

// Specifics holds the settings that differ by kind of destination, and some others.
type Specifics struct {
	CallsOut  int    `json:"calls_out"`
	KindBatch []int  `json:"kind_batch"`
	Late      string `json:"late"`
	OwnLimits []bool `json:"own_limits"`
}

// ParseSettings decodes the settings text. The error names the key whose value has the wrong type.
func ParseSettings(text []byte) (*Settings, error) {
	s := &Settings{OverQuotaWeight: 1}
	err := json.Unmarshal(text, s)
	if err == nil {
		return s, nil
	}
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return nil, fmt.Errorf("settings: %s: wrong type %s", typeError.Field, typeError.Value)
	}
	return nil, fmt.Errorf("settings: %w", err)
}
