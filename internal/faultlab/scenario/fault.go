package scenario

// Fault is one entry of the fault schedule. Times and durations are in seconds. Where
// a comment names kinds of fault, the field has no effect on others.
type Fault struct {
	Kind         string   `toml:"kind"`
	At           float64  `toml:"at"`     // when it first strikes, from the start of the load
	For          float64  `toml:"for"`    // duration after which it is undone
	Every        float64  `toml:"every"`  // interval at which it strikes again until the load ends; 0 for a single strike
	Fraction     float64  `toml:"share"`  // fraction of its possible targets that it strikes, drawn again for each strike, at least one target; 0 for all
	Zone         string   `toml:"zone"`   // zone of its targets; for a link, the zone whose border the link crosses
	Relays       []int    `toml:"relays"` // relays that it may strike, by number; empty for all
	Destinations []int    `toml:"cells"`  // destinations that it may strike, by number; empty for all
	Spread       float64  `toml:"spread"` // duration over which its targets are struck one after another; 0 for all at once
	Direction    string   `toml:"way"`    // cut, delay, throttle: direction of the link that is affected, both by default; clock: direction of the step, drawn for DirectionBoth
	Folder       string   `toml:"folder"` // kill, term: the state that the next process finds
	File         string   `toml:"file"`   // flip, tear, zero, gone: the file in the state directory that is corrupted
	MS           float64  `toml:"ms"`     // delay: added delay; clock: size of the step; both in milliseconds
	Factor       float64  `toml:"factor"` // slow: factor on the service time; limits: factor on the limit; fail, lose, spoil, break: fraction of calls; each of these is 1 by default; evacuate: smallest fraction of its endpoints that each destination retains, 0.5 by default
	Rate         float64  `toml:"rate"`   // turnaway: calls a second; throttle: bytes a second; evacuate: endpoints a second, 2 by default
	Kinds        []string `toml:"kinds"`  // kinds of upstream that it may strike; empty for all
	Node         string   `toml:"node"`   // node-*, warden-*: whom it strikes, by state, such as NodeLeader; in place of a draw
	Role         string   `toml:"duty"`   // warden-*: role whose leader NodeHolder strikes, count by default
}

// Kinds of fault, as they are called in scenario files.
const (
	FaultKill     = "kill"    // SIGKILL, then a new process
	FaultTerm     = "term"    // SIGTERM, then a new process
	FaultSuspend  = "pause"   // SIGSTOP, then SIGCONT
	FaultHangUp   = "hup"     // discovery's address changes, and SIGHUP makes the relay read its new configuration
	FaultUpgrade  = "upgrade" // a new process takes over from the running one
	FaultClock    = "clock"   // the wall clock of the relay's machine is stepped
	FaultFailover = "salvage" // the relay is lost, and its messages are migrated

	FaultFlipBit    = "flip" // these corrupt a file while its relay is down
	FaultTruncate   = "tear"
	FaultZero       = "zero"
	FaultDeleteFile = "gone"

	FaultCut      = "cut" // these are faults of links between relays and endpoints
	FaultDelay    = "delay"
	FaultThrottle = "throttle"
	FaultReset    = "reset"
	FaultHalfOpen = "halfopen"

	FaultEndpointDown   = "down"   // connections to the endpoint are refused
	FaultEndpointSilent = "silent" // the endpoint answers nothing
	FaultDrain          = "drain"  // the endpoint drains, is removed and returns

	FaultSlow             = "slow" // these are faults of upstreams
	FaultFailCalls        = "fail"
	FaultRejectCalls      = "shut"
	FaultLoseResponses    = "lose"
	FaultCorruptResponses = "spoil"
	FaultResetRequests    = "break"
	FaultScaleLimits      = "limits"

	FaultRateLimit       = "turnaway" // discovery limits its calls to Fault.Rate
	FaultSilentDiscovery = "quiet"    // discovery stops writing the endpoint list

	FaultNodeKill    = "node-kill" // these are faults of the list service's nodes
	FaultNodeSuspend = "node-pause"
	FaultNodeCut     = "node-cut"
	FaultExpiry      = "lapse"   // registrations expire
	FaultRestore     = "restore" // the list is restored from a backup

	FaultControllerKill    = "warden-kill" // these are faults of controllers
	FaultControllerSuspend = "warden-pause"
	FaultControllerCut     = "warden-cut"

	FaultRollout  = "rollout"  // all relays are restarted in waves
	FaultEvacuate = "evacuate" // a zone is drained and put back into service
)

// Target is the kind of thing that a fault strikes. Its text appears in the
// description of a schedule.
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

// Targets maps each kind of fault to the kind of thing that it strikes.
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
	FaultEndpointDown:      TargetEndpoint,
	FaultEndpointSilent:    TargetEndpoint,
	FaultDrain:             TargetEndpoint,
	FaultSlow:              TargetUpstream,
	FaultFailCalls:         TargetUpstream,
	FaultRejectCalls:       TargetUpstream,
	FaultLoseResponses:     TargetUpstream,
	FaultCorruptResponses:  TargetUpstream,
	FaultResetRequests:     TargetUpstream,
	FaultScaleLimits:       TargetUpstream,
	FaultRateLimit:         TargetDiscovery,
	FaultSilentDiscovery:   TargetDiscovery,
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

// Values of Fault.Folder: the state directory that a relay's next process finds.
const (
	FolderIntact = "kept"  // as the process before left it
	FolderLost   = "lost"  // empty
	FolderOlder  = "older" // as it was shortly before the strike
)

// Values of Fault.Node: which nodes or controllers a fault strikes, by their state at
// the moment of the strike.
const (
	NodeLeader   = "leader"
	NodeFollower = "follower"
	NodeAll      = "all"
	NodeHolder   = "holder" // the controller that holds Fault.Role
)

// Values of Fault.Direction. On a link, forth is from the client to the server.
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
