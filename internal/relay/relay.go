// Package relay runs one message relay: it accepts messages from clients, keeps
// them in a write-ahead log and forwards them to endpoints. Every decision (what
// to admit, when and where to send, what to give up) is made by package policy;
// this package turns sockets, discovery and the log into the policy's events and
// carries out its actions.
package relay

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"plovershore/internal/backlog"
	"plovershore/internal/discovery"
	"plovershore/internal/mailbox"
	"plovershore/internal/wal"
	"plovershore/policy"
)

// message is the loop's state of a message, from its submission until it is
// completed and its last call has returned.
type message struct {
	number            uint32 // the policy's number of the message
	class             int    // index in the settings; -1 if the settings no longer have the class
	record            *wal.Record
	request           *putRequest // the client's request until the policy's decision; then nil
	isAcknowledged    bool        // the client was told that the message is accepted
	isLogged          bool        // the message was submitted to the log
	isCompleted       bool        // the policy has completed the message or was told that it is completed
	isTransferred     bool        // another process of this relay is responsible for the message
	hasRemoteCall     bool        // another process of this relay has a call of the message in flight
	attempts          int
	pendingBatch      *batch         // batch whose send waits for acknowledgements; nil for none
	pendingCompletion *wal.Record    // completion that waits for the acknowledgement; nil for none
	pendingSpill      *backlog.Entry // spill that waits for the acknowledgement; nil for none
	call              *call
	receivedAt        time.Time   // when its request was received, or when this process recovered the message
	deadlineSpan      policy.Time // span in the overdue counter; 0 for none
}

// batch holds the messages that one policy step sends to an endpoint in one call. It
// is sent once the clients of all its messages are acknowledged.
type batch struct {
	endpoint   *endpoint
	callNumber uint32 // the policy's number of the call
	sends      []send
	bodyBytes  int // sum of batchItemSize of the added messages; an upper bound of the size of the call's body
}

// send is one message of a batch, with the time limits of its attempt.
type send struct {
	message   *message
	timeoutAt policy.Time // time at which the attempt times out
	sendBy    policy.Time // the first byte must be sent before this time; 0 for no limit
}

func (b *batch) remove(m *message) {
	b.sends = slices.DeleteFunc(b.sends, func(s send) bool { return s.message == m })
}

// Relay is one running relay. Unless their types say otherwise, only the loop's
// goroutine may use its fields; other goroutines send events to the mailbox.
type Relay struct {
	cfg     *Config
	log     *slog.Logger
	ctx     context.Context // done when Run ends; ends all calls and background goroutines
	mailbox *mailbox.Mailbox[event]
	clients *clientServer
	metrics *metrics
	ready   *atomic.Bool // whether readyz answers 200

	clock     relayClock
	wallClock clockWatch

	policy *policy.Policy
	step   policyStep
	timers timerQueue
	drain  drainState

	messages  messageTable
	delivered recentDeliveries
	overdue   overdueCounter
	spilled   spillState
	endpoints endpointTable

	idleConns     int              // maximum idle connections to each endpoint
	connPool      connectionPool   // connections to all endpoints
	idleResets    idleResetTracker // resets of calls to all endpoints together
	callsInFlight int

	wal            *wal.Log
	recovery       recoveryState
	notices        *discovery.Notices
	pendingNotices []*completionNotice // notices whose completions may not be logged yet

	ownership      ownership
	shutdown       shutdownState
	deferredEvents []event // events received before the loop ran
	published      publishedGauges
	background     sync.WaitGroup // goroutines that end after ctx is done
}

// messageTable holds the messages that are in memory.
type messageTable struct {
	byNumber    map[uint32]*message
	byID        map[string]*message
	unanswered  map[*putRequest]*message // messages whose clients have no response yet
	remoteCalls map[string]*message      // messages whose calls the previous process has in flight, by id
	pending     int                      // number of messages neither completed nor transferred, including spilled ones
	lastNumber  uint32
}

func newMessageTable() messageTable {
	return messageTable{byNumber: map[uint32]*message{}, byID: map[string]*message{}, unanswered: map[*putRequest]*message{}}
}

// recoveryState describes what this process does not know yet of the previous one.
type recoveryState struct {
	isRunning         bool // pending messages are still being read from the log
	isDowntimeUnknown bool // it is unknown how long no process ran before this one
}

// newRelay creates a relay without a log and without a server for clients.
func newRelay(ctx context.Context, cfg *Config, log *slog.Logger, relayPolicy *policy.Policy) *Relay {
	return &Relay{cfg: cfg, log: log, ctx: ctx, policy: relayPolicy,
		mailbox:   mailbox.New[event](),
		metrics:   newMetrics(cfg.Policy.Classes),
		ready:     &atomic.Bool{},
		clock:     relayClock{startedAt: time.Now()},
		wallClock: newClockWatch(),
		messages:  newMessageTable(),
		endpoints: newEndpointTable(),
		drain:     drainState{marker: newDrainMarker(cfg.StateDir)},
	}
}
