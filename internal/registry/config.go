package registry

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/raft"
	"github.com/pelletier/go-toml/v2"

	"plovershore/internal/clock"
	"plovershore/internal/discovery"
)

// Duration is a duration as a configuration has it, such as 15s.
type Duration time.Duration

// UnmarshalText reads 15s, 2m, 500ms.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err == nil && d < 0 {
		err = errors.New("less than nothing")
	}
	*s = Duration(d)
	return err
}

// Peer is a node of a group, itself included.
type Peer struct {
	ID   string `toml:"id"`
	Raft string `toml:"raft"` // where the nodes talk among themselves
	HTTP string `toml:"http"` // where all others ask
}

// StaticMember is a member that never registers by itself.
type StaticMember struct {
	ID      string  `toml:"id"`
	Address string  `toml:"address"`
	Zone    string  `toml:"zone"`
	Flavor  string  `toml:"flavor"`
	Cell    int     `toml:"cell"`
	Size    float64 `toml:"size"`
}

// Zone says which region a zone is in.
type Zone struct {
	Name   string `toml:"name" json:"name"`
	Region string `toml:"region" json:"region"`
}

// Config is what a node is told.
type Config struct {
	ID          string         `toml:"id"`
	DataDir     string         `toml:"data"`
	Listen      string         `toml:"listen"`
	Raft        string         `toml:"raft"`
	Operator    string         `toml:"operator"`
	LogFormat   string         `toml:"log"`
	Peers       []Peer         `toml:"peers"`
	ExpiryGuard ExpiryGuard    `toml:"lapse"`
	Members     []StaticMember `toml:"members"`
	Zones       []Zone         `toml:"zones"`
	Watchers    int            `toml:"watchers"`

	Clock *clock.Clock `toml:"-"` // nil for the machine's

	// DeprecatedVariables are the environment variables that LoadConfig read, or
	// passed over, under their earlier names.
	DeprecatedVariables []DeprecatedVariable `toml:"-"`

	tuneRaft     func(*raft.Config)                // tests alone
	wrapLogStore func(raft.LogStore) raft.LogStore // tests alone
}

// ExpiryGuard bounds how much the list may lose at once.
type ExpiryGuard struct {
	Fraction   float64  `toml:"share"`
	Minimum    int      `toml:"least"`
	SuspendFor Duration `toml:"hold"`
	ExpiredBy  string   `toml:"by"` // leader, or duty: the duty list-keeper
}

// DefaultConfig is one node that needs nothing but a folder.
func DefaultConfig() Config {
	return Config{ID: "r1", DataDir: "registry-data", Listen: "127.0.0.1:7800", Raft: "127.0.0.1:7801", LogFormat: "text",
		ExpiryGuard: ExpiryGuard{Fraction: 0.25, Minimum: 3, SuspendFor: Duration(10 * time.Minute), ExpiredBy: "leader"}, Watchers: 20000}
}

// Prefixes of environment variables. The deprecated one is from before the program
// was renamed; it is read where the present one is not set.
const (
	variablePrefix           = "REGISTRY_"
	deprecatedVariablePrefix = "TROUTREGISTRY_"
)

// DeprecatedVariable is an environment variable that was set under its earlier name.
type DeprecatedVariable struct {
	Name        string
	Replacement string // the present name
	Ignored     bool   // the present name was set, too
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

// configError names file, line and key.
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

func (c *Config) validate() error {
	if c.ID == "" {
		return errors.New("id: missing")
	}
	if c.DataDir == "" {
		return errors.New("data: missing")
	}
	if c.LogFormat != "text" && c.LogFormat != "json" {
		return fmt.Errorf("log: %q; text and json are allowed", c.LogFormat)
	}
	for key, addr := range map[string]string{"listen": c.Listen, "raft": c.Raft, "operator": c.Operator} {
		if key == "operator" && addr == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	if !(c.ExpiryGuard.Fraction > 0 && c.ExpiryGuard.Fraction <= 1) {
		return fmt.Errorf("lapse.share: %v; more than 0, 1 at most", c.ExpiryGuard.Fraction)
	}
	if c.ExpiryGuard.ExpiredBy != "leader" && c.ExpiryGuard.ExpiredBy != "duty" {
		return fmt.Errorf("lapse.by: %q; leader and duty are allowed", c.ExpiryGuard.ExpiredBy)
	}
	if c.ExpiryGuard.Minimum < 0 || c.Watchers < 1 {
		return errors.New("lapse.least, watchers: 0 and 1 at least")
	}
	if len(c.Peers) == 0 {
		c.Peers = []Peer{{c.ID, c.Raft, c.Listen}}
	}
	if n := len(c.Peers); n != 1 && n != 3 && n != 5 {
		return fmt.Errorf("peers: %d; a group has 1, 3 or 5 nodes", n)
	}
	seen := map[string]bool{}
	for i, p := range c.Peers {
		for _, x := range []string{"id " + p.ID, "raft " + p.Raft, "http " + p.HTTP} {
			if seen[x] || strings.HasSuffix(x, " ") {
				return fmt.Errorf("peers[%d]: %s: missing, or told twice", i, x)
			}
			seen[x] = true
		}
	}
	i := slices.IndexFunc(c.Peers, func(p Peer) bool { return p.ID == c.ID })
	if i < 0 {
		return fmt.Errorf("peers: none of them is %s, this node", c.ID)
	}
	zones := map[string]bool{}
	for i, z := range c.Zones {
		if z.Name == "" || z.Region == "" {
			return fmt.Errorf("zones[%d]: name and region are wanted", i)
		}
		if zones[z.Name] {
			return fmt.Errorf("zones[%d].name: %s is told twice", i, z.Name)
		}
		zones[z.Name] = true
	}
	for i, m := range c.Members {
		d := m.member()
		if err := d.Validate(); err != nil {
			return fmt.Errorf("members[%d]: %w", i, err)
		}
	}
	return nil
}

func (m *StaticMember) member() discovery.Member {
	size := m.Size
	if size == 0 {
		size = 1
	}
	return discovery.Member{ID: m.ID, HostPort: m.Address, Locality: m.Zone, Flavor: m.Flavor, Cell: m.Cell, Phase: discovery.Up, Size: size}
}
