package leader

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"time"

	"plovershore/internal/clock"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
)

// Errors of a grant.
var (
	ErrLeaseLost    = errors.New("duty: no longer held")         // the lease is over, or the token is not the present one
	ErrStopping     = errors.New("duty: the warden is stopping") // the work is to end and to note where it stands
	ErrRoleDisabled = errors.New("duty: taken away by operators")
)

const (
	renewals  = 4                      // in a time to live
	spreadMax = 20 * time.Millisecond  // of those that ask for one duty at a moment
	shareWait = 400 * time.Millisecond // before one asks that holds its share already
	failWait  = time.Second            // before anybody asks for a duty that failed twice; doubled with each further failure
	failMost  = 5 * time.Minute
	stopMost  = 5 * time.Second // for work to end once it was asked to
	pollWait  = 3 * time.Second // less than the client waits for an answer
)

// Work does a duty until it is over, fails, or ctx ends. The cause of ctx's end
// is ErrLeaseLost, ErrStopping or ErrRoleDisabled. What it returns without an error is noted
// as where it stands; an error counts as a failure of the duty.
type Work func(ctx context.Context, g *Grant) error

// Options of a warden.
type Options struct {
	Client  *client.Client
	Name    string // its name, for people
	TTL     time.Duration
	Roles   map[string]Work
	Log     *slog.Logger
	Metrics *Metrics     // nil for none
	Clock   *clock.Clock // nil for the machine's
}

// Candidate is a warden's part in all duties.
type Candidate struct {
	o     Options
	began time.Time // by its clock

	mu      sync.Mutex
	session string
	lease   Lease
	timer   *time.Timer // of the watchdog
	grants  map[string]*Grant
	stuck   map[string]bool                 // work that did not end with its grant
	tokens  map[string]int64                // the last that was held, of each duty
	owed    map[string]registry.RoleRequest // releases that the store has not taken
	away    map[string]time.Time
	view    registry.RoleList
	seen    map[string]time.Time // since when a duty is seen to be nobody's
	news    chan struct{}
	wg      sync.WaitGroup
}

// Grant is a duty while it is held.
type Grant struct {
	Role       string
	Token      int64
	Term       int64
	Note       string // where the holder before stood
	Controller string

	h      *Candidate
	ctx    context.Context
	cancel context.CancelCauseFunc
	next   string
}

// Run holds duties until ctx ends, then gives them up in order. Errors: a session
// that the store refuses for good.
func Run(ctx context.Context, o Options) error {
	if o.Metrics == nil {
		o.Metrics = NewMetrics()
	}
	h := &Candidate{o: o, began: o.Clock.Mono(), grants: map[string]*Grant{}, stuck: map[string]bool{}, tokens: map[string]int64{}, owed: map[string]registry.RoleRequest{}, away: map[string]time.Time{},
		seen: map[string]time.Time{}, news: make(chan struct{}, 1)}
	o.Metrics.watch(h)
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := h.open(ctx); err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	for _, f := range []func(context.Context){h.renew, h.poll} {
		h.wg.Add(1)
		go func() { defer h.wg.Done(); f(run) }()
	}
	h.campaign(ctx)
	h.leave()
	stop()
	h.wg.Wait()
	return nil
}

func (h *Candidate) now() time.Duration { return h.o.Clock.Mono().Sub(h.began) }

