package registry

import (
	"fmt"
	"net/http"
)

// Op names what a command does. Its text stands in the Raft log.
type Op string

// The operations of commands. Their texts are kept from earlier versions: nodes of
// several versions share one log during a rolling upgrade.
const (
	OpAdd    Op = "add"    // register a member, or change one
	OpPhase  Op = "phase"  // set a member's phase to up or draining
	OpRemove Op = "remove" // remove a member
	OpExpire Op = "lapse"  // remove several members without a heartbeat for their time to live
	OpEpoch  Op = "epoch"  // begin an epoch: the group is new, or was restored
	OpZone   Op = "zone"   // set or clear a zone's region

	OpSession    Op = "session"     // open a controller's session
	OpSessionEnd Op = "session-end" // end sessions: closed, or expired
	OpGrant      Op = "grant"       // grant a free role to a session
	OpNote       Op = "note"        // save the holder's note, or record that its work succeeds
	OpRelease    Op = "release"     // the holder releases a role
	OpDisable    Op = "hold"        // operators: disable a role, or enable it again
	OpOperation  Op = "order"       // operators: create an operation, or change its desired state
	OpProgress   Op = "progress"    // the role's holder reports an operation's progress
)

// Command is one entry of the Raft log. Which fields are set depends on Op. The JSON
// keys are kept from earlier versions for the same reason as the texts of Op.
type Command struct {
	// Request is the client's id of the request. A second command with the same id
	// changes nothing and has the first one's result.
	Request string `json:"request"`
	Op      Op     `json:"op"`

	Member    Member           `json:"member,omitzero"`
	ID        string           `json:"id,omitempty"`
	Phase     string           `json:"phase,omitempty"`
	Holder    string           `json:"holder,omitempty"` // if set, the command is rejected unless the member has this Holder
	IfChanged int64            `json:"if,omitempty"`     // if set, the command is rejected unless the member has this Changed
	Expired   map[string]int64 `json:"lapsed,omitempty"` // the Since of each member to remove, keyed by member id

	Epoch  string `json:"epoch,omitempty"`
	Zone   string `json:"zone,omitempty"`
	Region string `json:"region,omitempty"` // empty to clear the zone's region

	Session        Session          `json:"session,omitzero"`
	EndedSessions  []string         `json:"ended,omitempty"`  // ids of the sessions to end
	LeaseDurations map[string]int64 `json:"lasted,omitempty"` // ms for which an expired session held each role; nil from an older leader

	// Role is the role that the command is about, or on whose behalf it is sent. If it
	// is set, the command is rejected unless Token is the role's current fencing token.
	// Commands that open or end a session, grant a role or disable one need no token.
	Role      string `json:"duty,omitempty"`
	Token     int64  `json:"token,omitempty"`
	Note      string `json:"note,omitempty"`
	Successor string `json:"next,omitempty"`   // release: name of the controller that gets the role next
	Healthy   bool   `json:"good,omitempty"`   // note: the work succeeds, and Note is not set
	Failed    bool   `json:"failed,omitempty"` // release, session-end: counts as a failure of the work
	LeaseLost bool   `json:"lost,omitempty"`   // release: the lease was lost while the work ran
	Disabled  bool   `json:"off,omitempty"`    // OpDisable: true disables the role, false enables it again

	Operation Operation `json:"order,omitzero"`

	// At is the leader's time in Unix milliseconds. Replicas use it since they must not
	// read their own clocks.
	At int64 `json:"at,omitempty"`
}

// Result is the outcome of a command. Results are part of the replicated state, so
// every version has to give a command the same one, the text of Error included.
type Result struct {
	Revision int64  `json:"revision"`
	Status   int    `json:"status"` // an HTTP status code
	Error    string `json:"error,omitempty"`
	Changed  int64  `json:"changed,omitempty"` // revision of the member's last change
	Token    int64  `json:"token,omitempty"`   // the role's current token, after a grant, a note or a release, and after a rejected grant or token
	Note     string `json:"note,omitempty"`    // result of a grant: the note that the previous holder left
	Term     int64  `json:"term,omitempty"`    // result of a grant: number of the role's grants so far
}

func succeeded() Result { return Result{Status: http.StatusOK} }

func rejected(status int, format string, args ...any) Result {
	return Result{Status: status, Error: fmt.Sprintf(format, args...)}
}
