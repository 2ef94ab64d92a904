package simrelay

import (
	"encoding/gob"
	"fmt"
	"os"
	"syscall"
	"time"
)

// Signals that control a process of simulated relays.
const (
	StartTraffic = syscall.SIGUSR1 // the relays begin to make messages
	StopTraffic  = syscall.SIGUSR2 // the relays make no more messages
	Finish       = syscall.SIGTERM // the process writes its result and exits
)

// StatusInterval is the time between two status lines.
const StatusInterval = 200 * time.Millisecond

// Counts counts the messages of one relay, or of several together.
type Counts struct {
	Offered              int64 `json:"offered"`
	Rejected             int64 `json:"refused"` // rejected on arrival, so never accepted
	Accepted             int64 `json:"taken"`
	Delivered            int64 `json:"delivered"`
	Returned             int64 `json:"handed_back"`
	Failed               int64 `json:"given_up"`
	DuplicateCompletions int64 `json:"twice"` // further completions of messages that already had one
	InFlight             int64 `json:"held"`
	Calls                int64 `json:"calls"`
	Notices              int64 `json:"notices"` // notices that discovery has accepted
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

// Status is the state of a process's relays. The process writes one to its standard output
// every StatusInterval, as a line of JSON.
type Status struct {
	Relays  int            `json:"relays"`
	Hashes  map[string]int `json:"hashes"`  // number of relays for each hash of their lists; relays that have no list yet are left out
	Members map[int]int    `json:"members"` // number of relays for each length of their lists
	Counts  Counts         `json:"counts"`
	LateP99 time.Duration  `json:"late_p99_ns"` // 99th percentile and maximum (LateMax) of the delay with which messages were made
	LateMax time.Duration  `json:"late_max_ns"`
}

// AppliedChange is a change of a member and the time at which a relay's policy received
// it.
type AppliedChange struct {
	Key uint64
	At  int64 // microseconds of Unix time
}

// RelayResult is the final state of one relay.
type RelayResult struct {
	Name          string
	Hash          uint64
	Members       int
	CompleteLists int // complete lists that the relay has received
	Changes       []AppliedChange
	OutOfOrder    []string // descriptions of changes that came before the first complete list, or with a revision that was not higher than the last
	Counts        Counts
	Pending       int // messages without a completion in the relay's log
	LogErr        string
}

// Result is what a process writes when it ends: the result of each relay, and how late
// messages were made.
type Result struct {
	Relays  []RelayResult
	LateP99 time.Duration
	LateMax time.Duration
}

// ReadResult reads the result file of a process that has ended.
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
