package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

// growingSpread is a retrySpread that grows with the fleet and with each failure, for
// comparison. Relays used it before boundedRetrySpread, and applied updates up to 25 s
// late.
func growingSpread(fleetServeTime time.Duration, failures int, draw float64) time.Duration {
	base := min(min(400*time.Millisecond+fleetServeTime, 4*time.Second)<<min(failures, 8), 5*time.Second+2*fleetServeTime)
	return 200*time.Millisecond + time.Duration(float64(base)*draw)
}

// narrowSpread is a retrySpread for comparison: it retries as soon as a watch that
// ended is reopened, and thereby overloads discovery.
func narrowSpread(_ time.Duration, _ int, draw float64) time.Duration {
	return time.Duration(float64(200*time.Millisecond) * (0.5 + draw))
}

// boundPort is a port that refuses connections until listen is called. It stays
// bound all the time, so that no other socket can use it.
type boundPort struct {
	fd   int
	addr string
}

func bindPort(t testing.TB) *boundPort {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	socketAddr, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return &boundPort{fd, fmt.Sprintf("127.0.0.1:%d", socketAddr.(*syscall.SockaddrInet4).Port)}
}

func (p *boundPort) listen(t testing.TB) net.Listener {
	t.Helper()
	if err := syscall.Listen(p.fd, 1024); err != nil {
		t.Fatal(err)
	}
	file := os.NewFile(uintptr(p.fd), "port")
	defer file.Close()
	ln, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// limitedAgent is a discovery agent that serves calls at a limited rate. It
// rejects what exceeds the rate after a burst of a tenth of a second, or queues it
// if maxWait is set.
type limitedAgent struct {
	mu          sync.Mutex
	rate        float64       // calls served per second; 0 for no limit
	maxWait     time.Duration // longest time for which a call waits in the queue before it is rejected; 0 for no queue
	queueFreeAt time.Time     // when the last queued call will have been served
	tokens      float64       // number of calls that may be served at once, as of refilledAt
	refilledAt  time.Time     // when tokens was last updated
	calls       []time.Time   // when each call arrived
	rejected    int           // calls not served, because of the rate or after maxWait in the queue
	fault       string        // how calls fail, one of the cases of fail; empty if they do not fail
	stop        context.Context
}

// admit records a call and reports whether it is served; it waits while the call is
// queued.
func (a *limitedAgent) admit() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.calls = append(a.calls, now)
	if a.rate == 0 {
		return true
	}
	if a.maxWait > 0 {
		return a.waitInQueue(now)
	}
	a.tokens = min(a.tokens+now.Sub(a.refilledAt).Seconds()*a.rate, max(1, a.rate/10))
	a.refilledAt = now
	if a.tokens < 1 {
		a.rejected++
		return false
	}
	a.tokens--
	return true
}

// waitInQueue waits until the call is served or rejected, and reports whether it is
// served. It is called with the lock held, and releases it while it waits.
func (a *limitedAgent) waitInQueue(now time.Time) bool {
	servedAt := now
	if a.queueFreeAt.After(now) {
		servedAt = a.queueFreeAt
	}
	wait, served := servedAt.Sub(now), true
	if wait > a.maxWait {
		wait, served = a.maxWait, false
		a.rejected++
	} else {
		a.queueFreeAt = servedAt.Add(time.Duration(float64(time.Second) / a.rate))
	}
	a.mu.Unlock()
	sleepContext(a.stop, wait)
	a.mu.Lock()
	return served
}