// open begins a session of a new draw.
func (h *Candidate) open(ctx context.Context) error {
	id, asked := registry.NewID(), h.now()
	_, err := h.o.Client.Do(ctx, http.MethodPost, registry.SessionsPath, registry.SessionRequest{ID: id, Controller: h.o.Name, TTLMS: h.o.TTL.Milliseconds()}, nil)
	if err != nil {
		return fmt.Errorf("duty: session: %w", err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.session, h.lease = id, Lease{TTL: h.o.TTL}
	h.lease.Renew(asked)
	h.watchdog()
	h.o.Log.Info("session open", "session", id, "warden", h.o.Name)
	return nil
}

// watchdog ends all grants at the moment at which the lease is no longer believed
// in, whatever their work does. h.mu is held.
func (h *Candidate) watchdog() {
	if h.timer != nil {
		h.timer.Stop()
	}
	h.timer = time.AfterFunc(h.o.Clock.Real(h.lease.Remaining(h.now())), func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.lease.Remaining(h.now()) > 0 {
			return // renewed meanwhile
		}
		for _, g := range h.grants {
			h.o.Log.Warn("lease over: work is ended", "duty", g.Role, "token", g.Token)
			g.cancel(ErrLeaseLost)
		}
	})
}

// renew keeps the session; a lost one is followed by a new one.
func (h *Candidate) renew(ctx context.Context) {
	every := h.o.Clock.Real(h.o.TTL / renewals)
	for sleep(ctx, every) {
		h.mu.Lock()
		id := h.session
		h.mu.Unlock()
		asked := h.now()
		short, cancel := context.WithTimeout(ctx, every*2)
		_, err := h.o.Client.Do(short, http.MethodPost, registry.SessionsPath+"/"+url.PathEscape(id)+"/renew", struct{}{}, nil)
		cancel()
		var no *client.RejectedError
		switch {
		case err == nil:
			h.mu.Lock()
			h.lease.Renew(asked)
			h.watchdog()
			h.mu.Unlock()
		case errors.As(err, &no) && no.Status == http.StatusNotFound:
			h.o.Log.Warn("session is gone", "session", id)
			h.mu.Lock()
			h.lease.Invalidate()
			for _, g := range h.grants {
				g.cancel(ErrLeaseLost)
			}
			h.mu.Unlock()
			for h.open(ctx) != nil {
				if !sleep(ctx, every) {
					return
				}
			}
			h.stir()
		case ctx.Err() == nil:
			h.o.Log.Warn("session not renewed", "session", id, "err", err)
		}
	}
}

// poll follows the duties.
func (h *Candidate) poll(ctx context.Context) {
	after := int64(0)
	for ctx.Err() == nil {
		var l registry.RoleList
		short, cancel := context.WithTimeout(ctx, pollWait+2*time.Second)
		_, err := h.o.Client.Do(short, http.MethodGet, fmt.Sprintf("%s?after=%d&wait_ms=%d", registry.RolesPath, after, pollWait.Milliseconds()), nil, &l)
		cancel()
		if err != nil {
			sleep(ctx, 50*time.Millisecond)
			continue
		}
		after = l.Revision
		h.see(l)
	}
}

// see books how the duties stand, and ends work whose grant is another's.
func (h *Candidate) see(l registry.RoleList) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l.Revision < h.view.Revision {
		return // a node that is behind
	}
	h.view = l
	now := h.o.Clock.Mono()
	for _, d := range l.Roles {
		if g := h.grants[d.Name]; g != nil && (d.Token > g.Token || d.Token == g.Token && d.Holder != h.session) {
			if d.Disabled {
				g.cancel(ErrRoleDisabled)
			} else {
				g.cancel(ErrLeaseLost)
			}
		}
		if d.Holder != "" {
			delete(h.seen, d.Name)
		} else if h.seen[d.Name].IsZero() {
			h.seen[d.Name] = now
		}
	}
	h.stir()
}

func (h *Candidate) stir() {
	select {
	case h.news <- struct{}{}:
	default:
	}
}

