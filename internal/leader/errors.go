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
	// ErrLeaseLost reports that the lease has expired, or that the grant's token is
	// not the newest one.
	ErrLeaseLost = errors.New("leader: lease lost")
	// ErrStopping reports that the process is shutting down: the work saves its
	// progress and returns.
	ErrStopping = errors.New("leader: controller is stopping")
	// ErrRoleDisabled reports that operators have taken the role from its holder.
	ErrRoleDisabled = errors.New("leader: role disabled by operators")
)

// IgnoreCancellation returns nil where ctx has ended, since err is then a result of
// that, and err otherwise.
func IgnoreCancellation(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// hasStatus reports whether err is the list service's rejection with an HTTP status.
func hasStatus(err error, status int) bool {
	var rejected *client.RejectedError
	return errors.As(err, &rejected) && rejected.Status == status
}

// isFenced reports whether the list service has rejected an effect for its token.
func isFenced(err error) bool { return hasStatus(err, http.StatusPreconditionFailed) }
