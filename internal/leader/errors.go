package leader

import (
	"context"
	"errors"
	"net/http"

	"plovershore/internal/registry/client"
)

// Errors of a grant. Each is also the cause with which the context of the role's
// work is canceled; callers match them with errors.Is.
var (
	// ErrLeaseLost reports that the lease has expired, or that a newer grant of the
	// role exists.
	ErrLeaseLost = errors.New("leader: lease lost")
	// ErrStopping reports that the process is shutting down: the work is to save its
	// progress and return.
	ErrStopping = errors.New("leader: controller is stopping")
	// ErrRoleDisabled reports that operators have taken the role from its holder.
	ErrRoleDisabled = errors.New("leader: role disabled by operators")
)

// IgnoreCancellation returns nil if ctx has ended, since err is then assumed to be a
// result of the cancellation. Otherwise it returns err.
func IgnoreCancellation(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// hasStatus reports whether err is a rejection by the list service with the given HTTP
// status.
func hasStatus(err error, status int) bool {
	var rejected *client.RejectedError
	return errors.As(err, &rejected) && rejected.Status == status
}

// isFenced reports whether err is the list service's rejection of an outdated token.
func isFenced(err error) bool { return hasStatus(err, http.StatusPreconditionFailed) }
