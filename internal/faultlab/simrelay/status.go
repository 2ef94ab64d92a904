package simrelay

import (
	"encoding/gob"
	"fmt"
	"os"
	"syscall"
	"time"
)

// Signals that a process of simulated relays obeys.
const (
	StartTraffic = syscall.SIGUSR1 // messages arrive
	StopTraffic  = syscall.SIGUSR2 // no more messages arrive
	Finish       = syscall.SIGTERM // write the result and exit
)

// StatusInterval is the time between two lines of Status.
const StatusInterval = 200 * time.Millisecond

// Counts count the messages of one relay, or of several.
type Counts struct {
	Offered              int64 `json:"offered"`
	Rejected             int64 `json:"refused"` // never accepted
	Accepted             int64 `json:"taken"`
	Delivered            int64 `json:"delivered"`
	Returned             int64 `json:"handed_back"`
	Failed               int64 `json:"given_up"`
	DuplicateCompletions int64 `json:"twice"` // of messages that were completed
	InFlight             int64 `json:"held"`
	Calls                int64 `json:"calls"`
	Notices              int64 `json:"notices"` // that discovery has accepted
}

// Add adds another relay's counts.
func (c *Counts) Add(x Counts) {
	c.Offered += x.Offered
	c.Rejected += x.Rejected
	c.Accepted += x.Accepted
	c.Delivered += x.Delivered
	c.Returned += x.Returned
	c.Failed += x.Failed
	c.DuplicateCompletions += x.DuplicateCompletions
	c.InFlight += x.InFlight
	c.Calls += x.Calls
	c.Notices += x.Notices
}

// Status is what a process writes of its relays every StatusInterval, as a line of
// JSON on its output.
type Status struct {
	Relays  int            `json:"relays"`
	Hashes  map[string]int `json:"hashes"`  // relays by the hash of their list; not those without one
	Members map[int]int    `json:"members"` // relays by the size of their list
	Counts  Counts         `json:"counts"`
	LateP99 time.Duration  `json:"late_p99_ns"` // of the traffic
	LateMax time.Duration  `json:"late_max_ns"`
}

// AppliedChange is a change of a member and the moment at which the policy had it.
type AppliedChange struct {
	Key uint64
	At  int64 // Unix µs
}

// RelayResult is the result of one relay.
type RelayResult struct {
	Name          string
	Hash          uint64
	Members       int
	CompleteLists int // complete lists that it received
	Changes       []AppliedChange
	OutOfOrder    []string // updates out of order, described
	Counts        Counts
	Pending       int // messages in its log without a completion
	LogErr        string
}

// Result is the result of a process.
type Result struct {
	Relays  []RelayResult
	LateP99 time.Duration
	LateMax time.Duration
}

// ReadResult reads the result of a process that has ended.
func ReadResult(path string) (*Result, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("simrelay: %w", err)
	}
	defer f.Close()
	r := &Result{}
	if err := gob.NewDecoder(f).Decode(r); err != nil {
		return nil, fmt.Errorf("simrelay: %s: %w", path, err)
	}
	return r, nil
}
