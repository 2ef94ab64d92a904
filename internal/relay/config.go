package relay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"strconv"
	"syscall"

	"plovershore/internal/discovery"
	"plovershore/internal/settings"
	"plovershore/internal/wal"
	"plovershore/internal/wire"
	"plovershore/policy"
)

// ConnectHook is called before each connect to an endpoint. If it returns an error, the
// connect fails with that error.
type ConnectHook func(network, address string, conn syscall.RawConn) error

// Config is the configuration of a relay, as LoadConfig returns it. It must not be changed
// while the relay runs.
type Config struct {
	Name       string // name of the relay, unique in its fleet
	Listen     string // address for clients
	Discovery  string // address of the discovery service
	StateDir   string // directory of the log; it must be kept when the process ends
	Operator   string // address for operators; empty for none
	Seed       uint64 // seed of the policy's random choices
	Limits     Limits
	KnownList  *discovery.List // the last endpoint list that this relay had; may be outdated, or nil
	Policy     policy.Settings
	Durability wal.Durability // which failures an accepted message survives
	FS         wal.FS         // file system of the log; nil for that of the operating system
	Connect    ConnectHook    // called before each connect; nil for none

	// Indexes in the policy's settings, by the names in the settings.
	zones, kinds, classes, tenants map[string]int

	loadFields []string // names of the fields of a load report
}

