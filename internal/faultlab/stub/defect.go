package stub

import (
	"os"
	"path/filepath"
	"strconv"
	"sync"
)

// Defect names the one protocol rule that a stub breaks. The empty Defect breaks none.
type Defect string

// DefectEnv is the environment variable from which a stub reads its Defect.
const DefectEnv = "FAULTLAB_DEFECT"

// The defects. A defect of single messages affects one in defectEvery messages.
const (
	Drop         Defect = "drop"         // a message is accepted but never sent
	Late         Defect = "late"         // a final response comes after the message's deadline
	Repeat       Defect = "repeat"       // a non-idempotent message is sent again after its delivery
	ReturnUnsafe Defect = "hand-back"    // a non-idempotent message that may have run is returned
	SecondCopy   Defect = "second-copy"  // a message has two attempts in flight at the same time
	Thirteen     Defect = "thirteen"     // the number of attempts has no limit
	IgnoreWait   Defect = "ignore-wait"  // Retry-After is ignored
	IgnoreDrain  Defect = "ignore-drain" // draining and removed endpoints receive calls
	AfterEnd     Defect = "after-end"    // a message is sent after its final response
	BusySent     Defect = "busy-sent"    // a message is rejected and sent nevertheless
	AnswerTwice  Defect = "answer-twice" // a client gets two answers to one request
	WrongPlace   Defect = "wrong-place"  // a message goes to another destination
	Altered      Defect = "altered"      // a message's body is changed
	Leak         Defect = "leak"         // memory is never freed
	LeakFiles    Defect = "leak-files"   // file descriptors are never closed
	FillDisk     Defect = "fill-disk"    // the state directory grows
	SlowTerm     Defect = "slow-term"    // SIGTERM is ignored
	HangUpExit   Defect = "hang-up-exit" // SIGHUP ends the process
	IgnorePeers  Defect = "keep-peers"   // a peer that sends no valid request gets no error and is not disconnected
	Topple       Defect = "topple"       // retries without a pause overload a recovering destination
)

// defectEvery is the interval of message numbers at which a defect of single messages
// occurs.
const defectEvery = 10

const (
	leakedBytes       = 1 << 20 // per message
	pageBytes         = 4096
	leakedDescriptors = 10       // per message
	leakedFileBytes   = 64 << 10 // per message
)

// affects reports whether the stub has the defect and it affects the message.
func (r *relay) affects(d Defect, m *message) bool {
	return r.defect == d && m.number%defectEvery == 0
}

// leakedResources holds what the defects Leak and LeakFiles never release. It is safe for
// concurrent use.
type leakedResources struct {
	mu     sync.Mutex
	memory [][]byte
	files  []*os.File
}

// leakResource uses up some of the resource that the stub's defect leaks, for each message
// that arrives.
func (r *relay) leakResource(number int64) {
	r.leaked.mu.Lock()
	defer r.leaked.mu.Unlock()
	switch r.defect {
	case Leak:
		block := make([]byte, leakedBytes)
		for i := 0; i < len(block); i += pageBytes {
			block[i] = 1 // a page becomes resident only once it is written to
		}
		r.leaked.memory = append(r.leaked.memory, block)
	case LeakFiles:
		for range leakedDescriptors {
			if f, err := os.Open(os.DevNull); err == nil {
				r.leaked.files = append(r.leaked.files, f)
			}
		}
	case FillDisk:
		path := filepath.Join(r.stateDir, strconv.FormatInt(number, 10))
		_ = os.WriteFile(path, make([]byte, leakedFileBytes), 0o600) // an error is expected once the disk is full
	}
}
