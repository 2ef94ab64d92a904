package scenario

// Fault is one entry of the schedule. Times and durations are in seconds.
type Fault struct {
	Kind         string   `toml:"kind"`
	At           float64  `toml:"at"`
	For          float64  `toml:"for"`    // after which it is undone
	Every        float64  `toml:"every"`  // interval of its repetition until the load ends; 0 for none
	Fraction     float64  `toml:"share"`  // of its possible targets, drawn anew each time; at least one
	Zone         string   `toml:"zone"`   // of its targets
	Relays       []int    `toml:"relays"` // its targets by number, in place of a draw
	Destinations []int    `toml:"cells"`  // the same for destinations
	Spread       float64  `toml:"spread"` // over which its targets are struck one by one
	Direction    string   `toml:"way"`    // cut, delay: DirectionForth, DirectionBack or DirectionBoth; clock: the direction of the step, drawn for DirectionBoth
	Folder       string   `toml:"folder"` // kill, term: the state that the next process finds
	File         string   `toml:"file"`   // corruption: a file of the relay's state
	MS           float64  `toml:"ms"`     // delay; clock: the size of the step, in milliseconds
	Factor       float64  `toml:"factor"` // slow, limits; evacuate: fraction of endpoints that each destination retains, 0.5 by default
	Rate         float64  `toml:"rate"`   // turnaway, throttle; evacuate: endpoints a second, 2 by default
	Kinds        []string `toml:"kinds"`  // of its target upstreams
	Node         string   `toml:"node"`   // node-*, warden-*: NodeLeader and others, in place of a draw
	Role         string   `toml:"duty"`   // warden-*: the role whose leader is struck, count by default
}

// Kinds of fault, as scenario files have them.
const (
	FaultKill     = "kill"    // SIGKILL, then a new process
	FaultTerm     = "term"    // SIGTERM, then a new process
	FaultSuspend  = "pause"   // SIGSTOP, then SIGCONT
	FaultHangUp   = "hup"     // discovery's address changes, and SIGHUP says so
	FaultUpgrade  = "upgrade" // a new process takes over from the present one
	FaultClock    = "clock"   // the machine's wall clock is stepped
	FaultFailover = "salvage" // the relay is lost and its messages are migrated

	FaultFlipBit    = "flip" // corruptions of a file while its relay is down
	FaultTruncate   = "tear"
	FaultZero       = "zero"
	FaultDeleteFile = "gone"

	FaultCut      = "cut" // faults of links
	FaultDelay    = "delay"
	FaultThrottle = "throttle"
	FaultReset    = "reset"
	FaultHalfOpen = "halfopen"

	FaultDown   = "down"   // connections to the endpoint are refused
	FaultSilent = "silent" // the endpoint answers nothing
	FaultDrain  = "drain"  // the endpoint drains, is removed and comes back

	FaultSlow    = "slow" // faults of upstreams
	FaultFail    = "fail"
	FaultClose   = "shut"
	FaultLose    = "lose"
	FaultCorrupt = "spoil"
	FaultBreak   = "break"
	FaultLimits  = "limits"

	FaultRateLimit = "turnaway" // discovery serves few calls
	FaultQuiet     = "quiet"    // discovery writes nothing

	FaultNodeKill    = "node-kill" // faults of the list service
	FaultNodeSuspend = "node-pause"
	FaultNodeCut     = "node-cut"
	FaultExpiry      = "lapse"   // registrations expire
	FaultRestore     = "restore" // the list is restored from a backup

	FaultControllerKill    = "warden-kill"
	FaultControllerSuspend = "warden-pause"
	FaultControllerCut     = "warden-cut"

	FaultRollout  = "rollout"  // all relays are restarted in waves
	FaultEvacuate = "evacuate" // a zone is drained and returned
)

// Target is what a fault strikes. Its text is part of a schedule's description.
type Target string

// The targets.
const (
	TargetRelay        Target = "relay"
	TargetLink         Target = "link"
	TargetEndpoint     Target = "endpoint"
	TargetUpstream     Target = "partner"
	TargetDiscovery    Target = "discovery"
	TargetNode         Target = "node"
	TargetRegistration Target = "registration"
	TargetGroup        Target = "group"
	TargetController   Target = "warden"
	TargetFleet        Target = "fleet"
	TargetZone         Target = "zone"
)

// Targets gives what each kind of fault strikes.
var Targets = map[string]Target{
	FaultKill:              TargetRelay,
	FaultTerm:              TargetRelay,
	FaultSuspend:           TargetRelay,
	FaultHangUp:            TargetRelay,
	FaultUpgrade:           TargetRelay,
	FaultClock:             TargetRelay,
	FaultFailover:          TargetRelay,
	FaultFlipBit:           TargetRelay,
	FaultTruncate:          TargetRelay,
	FaultZero:              TargetRelay,
	FaultDeleteFile:        TargetRelay,
	FaultCut:               TargetLink,
	FaultDelay:             TargetLink,
	FaultThrottle:          TargetLink,
	FaultReset:             TargetLink,
	FaultHalfOpen:          TargetLink,
	FaultDown:              TargetEndpoint,
	FaultSilent:            TargetEndpoint,
	FaultDrain:             TargetEndpoint,
	FaultSlow:              TargetUpstream,
	FaultFail:              TargetUpstream,
	FaultClose:             TargetUpstream,
	FaultLose:              TargetUpstream,
	FaultCorrupt:           TargetUpstream,
	FaultBreak:             TargetUpstream,
	FaultLimits:            TargetUpstream,
	FaultRateLimit:         TargetDiscovery,
	FaultQuiet:             TargetDiscovery,
	FaultNodeKill:          TargetNode,
	FaultNodeSuspend:       TargetNode,
	FaultNodeCut:           TargetNode,
	FaultExpiry:            TargetRegistration,
	FaultRestore:           TargetGroup,
	FaultControllerKill:    TargetController,
	FaultControllerSuspend: TargetController,
	FaultControllerCut:     TargetController,
	FaultRollout:           TargetFleet,
	FaultEvacuate:          TargetZone,
}

// Corrupts reports whether the fault corrupts a file while its relay is down.
func (f *Fault) Corrupts() bool {
	switch f.Kind {
	case FaultFlipBit, FaultTruncate, FaultZero, FaultDeleteFile:
		return true
	}
	return false
}

// Values of Fault.Folder: the state that a relay's next process finds.
const (
	FolderIntact = "kept"
	FolderLost   = "lost"  // none
	FolderOlder  = "older" // that of a moment before
)

// Values of Fault.Node: whom a fault of the list service or its controllers
// strikes, by what they are at that moment.
const (
	NodeLeader   = "leader"
	NodeFollower = "follower"
	NodeAll      = "all"
	NodeHolder   = "holder" // of Fault.Role
)

// Values of Fault.Direction, from the client's side of a link.
const (
	DirectionForth = "forth"
	DirectionBack  = "back"
	DirectionBoth  = "both"
)

var (
	folders    = []string{FolderIntact, FolderLost, FolderOlder}
	nodes      = []string{NodeLeader, NodeFollower, NodeAll, NodeHolder}
	directions = []string{DirectionForth, DirectionBack, DirectionBoth}
)
