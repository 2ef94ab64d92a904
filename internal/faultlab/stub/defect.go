package stub

import (
	"os"
	"path/filepath"
	"strconv"
	"sync"
)

// Defect names the one rule that a stub breaks; empty for none.
type Defect string

// DefectEnv is the environment variable that holds the Defect.
const DefectEnv = "FAULTLAB_DEFECT"

// The defects. Those that concern single messages affect every defectEvery-th.
const (
	Drop         Defect = "drop"         // a message is accepted and forgotten
	Late         Defect = "late"         // a final response comes after the message's deadline
	Repeat       Defect = "repeat"       // a non-idempotent message is sent again after its delivery
	ReturnUnsafe Defect = "hand-back"    // a non-idempotent message that may have run is handed back
	SecondCopy   Defect = "second-copy"  // two attempts are in flight at once
	Thirteen     Defect = "thirteen"     // attempts have no limit
	IgnoreWait   Defect = "ignore-wait"  // Retry-After is ignored
	IgnoreDrain  Defect = "ignore-drain" // draining and removed endpoints are used
	AfterEnd     Defect = "after-end"    // a message is sent after its final response
	BusySent     Defect = "busy-sent"    // a message is rejected and sent all the same
	AnswerTwice  Defect = "answer-twice" // a client gets two answers
	WrongPlace   Defect = "wrong-place"  // a message goes to another destination
	Altered      Defect = "altered"      // a message's body is changed
	Leak         Defect = "leak"         // memory is never freed
	LeakFiles    Defect = "leak-files"   // file descriptors are never closed
	FillDisk     Defect = "fill-disk"    // the state directory grows
	SlowTerm     Defect = "slow-term"    // SIGTERM is ignored
	HangUpExit   Defect = "hang-up-exit" // SIGHUP ends the process
	IgnorePeers  Defect = "keep-peers"   // invalid peers get neither an error nor a close
	Topple       Defect = "topple"       // retries without a pause overload a recovering destination
)

// defectEvery is the number of messages of which a defect affects one.
const defectEvery = 10

const (
	leakedBytes       = 1 << 20 // per message
	pageBytes         = 4096
	leakedDescriptors = 10       // per message
	leakedFileBytes   = 64 << 10 // per message
)

// affects reports whether the defect strikes a message now.
func (r *relay) affects(d Defect, m *message) bool {
	return r.defect == d && m.number%defectEvery == 0
}

// hoard holds what the leaking defects never release. Safe for concurrent use.
type leakedResources struct {
	mu     sync.Mutex
	memory [][]byte
	files  []*os.File
}

// leak uses up the resource that the defect is about, a little with each message.
func (r *relay) leakResource(number int64) {
	r.leaked.mu.Lock()
	defer r.leaked.mu.Unlock()
	switch r.defect {
	case Leak:
		block := make([]byte, leakedBytes)
		for i := 0; i < len(block); i += pageBytes {
			block[i] = 1 // a page counts once it is written to
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
		_ = os.WriteFile(path, make([]byte, leakedFileBytes), 0o600) // the disk may be full: that is the point
	}
}