// campaign asks for duties that nobody holds.
func (h *Candidate) campaign(ctx context.Context) {
	sleep(ctx, time.Duration(rand.Int64N(int64(spreadMax))))
	for ctx.Err() == nil {
		wait := time.Second
		for _, name := range h.wanted(&wait) {
			if ctx.Err() == nil {
				h.ask(ctx, name)
			}
		}
		h.giveBack(ctx)
		t := time.NewTimer(h.o.Clock.Real(wait))
		select {
		case <-h.news:
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// wanted gives the duties to ask for now; wait falls to when the next is.
func (h *Candidate) wanted(wait *time.Duration) (names []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lease.Remaining(h.now()) <= 0 || h.view.Revision == 0 {
		return nil
	}
	state := map[string]registry.Role{}
	for _, d := range h.view.Roles {
		state[d.Name] = d
	}
	named := map[string]bool{}
	for _, s := range h.view.Sessions {
		named[s.Controller] = true
	}
	share := (len(h.o.Roles) + max(1, len(named)) - 1) / max(1, len(named))
	now := h.o.Clock.Mono()
	for name := range h.o.Roles {
		d, known := state[name]
		if d.Holder != "" && d.Holder == h.session && h.grants[name] == nil && !h.stuck[name] && d.Token > h.tokens[name] {
			h.begin(name, d.Token, d.Term, d.Note) // the answer to its grant was lost; the token proves it
			continue
		}
		if d.Holder != "" || d.Disabled || h.grants[name] != nil || h.stuck[name] || d.Successor != "" && d.Successor != h.o.Name && named[d.Successor] {
			continue
		}
		at := now
		if known && !h.seen[name].IsZero() {
			at = h.seen[name]
		} else {
			h.seen[name] = now
		}
		if len(h.grants)+len(names) >= share && d.Successor != h.o.Name {
			at = at.Add(shareWait)
		}
		if d.Failures > 1 {
			back := min(failWait<<min(d.Failures-2, 20), failMost)
			if d.Controller == h.o.Name {
				back *= 2 // another may do better
			}
			at = at.Add(back)
		}
		if until := h.away[name]; until.After(at) {
			at = until
		}
		if left := at.Sub(now); left > 0 {
			*wait = min(*wait, left)
			continue
		}
		names = append(names, name)
	}
	return names
}

// giveBack gives up what the store has this session hold though its work is over:
// it was ended with the lease, or the release did not reach the store. A session
// that outlives a lease, as one does over a change of the store's leader, would
// else keep the duty from everybody.
func (h *Candidate) giveBack(ctx context.Context) {
	h.mu.Lock()
	all := map[string]registry.RoleRequest{}
	for _, d := range h.view.Roles {
		if d.Holder != "" && d.Holder == h.session && h.grants[d.Name] == nil && d.Token == h.owed[d.Name].Token && h.lease.Remaining(h.now()) > 0 {
			all[d.Name] = h.owed[d.Name]
		}
	}
	h.mu.Unlock()
	for name, release := range all {
		short, cancel := context.WithTimeout(ctx, h.o.TTL)
		_, err := h.o.Client.Do(short, http.MethodPost, registry.RolesPath+"/"+url.PathEscape(name)+"/release", release, nil)
		cancel()
		if err != nil { // asked again with the next news: it is another's, or the store is away
			h.o.Log.Warn("duty not given back", "duty", name, "token", release.Token, "err", err)
			continue
		}
		h.o.Log.Info("duty given back: its work is over", "duty", name, "token", release.Token)
	}
}

// ask asks for one duty, and has its work begun.
func (h *Candidate) ask(ctx context.Context, name string) {
	h.mu.Lock()
	session := h.session
	h.mu.Unlock()
	var a registry.Result
	short, cancel := context.WithTimeout(ctx, h.o.TTL)
	defer cancel()
	_, err := h.o.Client.Do(short, http.MethodPost, registry.RolesPath+"/"+url.PathEscape(name)+"/grant", registry.RoleRequest{Session: session}, &a)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		// Where the answer alone is lost, the grant stands: the poll shows it.
		h.away[name] = h.o.Clock.Mono().Add(time.Duration(50+rand.Int64N(100)) * time.Millisecond)
		return
	}
	if session != h.session || h.lease.Remaining(h.now()) <= 0 {
		return // the session that it hangs on is over
	}
	if h.grants[name] == nil && a.Token > h.tokens[name] {
		h.begin(name, a.Token, a.Term, a.Note)
	}
}

// begin has the work of a granted duty begun. The note is of the grant: one seen
// before it may be older than the last step of the holder before. h.mu is held.
func (h *Candidate) begin(name string, token, term int64, note string) {
	g := &Grant{Role: name, Token: token, Term: term, Note: note, h: h, Controller: h.o.Name}
	g.ctx, g.cancel = context.WithCancelCause(context.Background())
	h.grants[name], h.tokens[name] = g, token
	delete(h.seen, name)
	h.o.Metrics.granted(g)
	h.o.Log.Info("duty held", "duty", name, "token", g.Token)
	h.wg.Add(1)
	go func() { defer h.wg.Done(); h.work(g) }()
}

// work does a duty and gives it up.
func (h *Candidate) work(g *Grant) {
	good := time.AfterFunc(h.o.TTL, func() { // it has not killed its holder
		if g.ctx.Err() == nil {
			g.mark(g.ctx)
		}
	})
	defer good.Stop()
	done := make(chan error, 1)
	go func() { // not waited for in the end: work that is deaf must not keep its warden
		err := guard(g.ctx, h.o.Roles[g.Role], g)
		h.mu.Lock()
		delete(h.stuck, g.Role)
		h.mu.Unlock()
		done <- err
		h.stir()
	}()
	var err error
	select {
	case err = <-done:
	case <-g.ctx.Done():
		t := time.NewTimer(stopMost)
		defer t.Stop()
		select {
		case err = <-done:
		case <-t.C:
			h.o.Log.Error("work does not end, though it was asked to; its effects are refused", "duty", g.Role, "token", g.Token)
			h.mu.Lock()
			h.stuck[g.Role] = true
			h.mu.Unlock()
		}
	}
	cause := context.Cause(g.ctx)
	g.cancel(ErrStopping)
	h.mu.Lock()
	delete(h.grants, g.Role)
	next := g.next
	h.mu.Unlock()
	h.o.Metrics.gone(g)
	failed := err != nil && cause == nil
	if failed {
		h.o.Log.Error("duty failed", "duty", g.Role, "token", g.Token, "err", err)
	}
	if errors.Is(cause, ErrLeaseLost) || errors.Is(cause, ErrRoleDisabled) {
		h.o.Log.Warn("duty lost", "duty", g.Role, "token", g.Token, "cause", cause)
		h.mu.Lock()
		h.owed[g.Role] = registry.RoleRequest{Token: g.Token, LeaseLost: true}
		h.mu.Unlock()
		h.stir()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), h.o.TTL)
	defer cancel()
	release := registry.RoleRequest{Token: g.Token, Successor: next, Failed: failed}
	if rerr := g.post(ctx, "release", release); rerr != nil {
		h.o.Log.Warn("duty not given up", "duty", g.Role, "err", rerr)
		h.mu.Lock()
		h.owed[g.Role] = release
		h.mu.Unlock()
		h.stir()
		return
	}
	h.o.Log.Info("duty given up", "duty", g.Role, "token", g.Token, "next", next)
	if err == nil && cause == nil { // its work is over: asked for again when there is news
		h.mu.Lock()
		h.away[g.Role] = h.o.Clock.Mono().Add(h.o.TTL)
		h.mu.Unlock()
	}
}

// IgnoreCancellation takes errors that come of the work's end for none of its own.
func IgnoreCancellation(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// guard keeps a panic of one duty's work from ending the others'.
func guard(ctx context.Context, w Work, g *Grant) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("duty: panic: %v", p)
		}
	}()
	return w(ctx, g)
}

