package failover

import (
	"slices"

	"plovershore/internal/discovery"
	"plovershore/internal/wal"
)

// retryAfterMS is the number of milliseconds after which the platform may submit a
// returned message again.
const retryAfterMS = 500

// FinalNotice returns the notice for a message that will not be forwarded any more. A
// message with a corrupt record fails: only its id is known, so it may be of a class that
// is not idempotent.
func FinalNotice(record *wal.Record, idempotentClasses []string) discovery.Notice {
	switch {
	case record.Notice != "": // complete; the platform may have received this notice already
		return discovery.Notice{Message: record.ID, Outcome: record.Notice, RetryMS: record.RetryMS}
	case record.Corrupted || record.UnknownOutcomeAt != 0 && !slices.Contains(idempotentClasses, record.Class):
		return discovery.Notice{Message: record.ID, Outcome: discovery.Failed}
	}
	return discovery.Notice{Message: record.ID, Outcome: discovery.Returned, RetryMS: retryAfterMS}
}
