package registry

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/hashicorp/raft"
	"github.com/pelletier/go-toml/v2"

	"plovershore/internal/clock"
	"plovershore/internal/discovery"
)

// Duration is a duration that a configuration file writes as text, such as 15s.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler. Negative durations are errors.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err == nil && parsed < 0 {
		err = errors.New("negative duration")
	}
	*d = Duration(parsed)
	return err
}

// Peer is a node of a group. A group's peers include the node itself.
type Peer struct {
	ID   string `toml:"id"`
	Raft string `toml:"raft"` // host:port of Raft
	HTTP string `toml:"http"` // host:port of the API
}

// StaticMember is a member that doesn't register by itself and doesn't expire.
type StaticMember struct {
	ID      string  `toml:"id"`
	Address string  `toml:"address"` // host:port
	Zone    string  `toml:"zone"`
	Flavor  string  `toml:"flavor"`
	Cell    int     `toml:"cell"`
	Size    float64 `toml:"size"` // 0 means 1
}

// Zone is a zone and the region that it is in.
type Zone struct {
	Name   string `toml:"name" json:"name"`
	Region string `toml:"region" json:"region"`
}

// Config is the configuration of a node. The zero value isn't valid; begin with
// DefaultConfig or LoadConfig. It must not be changed once a node was started with it.
type Config struct {
	ID          string         `toml:"id"`
	DataDir     string         `toml:"data"`
	Listen      string         `toml:"listen"`   // host:port of the API
	Raft        string         `toml:"raft"`     // host:port of Raft
	Operator    string         `toml:"operator"` // host:port of the metrics; not served if empty
	LogFormat   string         `toml:"log"`      // text or json
	Peers       []Peer         `toml:"peers"`    // empty for a group of one node
	ExpiryGuard ExpiryGuard    `toml:"lapse"`
	Members     []StaticMember `toml:"members"`
	Zones       []Zone         `toml:"zones"`    // regions of a new group's zones
	Watchers    int            `toml:"watchers"` // the most watches served at once

	Clock *clock.Clock `toml:"-"` // nil for the machine's clock

	// DeprecatedVariables are the environment variables that were set under their
	// earlier names.
	DeprecatedVariables []DeprecatedVariable `toml:"-"`

	tuneRaft     func(*raft.Config)                // for tests; may be nil
	wrapLogStore func(raft.LogStore) raft.LogStore // for tests; may be nil
}

// ExpiryGuard bounds how many registrations may expire within one time to live: the
// greater of Fraction and Minimum. If more are silent or expired, expirations are
// suspended.
type ExpiryGuard struct {
	Fraction   float64  `toml:"share"` // of the registrations that have a time to live
	Minimum    int      `toml:"least"` // this many may expire in a list of any length
	SuspendFor Duration `toml:"hold"`  // suspended expirations take place after this time
	ExpiredBy  string   `toml:"by"`    // who starts expirations: leader, or duty
}

// Values of ExpiryGuard.ExpiredBy.
const (
	expiredByLeader = "leader" // the leader of the group, without a request
	expiredByRole   = "duty"   // the holder of the role list-keeper, by requests to ExpirePath
)

// DefaultConfig returns the configuration of a group of one node.
func DefaultConfig() Config {
	return Config{
		ID:        "r1",
		DataDir:   "registry-data",
		Listen:    "127.0.0.1:7800",
		Raft:      "127.0.0.1:7801",
		LogFormat: "text",
		ExpiryGuard: ExpiryGuard{
			Fraction:   0.25,
			Minimum:    3,
			SuspendFor: Duration(10 * time.Minute),
			ExpiredBy:  expiredByLeader,
		},
		Watchers: 20000,
	}
}

// Prefixes of environment variables. The deprecated one is from before the program
// was renamed; it is read where the variable with the current one is not set.
const (
	variablePrefix           = "REGISTRY_"
	deprecatedVariablePrefix = "TROUTREGISTRY_"
)

// DeprecatedVariable is an environment variable that was set under its earlier name.
type DeprecatedVariable struct {
	Name        string
	Replacement string // the current name
	Ignored     bool   // the current name is set, too, and takes precedence
}

// LoadConfig reads a file, or takes the defaults where path is empty. The environment
// (REGISTRY_ID, _DATA, _LISTEN, _RAFT, _OPERATOR, _LOG) overrides both. Errors name
// the file and the key.
func LoadConfig(path string, getenv func(string) string) (*Config, error) {
	c := DefaultConfig()
	if path != "" {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("config: %w", err)
		}
		decoder := toml.NewDecoder(bytes.NewReader(text))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&c); err != nil {
			return nil, configError(path, err)
		}
	}
	c.readEnvironment(getenv)
	if err := c.validate(); err != nil {
		if path != "" {
			return nil, fmt.Errorf("config: %s: %w", path, err)
		}
		return nil, fmt.Errorf("config: %w", err)
	}
	return &c, nil
}

func (c *Config) readEnvironment(getenv func(string) string) {
	for _, variable := range []struct {
		name  string
		field *string
	}{
		{"ID", &c.ID},
		{"DATA", &c.DataDir},
		{"LISTEN", &c.Listen},
		{"RAFT", &c.Raft},
		{"OPERATOR", &c.Operator},
		{"LOG", &c.LogFormat},
	} {
		value := getenv(variablePrefix + variable.name)
		if deprecated := getenv(deprecatedVariablePrefix + variable.name); deprecated != "" {
			c.DeprecatedVariables = append(c.DeprecatedVariables, DeprecatedVariable{
				Name:        deprecatedVariablePrefix + variable.name,
				Replacement: variablePrefix + variable.name,
				Ignored:     value != "",
			})
			if value == "" {
				value = deprecated
			}
		}
		if value != "" {
			*variable.field = value
		}
	}
}

// configError adds the file, the line and the key to a decoder's error.
func configError(path string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		row, _ := strict.Errors[0].Position()
		return fmt.Errorf("config: %s:%d: %s: unknown key", path, row, strings.Join(strict.Errors[0].Key(), "."))
	}
	var d *toml.DecodeError
	if errors.As(err, &d) {
		row, _ := d.Position()
		return fmt.Errorf("config: %s:%d: %s: %s", path, row, strings.Join(d.Key(), "."), strings.TrimPrefix(d.Error(), "toml: "))
	}
	return fmt.Errorf("config: %s: %w", path, err)
}

func (m *StaticMember) member() discovery.Member {
	size := m.Size
	if size == 0 {
		size = 1
	}
	return discovery.Member{
		ID:       m.ID,
		HostPort: m.Address,
		Locality: m.Zone,
		Flavor:   m.Flavor,
		Cell:     m.Cell,
		Phase:    discovery.Up,
		Size:     size,
	}
}
