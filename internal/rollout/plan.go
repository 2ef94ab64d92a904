// Package rollout restarts a fleet's relays in waves. Each relay of a plan is
// restarted once, one wave is open at a time, and the next wave starts only while
// what the plan demands holds, however often the leader of the role changes on the
// way. How a process is started and stopped is left to the runner beside each relay.
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

// What a plan has where it leaves a key out.
const (
	defaultParallelism   = 1
	defaultReadyTimeout  = 30
	defaultSettleTime    = 2
	defaultSettleTimeout = 60
	defaultMaxRejected   = 0.05
	defaultMaxPending    = 50
)

const timeoutMax = 3600 // seconds

// Plan is what operators want of a rollout. It is written in TOML and stored as JSON,
// as the spec of an operation. Times are in seconds.
type Plan struct {
	Waves         []int   `toml:"waves" json:"waves"`     // relays of each wave; the others are the last wave
	Parallelism   int     `toml:"at_once" json:"at_once"` // relays restarted at the same time
	ReadyTimeout  float64 `toml:"ready" json:"ready"`     // for a restarted relay to become ready
	SettleTime    float64 `toml:"settle" json:"settle"`   // for which all demands have to hold after a wave
	SettleTimeout float64 `toml:"within" json:"within"`   // for that to begin and end; the plan waits otherwise
	// MaxRejected is the fraction of the messages completed since the wave began that
	// may have been rejected.
	MaxRejected float64 `toml:"refused" json:"refused"`
	// MaxPending is how many more messages than before the wave a relay may have pending.
	MaxPending int     `toml:"pending" json:"pending"`
	Relays     []Relay `toml:"relays" json:"relays"`
}

// Relay is one relay of a plan.
type Relay struct {
	Name     string `toml:"name" json:"name"`
	Runner   string `toml:"runner" json:"runner"`     // host and port
	Operator string `toml:"operator" json:"operator"` // host and port of its operator address; empty: by the runner
}

// ParsePlan reads a plan in TOML. Errors name the line and the key.
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
	for _, check := range []func() error{p.validateTimes, p.validateLimits, p.validateWaves, p.validateRelays} {
		if err := check(); err != nil {
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

// wave returns the relays of a wave, counted from 0; none after the last wave.
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
