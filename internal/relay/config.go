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

// Limits are those of the relay's machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   int     `json:"disk_mb"`
}

// ConnectHook is called before each connect to an endpoint; its error is the connect's.
type ConnectHook func(network, address string, conn syscall.RawConn) error

// Config is everything that a relay is told before it starts.
type Config struct {
	Name       string
	Listen     string
	Discovery  string
	StateDir   string // the folder that outlasts the process
	Operator   string // where the staff's calls come in; empty for nowhere
	Seed       uint64
	Limits     Limits
	KnownList  *discovery.List // the list as this relay last had it, maybe old
	Policy     policy.Settings
	Durability wal.Durability // what a message that was taken on outlives
	FS         wal.FS         // of the log; nil for the machine's own
	Connect    ConnectHook    // nil for none
	zones      map[string]int
	kinds      map[string]int
	classes    map[string]int
	tenants    map[string]int
	loadFields []string // fields of a load report
}

// LoadConfig reads the file that ROUTER_CONFIG names. What the environment
// says of name, addresses and state folder comes before the file.
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

// WatchDiscoveryAddress reads the file that ROUTER_CONFIG names again at each signal, and gives
// discovery's address as it stands there: the environment is as old as the
// process. A file that cannot be used leaves everything as it was.
func WatchDiscoveryAddress(signals <-chan os.Signal, getenv func(string) string, log *slog.Logger) <-chan string {
	moved := make(chan string)
	go func() {
		for range signals {
			addr, err := readDiscoveryAddress(getenv("ROUTER_CONFIG"))
			if err != nil {
				log.Error("not reconfigured", "err", err)
				continue
			}
			moved <- addr
		}
	}()
	return moved
}

func readDiscoveryAddress(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	var f struct {
		Discovery string `json:"discovery"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return "", fmt.Errorf("config: %w", err)
	}
	if _, _, err := net.SplitHostPort(f.Discovery); err != nil {
		return "", fmt.Errorf("config: discovery: %w", err)
	}
	return f.Discovery, nil
}

func parseConfig(text []byte, getenv func(string) string) (*Config, error) {
	var f struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		State     string          `json:"state"`
		Operator  string          `json:"operator"`
		Seed      json.RawMessage `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     *discovery.List `json:"known"`
		Settings  json.RawMessage `json:"settings"`
		Promise   string          `json:"promise"`
		Resident  *int            `json:"resident"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		var te *json.UnmarshalTypeError
		if errors.As(err, &te) {
			return nil, fmt.Errorf("config: %s: wrong type %s", te.Field, te.Value)
		}
		return nil, fmt.Errorf("config: %w", err)
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, StateDir: f.State, Limits: f.Limits, KnownList: f.Known}
	for _, v := range []struct {
		env, key string
		to       *string
	}{{"ROUTER_NAME", "name", &c.Name}, {"ROUTER_LISTEN", "listen", &c.Listen},
		{"ROUTER_DISCOVERY", "discovery", &c.Discovery}, {"ROUTER_STATE", "state", &c.StateDir}} {
		if s := getenv(v.env); s != "" {
			*v.to = s
		}
		if *v.to == "" {
			return nil, fmt.Errorf("config: %s: missing, and %s is not set", v.key, v.env)
		}
	}
	if c.Operator = f.Operator; getenv("ROUTER_OPERATOR") != "" {
		c.Operator = getenv("ROUTER_OPERATOR")
	}
	for key, addr := range map[string]string{"listen": c.Listen, "discovery": c.Discovery, "operator": c.Operator} {
		if key == "operator" && addr == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, fmt.Errorf("config: %s: %w", key, err)
		}
	}
	switch f.Promise {
	case "", "process":
	case "power":
		c.Durability = wal.SurvivesPowerLoss
	default:
		return nil, fmt.Errorf("config: promise: %q; process and power are allowed", f.Promise)
	}
	var err error
	if c.Seed, err = parseSeed(f.Seed); err != nil {
		return nil, fmt.Errorf("config: seed: %w", err)
	}
	if err := c.Limits.applyDefaults(); err != nil {
		return nil, fmt.Errorf("config: limits.%w", err)
	}
	if f.Resident != nil && *f.Resident < 0 {
		return nil, fmt.Errorf("config: resident: %d, want 0 or more", *f.Resident)
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("config: settings: missing")
	}
	if err := c.parseSettings(f.Settings); err != nil {
		return nil, err
	}
	if c.Policy.MaxResidentMessages = defaultMaxResident(c.Limits.MemoryMB); f.Resident != nil {
		c.Policy.MaxResidentMessages = *f.Resident
	}
	return c, nil
}

// defaultMaxResident is how many messages may be in memory where nothing else is told: a
// quarter of the memory at 2 KB each, and not so few that a busy hour meets it.
func defaultMaxResident(memoryMB int) int { return max(memoryMB<<20/4/(2<<10), minMaxResident) }

const minMaxResident = 1000

// parseSettings maps the settings object and the names in it.
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
	// On sockets a connection carries one call at a time, whatever the
	// simulator's connections carry.
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
	for i, x := range s.Classes {
		c.classes[x.Name] = i
	}
	for i, x := range s.Accounts {
		c.tenants[x.Name] = i
	}
	return nil
}

func indexByName(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, n := range names {
		m[n] = i
	}
	return m
}

// parseSeed takes 64 bits in hexadecimal, or a plain number.
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

// applyDefaults puts in what is left out, and tells of limits that cannot be.
func (l *Limits) applyDefaults() error {
	switch {
	case l.Cores < 0:
		return fmt.Errorf("cores: %v, want 0 or more", l.Cores)
	case l.MemoryMB < 0:
		return fmt.Errorf("memory_mb: %d, want 0 or more", l.MemoryMB)
	case l.Sockets < 0 || l.Sockets > 0 && l.Sockets < minSockets:
		return fmt.Errorf("sockets: %d, want at least %d", l.Sockets, minSockets)
	case l.DiskMB < 0:
		return fmt.Errorf("disk_mb: %d, want 0 or more", l.DiskMB)
	}
	if l.Cores == 0 {
		l.Cores = 1
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = 192
	}
	if l.Sockets == 0 {
		l.Sockets = 1024
	}
	if l.DiskMB == 0 {
		l.DiskMB = 3
	}
	return nil
}

// Descriptors: what the runtime, the log, the listener and discovery hold, and
// the least that a relay can work with.
const (
	reservedSockets = 32
	minSockets      = 64
)

// socketBudget splits the descriptors between clients and endpoints. A call out
// needs one each, so the endpoints' part is never under the slots as long as
// the clients keep half.
func (c *Config) socketBudget() (clients, endpoints int) {
	free := c.Limits.Sockets - reservedSockets - c.maxOperatorConns()
	endpoints = min(max(free/4, c.Policy.MaxCalls+8), free/2)
	return free - endpoints, endpoints
}

// maxOperatorConns is how many connections the operator address may hold.
func (c *Config) maxOperatorConns() int {
	if c.Operator == "" {
		return 0
	}
	return min(maxOperatorConns, c.Limits.Sockets/8)
}

func (c *Config) isKeyed(class int) bool {
	return c.Policy.Classes[class].Idempotency == policy.IdempotentByKey
}
