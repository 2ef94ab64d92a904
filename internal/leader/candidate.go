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
	Client  *client.Client  // client of the list service
	Name    string          // name of this controller, shown to operators; it need not be unique
	TTL     time.Duration   // time without heartbeats after which the session ends and others take over
	Roles   map[string]Work // the roles to campaign for
	Log     *slog.Logger
	Metrics *Metrics     // may be nil
	Clock   *clock.Clock // nil for the machine's clock
}

// candidate campaigns for roles on behalf of one process. All of its grants belong to
// one session.
type candidate struct {
	opts    Options
	started time.Time // time of opts.Clock at the start; lease times are offsets from it

	mu              sync.Mutex
	session         string
	lease           Lease
	watchdog        *time.Timer // cancels all grants when the lease expires
	grants          map[string]*Grant
	unstopped       map[string]bool                 // roles whose work still runs although its grant has ended
	lastTokens      map[string]int64                // fencing token of this candidate's latest grant of each role
	pendingReleases map[string]registry.RoleRequest // releases that the list service has not confirmed
	notBefore       map[string]time.Time            // earliest time of the next request for a role
	roleList        registry.RoleList               // the latest role list that was received
	vacantSince     map[string]time.Time            // time at which a role was first seen without a holder
	wake            chan struct{}                   // wakes the campaign; its capacity is 1
	wg              sync.WaitGroup
}

func newCandidate(opts Options) *candidate {
	if opts.Metrics == nil {
		opts.Metrics = NewMetrics()
	}
	return &candidate{
		opts:            opts,
		started:         opts.Clock.Monotonic(),
		grants:          map[string]*Grant{},
		unstopped:       map[string]bool{},
		lastTokens:      map[string]int64{},
		pendingReleases: map[string]registry.RoleRequest{},
		notBefore:       map[string]time.Time{},
		vacantSince:     map[string]time.Time{},
		wake:            make(chan struct{}, 1),
	}
}

// Run campaigns for the roles of opts and does the work of the roles it acquires until
// ctx ends. Then it stops the work, releases the roles and closes the session. It
// returns an error only if it cannot open its first session.
func Run(ctx context.Context, opts Options) error {
	c := newCandidate(opts)
	c.opts.Metrics.observeLease(c)
	if err := c.openSession(ctx); err != nil {
		return IgnoreCancellation(ctx, err)
	}
	// Heartbeats continue until the work has stopped and the session is closed.
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

// elapsed returns the time since the candidate's start, by its own clock.
func (c *candidate) elapsed() time.Duration { return c.opts.Clock.Monotonic().Sub(c.started) }

// hasLease reports whether the lease is valid. The caller holds c.mu.
func (c *candidate) hasLease() bool { return c.lease.Remaining(c.elapsed()) > 0 }

// wakeCampaign makes the campaign check the roles immediately.
func (c *candidate) wakeCampaign() {
	select {
	case c.wake <- struct{}{}:
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
