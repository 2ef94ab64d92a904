package leader

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"plovershore/internal/clock"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
)

// Options configure Run.
type Options struct {
	Client  *client.Client  // of the list service
	Name    string          // of this controller, for people; two may share one
	TTL     time.Duration   // of the session: another candidate takes over after it
	Roles   map[string]Work // the roles to campaign for
	Log     *slog.Logger
	Metrics *Metrics     // nil for none
	Clock   *clock.Clock // nil for the machine's
}

// candidate campaigns for roles on behalf of one process. All of its grants hang
// on one session.
type candidate struct {
	opts    Options
	started time.Time // by opts.Clock; lease times are offsets from it

	mu              sync.Mutex
	session         string
	lease           Lease
	watchdog        *time.Timer // cancels all grants when the lease expires
	grants          map[string]*Grant
	unstopped       map[string]bool                 // roles whose work has not returned after its grant ended
	lastTokens      map[string]int64                // of the latest grant of each role
	pendingReleases map[string]registry.RoleRequest // releases that the list service has not confirmed
	notBefore       map[string]time.Time            // when a role may be requested again
	view            registry.RoleList               // the latest state of all roles
	vacantSince     map[string]time.Time            // when a role was first seen without a holder
	changed         chan struct{}                   // wakes the campaign; capacity 1
	wg              sync.WaitGroup
}

func newCandidate(opts Options) *candidate {
	if opts.Metrics == nil {
		opts.Metrics = NewMetrics()
	}
	return &candidate{
		opts:            opts,
		started:         opts.Clock.Mono(),
		grants:          map[string]*Grant{},
		unstopped:       map[string]bool{},
		lastTokens:      map[string]int64{},
		pendingReleases: map[string]registry.RoleRequest{},
		notBefore:       map[string]time.Time{},
		vacantSince:     map[string]time.Time{},
		changed:         make(chan struct{}, 1),
	}
}

// Run campaigns for the roles of opts and does the work of those it acquires, until
// ctx ends; then it stops the work, releases the roles and closes the session. It
// returns an error only where no session can be opened.
func Run(ctx context.Context, opts Options) error {
	c := newCandidate(opts)
	c.opts.Metrics.observeLease(c)
	if err := c.openSession(ctx); err != nil {
		return IgnoreCancellation(ctx, err)
	}
	// Heartbeats go on until the work has stopped and its roles are released.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	c.spawn(func() { c.sendHeartbeats(background) })
	c.spawn(func() { c.watchRoles(background) })
	c.campaign(ctx)
	c.resign()
	stop()
	c.wg.Wait()
	return nil
}

// spawn runs f in a goroutine that Run waits for.
func (c *candidate) spawn(f func()) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		f()
	}()
}

// elapsed returns the time since the start by the candidate's clock.
func (c *candidate) elapsed() time.Duration { return c.opts.Clock.Mono().Sub(c.started) }

// hasLease reports whether the lease is valid. c.mu is held.
func (c *candidate) hasLease() bool { return c.lease.Remaining(c.elapsed()) > 0 }

// wakeCampaign has the campaign check the roles again.
func (c *candidate) wakeCampaign() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// Sleep waits for d and reports true, or reports false as soon as ctx ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
