package relay

import (
	"errors"
	"slices"
	"sync"
	"time"
)

// Clients decide how much memory their commands take until they are answered, and a peer
// may stop within a command. The number of connections alone does not bound the sum, so
// commands reserve their memory from a common budget. When that is used up, a command
// waits for a while, and the oldest commands that are still incomplete give up theirs.
// A command without memory is read to its end, dropped and answered with BUSY, so that
// its connection and its client's message stay usable.

const (
	// unreservedCommandBytes is the size up to which a command needs no reservation, so
	// that small ones are served whatever the large ones do.
	unreservedCommandBytes = 2 << 10
	// memoryLimitPerCommands is the relay's memory limit divided by the budget of all
	// commands. The rest is for connections, the log, pending messages, calls and garbage.
	memoryLimitPerCommands = 8
	// revocationDelay is how long a command waits for memory before older incomplete
	// ones give up theirs, and the age from which they have to.
	revocationDelay = 50 * time.Millisecond
	// revocationTimeout is how long a command then waits for their memory.
	revocationTimeout = 50 * time.Millisecond
)

// errNoCommandMemory reports a command that was dropped because there was no memory for
// its arguments. The position in the stream is then the start of the next command.
var errNoCommandMemory = errors.New("no memory for the command")

// commandMemory is the memory budget of the commands of all clients. It is safe for
// concurrent use.
type commandMemory struct {
	mu      sync.Mutex
	limit   int                   // bytes
	used    int                   // bytes
	reading []*commandReservation // commands with memory that are still incomplete, oldest first
	waiting []*memoryRequest      // in the order in which they are granted
}

// memoryRequest is a command that waits for memory.
type memoryRequest struct {
	reservation *commandReservation
	bytes       int
	done        chan struct{} // closed when the request has ended
	isGranted   bool
}

// commandReservation is the memory of one command, from its first byte to its response.
// The goroutine that reads the command calls begin, reserve and finishReading, in this
// order. Any goroutine may call the other methods, and release more than once. After
// release or finishReading it is not interrupted any more.
type commandReservation struct {
	memory    *commandMemory
	interrupt func() // ends a read in progress when the reservation is revoked; must not block
	startedAt time.Time
	announced int // bytes of the arguments so far; used by the reader alone

	// Guarded by memory.mu.
	bytes      int // reserved
	isRevoked  bool
	isReleased bool
}

func newCommandMemory(limit int) *commandMemory { return &commandMemory{limit: limit} }

// setLimit changes the budget. Memory that is reserved already stays so.
func (m *commandMemory) setLimit(limit int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = limit
	m.grantWaiting()
}

// begin returns the empty reservation of a command whose first byte has arrived.
// interrupt is called if the command has to give up its memory while it is incomplete.
func (m *commandMemory) begin(interrupt func()) *commandReservation {
	return &commandReservation{memory: m, interrupt: interrupt, startedAt: time.Now()}
}

// reserve reserves memory for the next argument. If there is none in time, or if the
// reservation was revoked, it returns errNoCommandMemory.
func (r *commandReservation) reserve(size int) error {
	r.announced += size
	m := r.memory
	m.mu.Lock()
	missing := max(r.announced-unreservedCommandBytes, 0) - r.bytes
	switch {
	case r.isRevoked:
		m.mu.Unlock()
		return errNoCommandMemory
	case missing <= 0:
		m.mu.Unlock()
		return nil
	case len(m.waiting) == 0 && m.used+missing <= m.limit:
		m.grant(r, missing)
		m.mu.Unlock()
		return nil
	}
	request := &memoryRequest{reservation: r, bytes: missing, done: make(chan struct{})}
	m.waiting = append(m.waiting, request)
	m.mu.Unlock()
	if !m.await(request) {
		return errNoCommandMemory
	}
	return nil
}

// await waits until the request has ended, and reports whether it was granted. It makes
// older incomplete commands give up their memory after revocationDelay.
func (m *commandMemory) await(request *memoryRequest) bool {
	timer := time.NewTimer(revocationDelay)
	defer timer.Stop()
	select {
	case <-request.done:
		return request.isGranted
	case <-timer.C:
	}
	m.revokeFor(request)
	timer.Reset(revocationTimeout)
	select {
	case <-request.done:
		return request.isGranted
	case <-timer.C:
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endRequest(request)
	m.grantWaiting()
	return request.isGranted
}

// grant adds memory to a reservation. The caller holds mu.
func (m *commandMemory) grant(r *commandReservation, bytes int) {
	if r.bytes == 0 {
		m.reading = append(m.reading, r)
	}
	r.bytes += bytes
	m.used += bytes
}

// grantWaiting grants requests, in their order, while there is memory. The caller holds mu.
func (m *commandMemory) grantWaiting() {
	for len(m.waiting) > 0 && m.used+m.waiting[0].bytes <= m.limit {
		request := m.waiting[0]
		m.grant(request.reservation, request.bytes)
		request.isGranted = true
		m.endRequest(request)
	}
}

// endRequest removes a request, unless it has ended. The caller holds mu.
func (m *commandMemory) endRequest(request *memoryRequest) {
	if i := slices.Index(m.waiting, request); i >= 0 {
		m.waiting = slices.Delete(m.waiting, i, i+1)
		close(request.done)
	}
}

// revokeFor revokes the reservations of the oldest incomplete commands until enough
// memory for a request is to become free. It spares commands that began less than
// revocationDelay ago.
func (m *commandMemory) revokeFor(request *memoryRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !slices.Contains(m.waiting, request) {
		return
	}
	freed := m.limit - m.used
	for _, r := range m.reading {
		switch {
		case freed >= request.bytes || time.Since(r.startedAt) < revocationDelay:
			return
		case r == request.reservation:
			continue
		case !r.isRevoked:
			m.revoke(r)
		}
		freed += r.bytes
	}
}

// revoke makes a command give up its memory. The caller holds mu.
func (m *commandMemory) revoke(r *commandReservation) {
	r.isRevoked = true
	for _, request := range m.waiting {
		if request.reservation == r {
			m.endRequest(request)
			break
		}
	}
	r.interrupt()
}

// wasRevoked reports whether the command has to give up its memory.
func (r *commandReservation) wasRevoked() bool {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	return r.isRevoked
}

// finishReading records that the command is complete, so that it keeps its memory until
// it is released.
func (r *commandReservation) finishReading() {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.memory.removeReading(r)
}

// release frees the memory of a command that was answered or dropped.
func (r *commandReservation) release() {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.isReleased {
		return
	}
	r.isReleased = true
	m.removeReading(r)
	m.used -= r.bytes
	m.grantWaiting()
}

// removeReading removes a command from those that are incomplete. The caller holds mu.
func (m *commandMemory) removeReading(r *commandReservation) {
	if i := slices.Index(m.reading, r); i >= 0 {
		m.reading = slices.Delete(m.reading, i, i+1)
	}
}
