// Package simrelay defines what the lab and a process of simulated relays exchange: a
// configuration file, signals, status lines and a result file.
//
// A simulated relay (package relays) makes up its own messages and their outcomes instead
// of talking to clients and endpoints, so that many fit into one process. It counts each
// accepted message and its completion, and records each change of the endpoint list with
// the time at which its policy received it. A process also reports how late its messages
// were made. The lab judges the figures.
package simrelay

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
)

// Config is the configuration of one process of simulated relays.
type Config struct {
	Folder    string            `json:"folder"` // directory of the relays' message logs
	Result    string            `json:"result"` // file to which the process writes its Result when it ends
	First     int               `json:"first"`  // number of the process's first relay within the fleet
	Discovery []string          `json:"discovery"`
	Fleet     int               `json:"fleet"`
	Seed      uint64            `json:"seed"`
	Settings  []json.RawMessage `json:"settings"` // settings of each relay, in the wire form that a real relay reads
	Zones     []string          `json:"zones"`
	Flavors   []string          `json:"flavors"`
	DiskMB    int               `json:"disk_mb"`
	Stream    Stream            `json:"stream"`
}

// Errors of LoadConfig for a configuration that lacks a required part.
var (
	ErrNoSettings  = errors.New("settings: none")
	ErrNoDiscovery = errors.New("discovery: none")
	ErrNoStream    = errors.New("stream: classes and destinations are wanted")
)

// LoadConfig reads and checks the configuration file of a process. A configuration that
// lacks a required part is ErrNoSettings, ErrNoDiscovery or ErrNoStream.
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
