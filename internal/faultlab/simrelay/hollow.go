// Package simrelay is what the lab and a process of hollow relays tell each other.
// A hollow relay (package relays) is a relay without sockets for messages, many of
// them in one process. It promises that every message that one took on is counted
// with one end, that each change of the list is booked with the moment at which
// the policy had it, and that a process tells how late its own stream was. What
// the figures mean is left to the lab.
package simrelay

import (
	"encoding/binary"
	"encoding/gob"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"plovershore/internal/discovery"
)

// Config is what a process of hollow relays is told.
type Config struct {
	Folder    string            `json:"folder"` // of the relays' logs
	Result    string            `json:"result"` // file of the Result, written at the end
	First     int               `json:"first"`  // number of the first relay in the fleet
	Discovery []string          `json:"discovery"`
	Fleet     int               `json:"fleet"`
	Seed      uint64            `json:"seed"`
	Settings  []json.RawMessage `json:"settings"` // one for each relay: the wire page's object
	Zones     []string          `json:"zones"`
	Flavors   []string          `json:"flavors"`
	DiskMB    int               `json:"disk_mb"`
	Stream    Stream            `json:"stream"`
}

// Stream is the synthetic traffic of one relay.
type Stream struct {
	Rate           float64       `json:"rate"` // messages a second
	Deadline       time.Duration `json:"deadline_ns"`
	Body           int           `json:"body"` // bytes of a message
	Classes        []StreamClass `json:"classes"`
	ConnectTimeout time.Duration `json:"connect_ns"` // after which a connection to a destination that is down is given up
	Down           Down          `json:"down"`
	Destinations   int           `json:"destinations"`
}

// StreamClass is one class of message and how long an endpoint takes for it.
type StreamClass struct {
	Name        string           `json:"name"`
	Fraction    float64          `json:"share"`
	ServiceTime [2]time.Duration `json:"took_ns"`
}

// Down says which destinations answer no connection at a moment. It is the same
// function in all processes: the destinations, shuffled by the seed, pass through
// a window of so many that moves on at a steady rate.
type Down struct {
	Seed     uint64        `json:"seed"`
	Fraction float64       `json:"share"`
	For      time.Duration `json:"for_ns"` // that each stays down
	Origin   int64         `json:"origin"` // Unix µs

	place []int // of each destination in the shuffled order
}

// Prepare shuffles so many destinations.
func (d *Down) Prepare(destinations int) {
	d.place = rand.New(rand.NewPCG(d.Seed, 0x646f776e)).Perm(destinations)
}

// Count is how many destinations are down at any moment.
func (d *Down) Count() int { return int(math.Round(d.Fraction * float64(len(d.place)))) }

// At reports whether a destination is down at a moment, in Unix µs.
func (d *Down) At(destination int, now int64) bool {
	count, all := d.Count(), len(d.place)
	if count == 0 || destination >= all {
		return false
	}
	moved := int(float64(max(0, now-d.Origin)) / float64(d.For.Microseconds()) * float64(count))
	return ((d.place[destination]-moved)%all+all)%all < count
}

// MemberHash is a hash of a member as the list has it. The hash of a list is the
// sum of its members', so that it is kept up by changes.
func MemberHash(m *discovery.Member) uint64 {
	h := fnv.New64a()
	for _, s := range []string{m.ID, m.HostPort, m.Locality, m.Flavor, m.Phase} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], uint64(m.Cell))
	binary.BigEndian.PutUint64(b[8:], math.Float64bits(m.Size))
	h.Write(b[:])
	return h.Sum64()
}

// ListHash is that of a whole list.
func ListHash(members []discovery.Member) (sum uint64) {
	for i := range members {
		if members[i].Phase != discovery.Removed {
			sum += MemberHash(&members[i])
		}
	}
	return sum
}

// ChangeKey names a change of one member by what the member became.
func ChangeKey(id, phase string, size float64) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, id, " ", phase)
	if phase != discovery.Removed {
		fmt.Fprint(h, " ", size)
	}
	return h.Sum64()
}

// AppliedChange is one change of a member and the moment at which the policy had it.
type AppliedChange struct {
	Key uint64
	At  int64 // Unix µs
}

// Counts are the messages of one relay.
type Counts struct {
	Offered              int64 `json:"offered"`
	Rejected             int64 `json:"refused"` // never taken on
	Accepted             int64 `json:"taken"`
	Delivered            int64 `json:"delivered"`
	Returned             int64 `json:"handed_back"`
	Failed               int64 `json:"given_up"`
	DuplicateCompletions int64 `json:"twice"` // ends of a message that had one
	InFlight             int64 `json:"held"`
	Calls                int64 `json:"calls"`
	Notices              int64 `json:"notices"` // that discovery has taken
}

// Add adds another relay's.
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

// Status is what a process says of its relays every StatusInterval, as a line of
// JSON on its output.
type Status struct {
	Relays  int            `json:"relays"`
	Hashes  map[string]int `json:"hashes"`  // relays by the hash of their list; not those without one
	Members map[int]int    `json:"members"` // relays by the size of their list
	Counts  Counts         `json:"counts"`
	LateP99 time.Duration  `json:"late_p99_ns"` // of the stream, from due to done
	LateMax time.Duration  `json:"late_max_ns"`
}

// Signals by which a process of hollow relays is told what to do.
const (
	StartTraffic = syscall.SIGUSR1 // messages come
	StopTraffic  = syscall.SIGUSR2 // no more messages come
	Finish       = syscall.SIGTERM // write the result and end
)

// StatusInterval is the time between two lines of Status.
const StatusInterval = 200 * time.Millisecond

// RelayResult is what came of one relay.
type RelayResult struct {
	Name          string
	Hash          uint64
	Members       int
	CompleteLists int // whole lists that it took
	Changes       []AppliedChange
	OutOfOrder    []string // news out of order
	Counts        Counts
	Pending       int // messages that its log owes at the end
	LogErr        string
}

// Result is what came of a process.
type Result struct {
	Relays  []RelayResult
	LateP99 time.Duration
	LateMax time.Duration
}

// LoadConfig reads the file of a process's configuration.
func LoadConfig(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("hollow: %w", err)
	}
	c := &Config{}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("hollow: configuration: %w", err)
	}
	switch {
	case len(c.Settings) == 0:
		return nil, errors.New("hollow: configuration: settings: none")
	case len(c.Discovery) == 0:
		return nil, errors.New("hollow: configuration: discovery: none")
	case len(c.Stream.Classes) == 0 || c.Stream.Destinations < 1:
		return nil, errors.New("hollow: configuration: stream: classes and destinations are wanted")
	}
	c.Stream.Down.Prepare(c.Stream.Destinations)
	return c, nil
}

// ReadResult reads the result of a process that has ended.
func ReadResult(path string) (*Result, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("hollow: %w", err)
	}
	defer f.Close()
	r := &Result{}
	if err := gob.NewDecoder(f).Decode(r); err != nil {
		return nil, fmt.Errorf("hollow: %s: %w", path, err)
	}
	return r, nil
}