// leave gives up all that is held, in order, and ends the session.
func (h *Candidate) leave() {
	h.mu.Lock()
	for _, g := range h.grants {
		g.cancel(ErrStopping)
	}
	h.mu.Unlock()
	end := time.Now().Add(stopMost + h.o.TTL)
	for ; time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		h.mu.Lock()
		n := len(h.grants)
		h.mu.Unlock()
		if n == 0 {
			break
		}
	}
	h.mu.Lock()
	id := h.session
	h.timer.Stop()
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), h.o.TTL)
	defer cancel()
	if _, err := h.o.Client.Do(ctx, http.MethodDelete, registry.SessionsPath+"/"+url.PathEscape(id), nil, nil); err != nil {
		h.o.Log.Warn("session not ended", "err", err)
	}
}

// Context ends when the duty is no longer held, or the work is to stop.
func (g *Grant) Context() context.Context { return g.ctx }

// SetSuccessor names who is to have the duty next.
func (g *Grant) SetSuccessor(warden string) {
	g.h.mu.Lock()
	defer g.h.mu.Unlock()
	g.next = warden
}

// Save notes where the work stands, as an effect of the duty. ErrLeaseLost where the
// token is not the present one.
func (g *Grant) Save(ctx context.Context, note string) error {
	if err := g.post(ctx, "note", registry.RoleRequest{Token: g.Token, Note: note}); err != nil {
		return err
	}
	g.h.mu.Lock()
	defer g.h.mu.Unlock()
	g.Note = note
	return nil
}

// mark tells that the work goes well.
func (g *Grant) mark(ctx context.Context) {
	if err := g.post(ctx, "note", registry.RoleRequest{Token: g.Token, Healthy: true}); err != nil && ctx.Err() == nil {
		g.h.o.Log.Warn("duty not marked", "duty", g.Role, "err", err)
	}
}

func (g *Grant) post(ctx context.Context, what string, body registry.RoleRequest) error {
	_, err := g.h.o.Client.Do(ctx, http.MethodPost, registry.RolesPath+"/"+url.PathEscape(g.Role)+"/"+what, body, nil)
	return g.judge(err)
}

// judge ends the work where an effect of it was refused for its token.
func (g *Grant) judge(err error) error {
	var no *client.RejectedError
	if errors.As(err, &no) && no.Status == http.StatusPreconditionFailed {
		g.h.o.Metrics.refused(g)
		g.cancel(ErrLeaseLost)
		return fmt.Errorf("%w: %w", ErrLeaseLost, err)
	}
	return err
}

// Do makes a write of the list service an effect of the duty. Errors: ErrLeaseLost,
// and those of the client.
func (g *Grant) Do(ctx context.Context, method, path string, body, out any) error {
	_, err := g.h.o.Client.DoWith(ctx, method, path, http.Header{registry.FenceHeader: {fmt.Sprintf("%s=%d", g.Role, g.Token)}}, body, out)
	return g.judge(err)
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
