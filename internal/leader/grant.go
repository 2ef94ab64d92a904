package leader

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"plovershore/internal/registry"
)

// The actions of the list service's routes below a role.
const (
	actionGrant   = "grant"
	actionNote    = "note"
	actionRelease = "release"
)

// Grant is a role while this process holds it. Its methods are safe for concurrent
// use; the exported fields are for the goroutine that runs the work. It ends by
// itself when the work returns.
type Grant struct {
	Role       string
	Token      int64  // the fencing token: greater than that of every grant before
	Term       int64  // grants of the role so far
	Note       string // the last checkpoint, at first that of the holder before
	Controller string // name of the controller that holds the role

	candidate *candidate
	ctx       context.Context
	cancel    context.CancelCauseFunc
	successor string // guarded by candidate.mu
}

// Context returns the context of the role's work. It ends when the role is no
// longer held, or when the work is to stop.
func (g *Grant) Context() context.Context { return g.ctx }

// SetSuccessor names the controller that is to acquire the role next.
func (g *Grant) SetSuccessor(controller string) {
	g.candidate.mu.Lock()
	defer g.candidate.mu.Unlock()
	g.successor = controller
}

// Save stores a checkpoint for the next holder, as an effect of the role. It
// returns ErrLeaseLost where the token is not the newest one.
func (g *Grant) Save(ctx context.Context, note string) error {
	if err := g.post(ctx, actionNote, registry.RoleRequest{Token: g.Token, Note: note}); err != nil {
		return err
	}
	g.candidate.mu.Lock()
	defer g.candidate.mu.Unlock()
	g.Note = note
	return nil
}

// Do sends a write to the list service as an effect of the role: the request
// carries the fencing token. Errors: ErrLeaseLost, and those of the client.
func (g *Grant) Do(ctx context.Context, method, path string, body, out any) error {
	fence := http.Header{registry.FenceHeader: {fmt.Sprintf("%s=%d", g.Role, g.Token)}}
	_, err := g.candidate.opts.Client.DoWith(ctx, method, path, fence, body, out)
	return g.checkFenced(err)
}

// confirmHealthAfterTTL reports that the work has not failed for one lease duration,
// which clears the role's count of failures.
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

// checkFenced ends the grant where the list service has rejected its token.
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