func (a *limitedAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	admitted := a.admit()
	a.mu.Lock()
	fault := a.fault
	a.mu.Unlock()
	if fault != "" {
		a.fail(w, r, fault)
		return
	}
	if !admitted {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	list := List{Revision: 9, Complete: true, Members: []Member{{ID: "s-1", HostPort: "127.0.0.1:1", Phase: Up}}}
	if r.URL.Query().Get("watch") == "" {
		json.NewEncoder(w).Encode(list)
		return
	}
	w.WriteHeader(http.StatusOK)
	if r.URL.Query().Get("from") != "9" {
		json.NewEncoder(w).Encode(list)
	}
	for keepalive := time.NewTicker(time.Second); ; {
		w.(http.Flusher).Flush()
		select {
		case <-keepalive.C:
			w.Write([]byte("\n"))
		case <-r.Context().Done():
			return
		case <-a.stop.Done():
			return
		}
	}
}

// fail fails a call in the way that fault says: the connection is closed or reset
// without a response, stays silent, or gets a status.
func (a *limitedAgent) fail(w http.ResponseWriter, r *http.Request, fault string) {
	switch fault {
	case "silent":
		select {
		case <-r.Context().Done():
		case <-a.stop.Done():
		}
		panic(http.ErrAbortHandler)
	case "closed", "reset":
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		if fault == "reset" {
			conn.(*net.TCPConn).SetLinger(0)
		}
		conn.Close()
	case "503":
		w.WriteHeader(http.StatusServiceUnavailable)
	case "429":
		w.WriteHeader(http.StatusTooManyRequests)
	}
}

// outage describes an outage of discovery for a fleet: discovery refuses connections
// for a while, then serves calls at a limited rate.
type outage struct {
	watches    int           // number of watches, one for each relay
	fleetSize  int           // number of relays that is given to each watch as the fleet's size
	refusedFor time.Duration // how long connections are refused
	rate       float64       // calls per second that are served after the outage
	maxWait    time.Duration // longest time for which a call waits in discovery's queue; 0 for no queue
	known      bool          // the watches have a known list, and need one call instead of two
	spread     retrySpread
}

// outageResult holds what was measured in an outage.
type outageResult struct {
	lastUpdate  time.Duration // from the end of the outage until every watch has had an update
	late        int           // watches without an update within 6 s after the outage
	peakRetries int           // most retries in any second of the outage; those of its first second do not count
	peakCalls   int           // most calls in any second after the outage
	calls       int           // calls after the outage
	rejected    int           // calls after the outage that were rejected
	finished    bool          // every watch had an update within the time limit
}

// run carries out the outage with watches on a limitedAgent, waits after it until each
// watch has had an update or until limit has passed, and returns what was measured.
func (o outage) run(t testing.TB, limit time.Duration) outageResult {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	port := bindPort(t)
	var mu sync.Mutex
	var retries []time.Time
	updatedAt := make([]time.Time, o.watches)
	start := time.Now()
	var updated, watches sync.WaitGroup
	for i := range o.watches {
		updated.Add(1)
		var once sync.Once
		w := NewWatch(port.addr, o.fleetSize, slog.New(slog.DiscardHandler), func(*List) {
			once.Do(func() { updatedAt[i] = time.Now(); updated.Done() })
		})
		if o.known {
			w.Known = &List{Revision: 1, Complete: true, Members: []Member{}}
		}
		w.spread = func(fleetServeTime time.Duration, failures int, draw float64) time.Duration {
			mu.Lock()
			retries = append(retries, time.Now())
			mu.Unlock()
			return o.spread(fleetServeTime, failures, draw)
		}
		watches.Add(1)
		go func() { defer watches.Done(); w.Run(ctx) }()
	}
	time.Sleep(o.refusedFor)
	mu.Lock()
	outageRetries := slices.Clone(retries)
	mu.Unlock()
	agent := &limitedAgent{rate: o.rate, maxWait: o.maxWait, tokens: max(1, o.rate/10), refilledAt: time.Now(), stop: ctx}
	srv := &http.Server{Handler: agent}
	ln := port.listen(t)
	outageEnd := time.Now()
	go srv.Serve(ln)
	allUpdated := make(chan struct{})
	go func() { updated.Wait(); close(allUpdated) }()
	select {
	case <-allUpdated:
	case <-time.After(limit):
	}
	cancel()
	srv.Close()
	watches.Wait()
	agent.mu.Lock()
	defer agent.mu.Unlock()
	r := outageResult{finished: true, calls: len(agent.calls), rejected: agent.rejected, peakCalls: maxPerSecond(agent.calls)}
	r.peakRetries = maxPerSecond(slices.DeleteFunc(outageRetries, func(retryTime time.Time) bool { return retryTime.Sub(start) < maxStartDelay }))
	for i := range updatedAt {
		if updatedAt[i].IsZero() {
			r.finished = false
			updatedAt[i] = outageEnd.Add(limit)
		}
		delay := updatedAt[i].Sub(outageEnd)
		r.lastUpdate = max(r.lastUpdate, delay)
		if delay > 6*time.Second {
			r.late++
		}
	}
	return r
}

// maxPerSecond returns the largest number of the times that lie within any one second.
func maxPerSecond(times []time.Time) (most int) {
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i := range times {
		for times[i].Sub(times[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// row returns a line of the table that BenchmarkOutage prints.
func (o outage) row(spread string, r outageResult) string {
	calls, latest := 2, fmt.Sprintf("%.1f s", r.lastUpdate.Seconds())
	if o.known {
		calls = 1
	}
	if !r.finished {
		latest = "not within 32 s"
	}
	return fmt.Sprintf("| %d | %d | %v | %v | %s | %s | %d | %d | %d | %d of %d |", o.watches, calls, o.rate, o.maxWait, spread, latest, r.late, r.peakRetries, r.peakCalls, r.rejected, r.calls)
}

// BenchmarkOutage runs outages with several retry spreads and prints the results as a
// table. It takes minutes.
func BenchmarkOutage(b *testing.B) {
	boundedBy := func(longest time.Duration) retrySpread {
		return func(_ time.Duration, failures int, draw float64) time.Duration {
			shortest := retryBackoffMin
			if failures > 0 {
				shortest = max(shortest, longest/2)
			}
			return shortest + time.Duration(float64(longest-shortest)*draw)
		}
	}
	spreads := []struct {
		name   string
		spread retrySpread
	}{{"growing", growingSpread}, {"bounded 1.8 s", boundedRetrySpread}, {"bounded 3 s", boundedBy(3 * time.Second)}, {"0.1 to 0.3 s", narrowSpread}}
	fmt.Println("| watches | calls each | served a second | queue | spread | latest | later than 6 s | retries a second while refused | calls a second after | rejected of calls |")
	measure := func(outages ...outage) { // runs all outages with all spreads at the same time
		rows := make([]string, len(outages)*len(spreads))
		var done sync.WaitGroup
		for i := range rows {
			o, s := outages[i/len(spreads)], spreads[i%len(spreads)]
			o.spread = s.spread
			done.Add(1)
			go func() {
				defer done.Done()
				rows[i] = o.row(s.name, o.run(b, 32*time.Second))
			}()
		}
		done.Wait()
		for _, row := range rows {
			fmt.Println(row)
		}
	}
	overloaded := outage{watches: 80, fleetSize: 80, refusedFor: 8 * time.Second, rate: 10.5, maxWait: 2 * time.Second}
	overloadedKnown := overloaded
	overloadedKnown.known = true
	measure(overloadedKnown, overloaded)
	for _, known := range []bool{true, false} {
		for _, relays := range []int{30, 300, 450} {
			measure(outage{watches: relays, fleetSize: relays, refusedFor: 8 * time.Second, rate: 100, known: known},
				outage{watches: relays, fleetSize: relays, refusedFor: 8 * time.Second, rate: 300, known: known})
		}
	}
}

// Updates arrive within 6 s after an outage, and the fleet's calls do not overload
// discovery, which refuses connections for 8 s and then rejects the calls beyond
// 200 per second.
func TestUpdatesArriveWithin6sAfterOutage(t *testing.T) {
	t.Parallel()
	for _, relays := range []int{30, 300, 450} {
		t.Run(fmt.Sprint(relays), func(t *testing.T) {
			t.Parallel()
			r := outage{watches: relays, fleetSize: relays, refusedFor: 8 * time.Second, rate: 200, known: true,
				spread: NewWatch("127.0.0.1:1", relays, slog.New(slog.DiscardHandler), nil).spread}.run(t, 30*time.Second)
			t.Logf("%+v", r)
			if r.late > 0 || !r.finished {
				t.Errorf("%d of %d watches have their update later than 6 s after the outage, the last %v after it", r.late, relays, r.lastUpdate)
			}
			if r.peakRetries > relays || r.peakCalls > relays+relays/4 {
				t.Errorf("%d retries in a second of the outage and %d calls in a second after it, too many for one of each relay", r.peakRetries, r.peakCalls)
			}
		})
	}
}

// Updates arrive within 6 s after discovery recovers, and the fleet's calls do not
// overload it, when calls failed in other ways than by a refused connection. The
// watches start without a known list, and so need two calls each.
func TestUpdatesArriveWithin6sAfterFailingCalls(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"silent", "closed", "reset", "503", "429"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			const relays = 30
			ctx, cancel := context.WithCancel(t.Context())
			port := bindPort(t)
			agent := &limitedAgent{fault: fault, stop: ctx}
			srv := &http.Server{Handler: agent}
			go srv.Serve(port.listen(t))
			var watches sync.WaitGroup
			updatedAt := make(chan time.Time, relays)
			for range relays {
				var once sync.Once
				w := NewWatch(port.addr, 450, slog.New(slog.DiscardHandler), func(*List) { once.Do(func() { updatedAt <- time.Now() }) })
				watches.Add(1)
				go func() { defer watches.Done(); w.Run(ctx) }()
			}
			defer func() { cancel(); srv.Close(); watches.Wait() }()
			time.Sleep(6 * time.Second)
			agent.mu.Lock()
			agent.fault = ""
			recoveredAt, calls := time.Now(), slices.Clone(agent.calls)
			agent.mu.Unlock()
			lastUpdate := time.Duration(0)
			for range relays {
				select {
				case updateTime := <-updatedAt:
					lastUpdate = max(lastUpdate, updateTime.Sub(recoveredAt))
				case <-time.After(20 * time.Second):
					t.Fatal("a watch had no list within 20 s")
				}
			}
			firstCall := calls[0]
			peakCalls := maxPerSecond(slices.DeleteFunc(calls, func(callTime time.Time) bool { return callTime.Sub(firstCall) < 2*time.Second }))
			t.Logf("the last update came %v after discovery recovered, with at most %d calls in a second before that", lastUpdate, peakCalls)
			if lastUpdate > 6*time.Second {
				t.Errorf("the last update came %v after discovery recovered, want at most 6 s", lastUpdate)
			}
			if peakCalls > relays+relays/4 {
				t.Errorf("%d calls in a second, too many for one of each of %d relays", peakCalls, relays)
			}
		})
	}
}

// After a change of address, updates arrive within the 4 s after which they count
// as received, although the old address refused many calls in a row and the new one
// rejects some.
func TestUpdatesArriveWithin4sAfterChangeOfAddress(t *testing.T) {
	t.Parallel()
	const relays = 30
	ctx, cancel := context.WithCancel(t.Context())
	oldPort, newPort := bindPort(t), bindPort(t)
	agent := &limitedAgent{rate: 40, tokens: 4, refilledAt: time.Now(), stop: ctx}
	srv := &http.Server{Handler: agent}
	go srv.Serve(newPort.listen(t))
	var watches, updated sync.WaitGroup
	var fleet []*Watch
	updatedAt := make([]time.Time, relays)
	refused := make(chan bool, 10*relays)
	for i := range relays {
		var once sync.Once
		updated.Add(1)
		w := NewWatch(oldPort.addr, 450, slog.New(slog.DiscardHandler), func(*List) {
			once.Do(func() { updatedAt[i] = time.Now(); updated.Done() })
		})
		w.Known = &List{Revision: 1, Complete: true, Members: []Member{}}
		w.OnRejected = func() {
			select {
			case refused <- true:
			default:
			}
		}
		fleet = append(fleet, w)
		watches.Add(1)
		go func() { defer watches.Done(); w.Run(ctx) }()
	}
	defer func() { cancel(); srv.Close(); watches.Wait() }()
	for range 4 * relays {
		<-refused
	}
	changedAt := time.Now()
	for _, w := range fleet {
		w.SetAddress(newPort.addr)
	}
	updated.Wait()
	lastUpdate := slices.MaxFunc(updatedAt, time.Time.Compare).Sub(changedAt)
	agent.mu.Lock()
	defer agent.mu.Unlock()
	t.Logf("the last update came %v after the change of address; %d of %d calls were rejected", lastUpdate, agent.rejected, len(agent.calls))
	if lastUpdate > 4*time.Second || agent.rejected == 0 {
		t.Errorf("the last update came %v after the change of address, want at most 4 s; %d calls were rejected, want some", lastUpdate, agent.rejected)
	}
}
