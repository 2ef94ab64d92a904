// Package rollout restarts the relays of a fleet in waves, according to a plan. Each relay
// of the plan is restarted once, only one of its waves is in progress at a time, and the
// next one begins only after the plan's limits have been met, however often the leader of
// the role changes meanwhile. A runner on the machine of each relay starts and stops its
// processes.
package rollout

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Role is the name of the role, and the kind of its operations.
const Role = "rollout"

// Defaults of the keys that a plan leaves out. Times are in seconds; defaultMaxRejected is a
// fraction, and defaultMaxPending a number of messages.
const (
	defaultParallelism   = 1
	defaultReadyTimeout  = 30
	defaultSettleTime    = 2
	defaultSettleTimeout = 60
	defaultMaxRejected   = 0.05
	defaultMaxPending    = 50
)

const timeoutMax = 3600 // seconds

// Plan is the configuration of a rollout. Operators write it in TOML, and the list service
// stores it in JSON as the spec of an operation. Times are in seconds.
type Plan struct {
	Waves         []int   `toml:"waves" json:"waves"`     // number of relays in each wave; the remaining relays are one more wave
	Parallelism   int     `toml:"at_once" json:"at_once"` // number of a wave's relays restarted at the same time
	ReadyTimeout  float64 `toml:"ready" json:"ready"`     // maximum time from a restart until the relay is ready
	SettleTime    float64 `toml:"settle" json:"settle"`   // time for which the wave must meet all limits before the next one begins
	SettleTimeout float64 `toml:"within" json:"within"`   // maximum time until a wave has met all limits for SettleTime; after it the plan waits
	// MaxRejected is the maximum fraction of rejected messages among those that a relay has
	// completed since its restart.
	MaxRejected float64 `toml:"refused" json:"refused"`
	// MaxPending is the maximum by which the number of a relay's pending messages may exceed
	// the number before the wave.
	MaxPending int     `toml:"pending" json:"pending"`
	Relays     []Relay `toml:"relays" json:"relays"`
}

// Relay is one relay of a plan.
type Relay struct {
	Name     string `toml:"name" json:"name"`
	Runner   string `toml:"runner" json:"runner"`     // host:port of the relay's runner
	Operator string `toml:"operator" json:"operator"` // host:port of the relay's operator address; if empty, the runner forwards requests to it
}

// ParsePlan parses and validates a plan in TOML. Errors name the key, and also the line if
// the text cannot be decoded.
func ParsePlan(text []byte) (*Plan, error) {
	plan := &Plan{
		Parallelism:   defaultParallelism,
		ReadyTimeout:  defaultReadyTimeout,
		SettleTime:    defaultSettleTime,
		SettleTimeout: defaultSettleTimeout,
		MaxRejected:   defaultMaxRejected,
		MaxPending:    defaultMaxPending,
	}
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(plan); err != nil {
		return nil, describeTOMLError(err)
	}
	return plan, plan.validate()
}

func describeTOMLError(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		first := unknown.Errors[0]
		line, _ := first.Position()
		return fmt.Errorf("plan: line %d: %s: unknown key", line, strings.Join(first.Key(), "."))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		return fmt.Errorf("plan: line %d: %s: %s", line, strings.Join(decode.Key(), "."), strings.TrimPrefix(decode.Error(), "toml: "))
	}
	return fmt.Errorf("plan: %w", err)
}

func (p *Plan) validate() error {
	for _, validate := range []func() error{p.validateTimes, p.validateLimits, p.validateWaves, p.validateRelays} {
		if err := validate(); err != nil {
			return fmt.Errorf("plan: %w", err)
		}
	}
	return nil
}

func (p *Plan) validateTimes() error {
	timeouts := []struct {
		key     string
		seconds float64
	}{{"ready", p.ReadyTimeout}, {"within", p.SettleTimeout}}
	for _, timeout := range timeouts {
		if !(timeout.seconds > 0 && timeout.seconds <= timeoutMax) {
			return fmt.Errorf("%s: %v; more than 0, %d at most", timeout.key, timeout.seconds, timeoutMax)
		}
	}
	if !(p.SettleTime >= 0 && p.SettleTime <= p.SettleTimeout) {
		return fmt.Errorf("settle: %v; from 0 to within, %v", p.SettleTime, p.SettleTimeout)
	}
	return nil
}

func (p *Plan) validateLimits() error {
	if !(p.MaxRejected >= 0 && p.MaxRejected <= 1) || p.MaxPending < 0 || p.Parallelism < 1 {
		return errors.New("refused, pending, at_once: from 0 to 1, 0 and 1 at least are allowed")
	}
	return nil
}

func (p *Plan) validateWaves() error {
	remaining := len(p.Relays)
	if remaining == 0 {
		return errors.New("relays: none")
	}
	for i, size := range p.Waves {
		remaining -= size
		if size < 1 || remaining < 0 {
			return fmt.Errorf("waves[%d]: %d; more than 0, and no more than there are relays", i, size)
		}
	}
	return nil
}

func (p *Plan) validateRelays() error {
	seen := map[string]bool{}
	for i, relay := range p.Relays {
		if relay.Name == "" || seen[relay.Name] {
			return fmt.Errorf("relays[%d].name: %q: missing, or told twice", i, relay.Name)
		}
		seen[relay.Name] = true
		if _, _, err := net.SplitHostPort(relay.Runner); err != nil {
			return fmt.Errorf("relays[%d].runner: %w", i, err)
		}
		if relay.Operator == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(relay.Operator); err != nil {
			return fmt.Errorf("relays[%d].operator: %w", i, err)
		}
	}
	return nil
}

// wave returns the relays of the wave with the given number, which counts from 0. It
// returns none if the number is beyond the last wave.
func (p *Plan) wave(number int) []Relay {
	start := 0
	for i, size := range p.Waves {
		if i == number {
			return p.Relays[start : start+size]
		}
		start += size
	}
	if number == len(p.Waves) {
		return p.Relays[start:]
	}
	return nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
