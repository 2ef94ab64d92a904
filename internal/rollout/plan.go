// Package rollout is the duty that restarts a fleet's relays in waves. It promises
// that each relay of a plan is restarted once, that no two waves are open at
// once, and that a wave is followed by the next only while what the plan asks for
// holds, whichever holders of the duty die on the way. How a process is started
// and stopped is left to the runner beside each relay.
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

// Role is its name, and the kind of its orders.
const Role = "rollout"

// Plan is what operators want. It is written in TOML and kept as JSON in the order.
type Plan struct {
	Waves         []int   `toml:"waves" json:"waves"`     // relays of each; the rest is the last
	Parallelism   int     `toml:"at_once" json:"at_once"` // of a wave
	ReadyTimeout  float64 `toml:"ready" json:"ready"`     // seconds within which a relay has to say yes
	SettleTime    float64 `toml:"settle" json:"settle"`   // seconds for which all has to hold after a wave
	SettleTimeout float64 `toml:"within" json:"within"`   // seconds within which it has to; the plan pauses otherwise
	// MaxRejected is the share of what ended since the wave began that may have been
	// refused; Pending is how many messages more than before the wave a relay may hold.
	MaxRejected float64 `toml:"refused" json:"refused"`
	MaxPending  int     `toml:"pending" json:"pending"`
	Relays      []Relay `toml:"relays" json:"relays"`
}

// Relay is one of the plan's.
type Relay struct {
	Name     string `toml:"name" json:"name"`
	Runner   string `toml:"runner" json:"runner"`     // host and port
	Operator string `toml:"operator" json:"operator"` // of the relay's operator address; where it is left out, the runner tells
}

// ParsePlan reads a plan; what it leaves out is as below. Errors name line and key.
func ParsePlan(text []byte) (*Plan, error) {
	p := &Plan{Parallelism: 1, ReadyTimeout: 30, SettleTime: 2, SettleTimeout: 60, MaxRejected: 0.05, MaxPending: 50}
	dec := toml.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(p); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) && len(strict.Errors) > 0 {
			row, _ := strict.Errors[0].Position()
			return nil, fmt.Errorf("plan: line %d: %s: unknown key", row, strings.Join(strict.Errors[0].Key(), "."))
		}
		var d *toml.DecodeError
		if errors.As(err, &d) {
			row, _ := d.Position()
			return nil, fmt.Errorf("plan: line %d: %s: %s", row, strings.Join(d.Key(), "."), strings.TrimPrefix(d.Error(), "toml: "))
		}
		return nil, fmt.Errorf("plan: %w", err)
	}
	return p, p.check()
}

func (p *Plan) check() error {
	for key, v := range map[string]float64{"ready": p.ReadyTimeout, "within": p.SettleTimeout} {
		if !(v > 0 && v <= 3600) {
			return fmt.Errorf("plan: %s: %v; more than 0, 3600 at most", key, v)
		}
	}
	if !(p.SettleTime >= 0 && p.SettleTime <= p.SettleTimeout) {
		return fmt.Errorf("plan: settle: %v; from 0 to within, %v", p.SettleTime, p.SettleTimeout)
	}
	if !(p.MaxRejected >= 0 && p.MaxRejected <= 1) || p.MaxPending < 0 || p.Parallelism < 1 {
		return errors.New("plan: refused, pending, at_once: from 0 to 1, 0 and 1 at least are allowed")
	}
	left := len(p.Relays)
	if left == 0 {
		return errors.New("plan: relays: none")
	}
	for i, n := range p.Waves {
		if left -= n; n < 1 || left < 0 {
			return fmt.Errorf("plan: waves[%d]: %d; more than 0, and no more than there are relays", i, n)
		}
	}
	seen := map[string]bool{}
	for i, r := range p.Relays {
		if r.Name == "" || seen[r.Name] {
			return fmt.Errorf("plan: relays[%d].name: %q: missing, or told twice", i, r.Name)
		}
		seen[r.Name] = true
		for key, addr := range map[string]string{"runner": r.Runner, "operator": r.Operator} {
			if key == "operator" && addr == "" {
				continue
			}
			if _, _, err := net.SplitHostPort(addr); err != nil {
				return fmt.Errorf("plan: relays[%d].%s: %w", i, key, err)
			}
		}
	}
	return nil
}

// wave gives the relays of one, by their place; none after the last.
func (p *Plan) wave(n int) (from, to int) {
	for i, size := range p.Waves {
		if i == n {
			return from, from + size
		}
		from += size
	}
	if n == len(p.Waves) {
		return from, len(p.Relays)
	}
	return len(p.Relays), len(p.Relays)
}

func secs(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
