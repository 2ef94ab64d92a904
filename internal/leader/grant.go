package leader

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"plovershore/internal/registry"
)

// Last elements of the list service's paths for the actions on a role.
const (
	actionGrant   = "grant"
	actionNote    = "note"
	actionRelease = "release"
)

// Grant represents a role that this process holds. It ends when the work of the role
// returns, or stopTimeout after its context has ended if the work has not returned by then. Its methods are safe for concurrent use; its exported fields may be read
// only by the goroutine that runs the work.
type Grant struct {
	Role       string
	Token      int64  // the fencing token; greater than the tokens of all earlier grants
	Term       int64  // number of grants of the role so far, this one included
	Note       string // the latest checkpoint; initially that of the previous holder
	Controller string // name of the controller that holds the role

	candidate *candidate
	ctx       context.Context
	cancel    context.CancelCauseFunc
	successor string // guarded by candidate.mu
}

// Context returns the context of the role's work. It ends when this process no longer
// holds the role, or when the work is to stop.
func (g *Grant) Context() context.Context { return g.ctx }

// SetSuccessor sets the name of the controller that is to acquire the role after this
// grant.
func (g *Grant) SetSuccessor(controller string) {
	g.candidate.mu.Lock()
	defer g.candidate.mu.Unlock()
	g.successor = controller
}

// Save stores a checkpoint for the next holder at the list service. It returns
// ErrLeaseLost if the grant's token is outdated, and otherwise errors of the client.
func (g *Grant) Save(ctx context.Context, note string) error {
	if err := g.post(ctx, actionNote, registry.RoleRequest{Token: g.Token, Note: note}); err != nil {
		return err
	}
	g.candidate.mu.Lock()
	defer g.candidate.mu.Unlock()
	g.Note = note
	return nil
}

// Do sends a write to the list service with the grant's fencing token. It returns
// ErrLeaseLost if the token is outdated, and otherwise errors of the client.
func (g *Grant) Do(ctx context.Context, method, path string, body, out any) error {
	fence := http.Header{registry.FenceHeader: {fmt.Sprintf("%s=%d", g.Role, g.Token)}}
	_, err := g.candidate.opts.Client.DoWith(ctx, method, path, fence, body, out)
	return g.checkFenced(err)
}

// confirmHealthAfterTTL waits for one lease duration and then, if the grant has not
// ended, reports to the list service that the work is healthy. This resets the role's
// count of failures.
func (g *Grant) confirmHealthAfterTTL() {
	if !Sleep(g.ctx, g.candidate.opts.TTL) {
		return
	}
	err := g.post(g.ctx, actionNote, registry.RoleRequest{Token: g.Token, Healthy: true})
	if err != nil && g.ctx.Err() == nil {
		g.candidate.opts.Log.Warn("role health report failed", "role", g.Role, "token", g.Token, "err", err)
	}
}

func (g *Grant) post(ctx context.Context, action string, request registry.RoleRequest) error {
	_, err := g.candidate.opts.Client.Do(ctx, http.MethodPost, rolePath(g.Role, action), request, nil)
	return g.checkFenced(err)
}

// checkFenced ends the grant and returns ErrLeaseLost if err is the list service's
// rejection of the grant's token. It returns any other error as it is.
func (g *Grant) checkFenced(err error) error {
	if !isFenced(err) {
		return err
	}
	g.candidate.opts.Metrics.recordFenced(g)
	g.cancel(ErrLeaseLost)
	return fmt.Errorf("%w: %w", ErrLeaseLost, err)
}

func rolePath(role, action string) string {
	return registry.RolesPath + "/" + url.PathEscape(role) + "/" + action
}
