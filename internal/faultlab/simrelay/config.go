// Package simrelay is what the lab and a process of simulated relays exchange: a
// configuration, signals, lines of status and a result.
//
// A simulated relay (package relays) is a relay without sockets for messages; many
// run in one process. Every message that one accepts is counted with one
// completion, each change of the endpoint list is recorded with the moment at which
// the policy had it, and a process reports how late its own traffic was. What the
// figures mean is left to the lab.
package simrelay

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
)

// Config is the configuration of one process of simulated relays.
type Config struct {
	Folder    string            `json:"folder"` // of the relays' message logs
	Result    string            `json:"result"` // file of the Result, written at the end
	First     int               `json:"first"`  // number of the first relay in the fleet
	Discovery []string          `json:"discovery"`
	Fleet     int               `json:"fleet"`
	Seed      uint64            `json:"seed"`
	Settings  []json.RawMessage `json:"settings"` // one for each relay, in the form of the wire page
	Zones     []string          `json:"zones"`
	Flavors   []string          `json:"flavors"`
	DiskMB    int               `json:"disk_mb"`
	Stream    Stream            `json:"stream"`
}

// Errors of a configuration that cannot be used.
var (
	ErrNoSettings  = errors.New("settings: none")
	ErrNoDiscovery = errors.New("discovery: none")
	ErrNoStream    = errors.New("stream: classes and destinations are wanted")
)

// LoadConfig reads the configuration file of a process. Unusable values are
// ErrNoSettings, ErrNoDiscovery or ErrNoStream.
func LoadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("simrelay: %w", err)
	}
	c := &Config{}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("simrelay: configuration: %w", err)
	}
	if err := c.validate(); err != nil {
		return nil, fmt.Errorf("simrelay: configuration: %w", err)
	}
	c.Stream.Down.Prepare(c.Stream.Destinations)
	return c, nil
}

func (c *Config) validate() error {
	switch {
	case len(c.Settings) == 0:
		return ErrNoSettings
	case len(c.Discovery) == 0:
		return ErrNoDiscovery
	case len(c.Stream.Classes) == 0 || c.Stream.Destinations < 1:
		return ErrNoStream
	}
	return nil
}
