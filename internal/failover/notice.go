package failover

import (
	"slices"

	"plovershore/internal/discovery"
	"plovershore/internal/wal"
)

// retryAfterMS is when a returned message may be submitted again.
const retryAfterMS = 500

// FinalNotice returns the notice of a message that will not be forwarded any more. A
// corrupt record, of which only the id is known, may be of any class.
func FinalNotice(r *wal.Record, idempotentClasses []string) discovery.Notice {
	switch {
	case r.Notice != "": // complete already: its platform may have received the notice
		return discovery.Notice{Message: r.ID, Outcome: r.Notice, RetryMS: r.RetryMS}
	case r.Corrupted || r.UnknownOutcomeAt != 0 && !slices.Contains(idempotentClasses, r.Class):
		return discovery.Notice{Message: r.ID, Outcome: discovery.Failed}
	}
	return discovery.Notice{Message: r.ID, Outcome: discovery.Returned, RetryMS: retryAfterMS}
}
