package relay

import (
	"cmp"
	"fmt"
	"runtime/debug"
)

// collectorMemoryPercent is the percentage of the memory limit that the garbage collector
// keeps to. The rest is for files and for memory that it does not see.
const collectorMemoryPercent = 70

// Limits are the resources that the relay may use on its machine. In the configuration
// file, 0 selects the default of a limit.
type Limits struct {
	Cores    float64 `json:"cores"`     // default 1
	MemoryMB int     `json:"memory_mb"` // in MiB; default 192
	Sockets  int     `json:"sockets"`   // file descriptors; default 1024
	DiskMB   int     `json:"disk_mb"`   // size of the log in MiB; default 3
}

// ApplyToCollector makes the garbage collector of this process keep to the memory limit.
func (l Limits) ApplyToCollector() {
	debug.SetMemoryLimit(int64(l.MemoryMB) << 20 / 100 * collectorMemoryPercent)
}

const (
	memoryLimitPerMessages = 4       // the memory limit divided by what the messages in memory may take
	residentMessageBytes   = 2 << 10 // estimated memory of one message
	minMaxResident         = 1000    // messages
)

// defaultMaxResident returns how many messages may be in memory if the configuration does
// not say. It is at least minMaxResident, so that a busy hour does not reach the limit.
func defaultMaxResident(memoryMB int) int {
	return max(memoryMB<<20/memoryLimitPerMessages/residentMessageBytes, minMaxResident)
}

// applyDefaults sets the limits that are 0 to their defaults and rejects impossible ones.
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
	l.Cores = cmp.Or(l.Cores, 1)
	l.MemoryMB = cmp.Or(l.MemoryMB, 192)
	l.Sockets = cmp.Or(l.Sockets, 1024)
	l.DiskMB = cmp.Or(l.DiskMB, 3)
	return nil
}

const (
	reservedSockets = 32 // file descriptors for the runtime, the log, the listener and discovery
	minSockets      = 64 // minimum number of file descriptors of a relay
)

// socketBudget splits the file descriptors between connections of clients and connections
// to endpoints. Each call in flight needs one, so the endpoints get enough for the maximum
// number of calls, but at least a quarter of what is available and at most half.
func (c *Config) socketBudget() (clients, endpoints int) {
	available := c.Limits.Sockets - reservedSockets - c.maxOperatorConns()
	endpoints = min(max(available/4, c.Policy.MaxCalls+8), available/2)
	return available - endpoints, endpoints
}

// commandMemoryLimit returns how many bytes the commands of all clients may take. It has
// space for at least one command.
func (c *Config) commandMemoryLimit() int {
	return max(c.Limits.MemoryMB<<20/memoryLimitPerCommands, 2*maxCommandBytes)
}

// maxOperatorConns returns how many connections the operator address may have open.
func (c *Config) maxOperatorConns() int {
	if c.Operator == "" {
		return 0
	}
	return min(maxOperatorConns, c.Limits.Sockets/8)
}