// LoadConfig reads the configuration file that ROUTER_CONFIG names. ROUTER_NAME,
// ROUTER_LISTEN, ROUTER_DISCOVERY, ROUTER_STATE and ROUTER_OPERATOR override its values.
// An error names the invalid key.
func LoadConfig(getenv func(string) string) (*Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return nil, errors.New("ROUTER_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	return parseConfig(text, getenv)
}

// WatchDiscoveryAddress reads the configuration file again at each signal and sends the
// address of the discovery service in it, regardless of ROUTER_DISCOVERY: the environment
// of a process cannot change after its start. An invalid file is logged and otherwise
// ignored. The caller passes the returned channel to Run. The goroutine that sends to it
// ends when signals is closed and no address waits to be received.
func WatchDiscoveryAddress(signals <-chan os.Signal, getenv func(string) string, log *slog.Logger) <-chan string {
	addresses := make(chan string)
	go func() {
		for range signals {
			addr, err := readDiscoveryAddress(getenv("ROUTER_CONFIG"))
			if err != nil {
				log.Error("configuration not reloaded", "err", err)
				continue
			}
			addresses <- addr
		}
	}()
	return addresses
}

func readDiscoveryAddress(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	var file struct {
		Discovery string `json:"discovery"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return "", fmt.Errorf("config: %w", err)
	}
	if _, _, err := net.SplitHostPort(file.Discovery); err != nil {
		return "", fmt.Errorf("config: discovery: %w", err)
	}
	return file.Discovery, nil
}

// configFile is the JSON object in the configuration file.
type configFile struct {
	Name        string          `json:"name"`
	Listen      string          `json:"listen"`
	Discovery   string          `json:"discovery"`
	State       string          `json:"state"`
	Operator    string          `json:"operator"`
	Seed        json.RawMessage `json:"seed"`
	Limits      Limits          `json:"limits"`
	KnownList   *discovery.List `json:"known"`
	Settings    json.RawMessage `json:"settings"`
	Durability  string          `json:"promise"`
	MaxResident *int            `json:"resident"`
}

// parseConfig parses a configuration file and applies the environment variables that
// override it.
func parseConfig(text []byte, getenv func(string) string) (*Config, error) {
	file, err := parseConfigFile(text)
	if err != nil {
		return nil, err
	}
	c := &Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, StateDir: file.State, Operator: file.Operator,
		Limits: file.Limits, KnownList: file.KnownList}
	if err := c.applyEnvironment(getenv); err != nil {
		return nil, err
	}
	if err := c.validateAddresses(); err != nil {
		return nil, err
	}
	if c.Durability, err = parseDurability(file.Durability); err != nil {
		return nil, err
	}
	if c.Seed, err = parseSeed(file.Seed); err != nil {
		return nil, fmt.Errorf("config: seed: %w", err)
	}
	if err := c.Limits.applyDefaults(); err != nil {
		return nil, fmt.Errorf("config: limits.%w", err)
	}
	if file.MaxResident != nil && *file.MaxResident < 0 {
		return nil, fmt.Errorf("config: resident: %d, want 0 or more", *file.MaxResident)
	}
	if len(file.Settings) == 0 {
		return nil, errors.New("config: settings: missing")
	}
	if err := c.parseSettings(file.Settings); err != nil {
		return nil, err
	}
	c.Policy.MaxResidentMessages = defaultMaxResident(c.Limits.MemoryMB)
	if file.MaxResident != nil {
		c.Policy.MaxResidentMessages = *file.MaxResident
	}
	return c, nil
}

func parseConfigFile(text []byte) (*configFile, error) {
	file := &configFile{}
	err := json.Unmarshal(text, file)
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &wrongType):
		return nil, fmt.Errorf("config: %s: wrong type %s", wrongType.Field, wrongType.Value)
	case err != nil:
		return nil, fmt.Errorf("config: %w", err)
	}
	return file, nil
}

// applyEnvironment applies the environment variables and returns an error if a required
// value is set neither there nor in the file.
func (c *Config) applyEnvironment(getenv func(string) string) error {
	for _, v := range []struct {
		env, key string
		value    *string
	}{
		{"ROUTER_NAME", "name", &c.Name},
		{"ROUTER_LISTEN", "listen", &c.Listen},
		{"ROUTER_DISCOVERY", "discovery", &c.Discovery},
		{"ROUTER_STATE", "state", &c.StateDir},
	} {
		if s := getenv(v.env); s != "" {
			*v.value = s
		}
		if *v.value == "" {
			return fmt.Errorf("config: %s: missing, and %s is not set", v.key, v.env)
		}
	}
	if s := getenv("ROUTER_OPERATOR"); s != "" {
		c.Operator = s
	}
	return nil
}

func (c *Config) validateAddresses() error {
	for _, v := range []struct {
		key, addr string
		optional  bool
	}{{"listen", c.Listen, false}, {"discovery", c.Discovery, false}, {"operator", c.Operator, true}} {
		if v.optional && v.addr == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(v.addr); err != nil {
			return fmt.Errorf("config: %s: %w", v.key, err)
		}
	}
	return nil
}

// parseDurability parses what an accepted message must survive: the end of the process,
// which is the default, or a loss of power.
func parseDurability(text string) (wal.Durability, error) {
	switch text {
	case "", "process":
		return wal.SurvivesCrash, nil
	case "power":
		return wal.SurvivesPowerLoss, nil
	}
	return 0, fmt.Errorf("config: promise: %q; process and power are allowed", text)
}

// parseSettings parses the settings object and indexes the names in it.
func (c *Config) parseSettings(text []byte) error {
	s, err := wire.ParseSettings(text)
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	if c.Policy, err = settings.ToPolicy(s); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	if err := c.Policy.Validate(); err != nil {
		return fmt.Errorf("config: settings: %w", err)
	}
	// A real connection carries one call at a time, unlike the connections of the
	// simulator, which uses the same settings.
	c.Policy.StreamsPerConnection = 1
	var names struct {
		Localities []string `json:"localities"`
	}
	if err := json.Unmarshal(text, &names); err != nil {
		return fmt.Errorf("config: settings: localities: %w", err)
	}
	c.loadFields = s.Report.Fields
	c.zones, c.kinds = indexByName(names.Localities), indexByName(s.Kinds)
	c.classes, c.tenants = map[string]int{}, map[string]int{}
	for i, class := range s.Classes {
		c.classes[class.Name] = i
	}
	for i, account := range s.Accounts {
		c.tenants[account.Name] = i
	}
	return nil
}

func indexByName(names []string) map[string]int {
	index := make(map[string]int, len(names))
	for i, name := range names {
		index[name] = i
	}
	return index
}

// indexOf returns the index of a name, or -1 if the settings don't have it.
func indexOf(index map[string]int, name string) int {
	if i, ok := index[name]; ok {
		return i
	}
	return -1
}

// parseSeed parses a JSON string of up to 64 bits in hexadecimal, or a decimal number.
func parseSeed(raw json.RawMessage) (uint64, error) {
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) {
		return 0, errors.New("missing")
	}
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return strconv.ParseUint(s, 16, 64)
	}
	return strconv.ParseUint(string(raw), 10, 64)
}

// isKeyed reports whether messages of a class carry an idempotency key.
func (c *Config) isKeyed(class int) bool {
	return c.Policy.Classes[class].Idempotency == policy.IdempotentByKey
}

// isNonIdempotent reports whether messages of a class must not take effect twice.
func (c *Config) isNonIdempotent(class string) bool {
	i, ok := c.classes[class]
	return ok && c.Policy.Classes[i].Idempotency == policy.NonIdempotent
}
