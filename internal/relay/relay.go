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

// message is what the loop knows of a message, from its submission until it is
// completed and its last call has returned.
type message struct {
	number            uint32 // the policy's number of it
	class             int    // index in the settings; -1 where they no longer name it
	record            *wal.Record
	request           *putRequest // until it is answered
	isAcknowledged    bool        // its client knows that it is accepted
	isLogged          bool        // it is submitted to the log
	isCompleted       bool        // the policy completed it, or was told that it is
	isTransferred     bool        // another process of this relay is responsible for it
	hasRemoteCall     bool        // another process of this relay has its call in flight
	attempts          int
	pendingBatch      *batch         // a send that waits for acknowledgements
	pendingCompletion *wal.Record    // its completion, likewise
	pendingSpill      *backlog.Entry // its spill to the log, likewise
	call              *call
	receivedAt        time.Time   // when its request came, or when this process recovered it
	deadlineSpan      policy.Time // its span in the overdue counter; 0 for none
}

// batch is what one policy step sends to one endpoint as one call. It goes out
// once the clients of all its messages are acknowledged.
type batch struct {
	endpoint   *endpoint
	callNumber uint32 // of the call, as the policy numbers it
	sends      []send
	bodyBytes  int // upper bound of its body
}

// send is one message's place in a batch.
type send struct {
	message   *message
	timeoutAt policy.Time // when the attempt times out
	sendBy    policy.Time // no byte of it may go out later; 0 for no limit
}

func (b *batch) remove(m *message) {
	b.sends = slices.DeleteFunc(b.sends, func(s send) bool { return s.message == m })
}

// Relay is one running relay. All fields belong to the goroutine of its loop
// unless their types say otherwise; others reach it through the mailbox.
type Relay struct {
	cfg     *Config
	log     *slog.Logger
	ctx     context.Context // ends with the process's part of all calls
	mailbox *mailbox.Mailbox[event]
	clients *clientServer
	metrics *metrics
	ready   *atomic.Bool // what readyz answers

	clock     relayClock
	wallClock clockWatch

	policy     *policy.Policy
	step       policyStep
	timers     timerQueue
	isDraining bool // the policy has this process reject clients

	messages  messageTable
	overdue   overdueCounter
	spilled   spillState
	endpoints endpointTable

	idleConns     int              // kept for each endpoint at most
	pool          connectionPool   // the connections to all endpoints
	idle          idleResetTracker // of all endpoints together
	callsInFlight int

	wal            *wal.Log
	recovery       recoveryState
	notices        *discovery.Notices
	pendingNotices []*completionNotice // whose completions may not be in the log yet

	ownership      ownership
	shutdown       shutdownState
	deferredEvents []event // that came before the loop ran
	published      publishedGauges
	background     sync.WaitGroup // goroutines that end with ctx
}

// messageTable holds the messages in memory.
type messageTable struct {
	byNumber    map[uint32]*message
	byID        map[string]*message
	unanswered  map[*putRequest]*message // whose clients have no answer yet
	remoteCalls map[string]*message      // whose calls another process has in flight
	pending     int                      // accepted and not completed, spilled ones among them
	lastNumber  uint32
}

func newMessageTable() messageTable {
	return messageTable{byNumber: map[uint32]*message{}, byID: map[string]*message{}, unanswered: map[*putRequest]*message{}}
}

// recoveryState tells what is still unknown of the time before this process.
type recoveryState struct {
	isRunning    bool // pending messages are still being read from the log
	isGapUnknown bool // how long no process ran before this one
}

// newRelay makes a relay with neither log nor clients.
func newRelay(ctx context.Context, cfg *Config, log *slog.Logger, decider *policy.Policy) *Relay {
	return &Relay{cfg: cfg, log: log, ctx: ctx, policy: decider,
		mailbox:   mailbox.New[event](),
		metrics:   newMetrics(cfg.Policy.Classes),
		ready:     &atomic.Bool{},
		clock:     relayClock{startedAt: time.Now()},
		wallClock: newClockWatch(),
		messages:  newMessageTable(),
		endpoints: newEndpointTable(),
	}
}
