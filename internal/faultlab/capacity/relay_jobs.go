package capacity

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"plovershore/internal/discovery"
	"plovershore/internal/faultlab/process"
	"plovershore/internal/wal"
)

const (
	bodyBytes          = 200
	parallelClients    = 16      // clients that submit messages or notices at the same time
	unknownDestination = 1 << 16 // largest destination number that a relay accepts; it is in no list

	largeMemoryMB = 8192
	largeDiskMB   = 4096
)

// inFlightSizes include numbers of messages that do not fit into the relay's memory; it
// keeps the rest in its log only.
var inFlightSizes = []int{3000, 10_000, 30_000, 100_000, 300_000}

func relayJobs() []job {
	const list, inFlight = "members", "messages owed"
	quantity := func(name, unit, sizeUnit string, target, budget float64) Quantity {
		return Quantity{Role: "relay", Name: name, Unit: unit, SizeUnit: sizeUnit, Target: target, Budget: budget}
	}
	return []job{
		{name: "relay-idle", sizes: []int{300, 1000, 3000, 10_000, 30_000}, // a relay refuses the complete list of 31,000 members as too long
			smoke: smokeSizes, run: measureIdleRelay, quantities: []Quantity{
				quantity("idle", "% of a core", list, targetMembers, budgetCore), quantity("memory, steady", "MB", list, targetMembers, budgetMemory),
				quantity("memory, most since the start", "MB", list, targetMembers, budgetMemory), quantity("bytes with its agent at a start", "KB", list, targetMembers, 0),
				quantity("bytes with its agent, idle", "KB/s", list, targetMembers, budgetBytes), quantity("from its first start until it serves, its turn in the fleet included", "ms", list, targetMembers, 0)}},
		{name: "relay-down", sizes: memberSizes, smoke: smokeSizes, run: measureUnreachableDestinations, quantities: []Quantity{
			quantity("processor with 2,000 owed to 589 destinations that refuse", "% of a core", list, targetMembers, 100),
			quantity("until all is read, the same", "ms", list, targetMembers, 10_000),
			quantity("longest wait for an answer meanwhile, the same", "ms", list, targetMembers, 400)}},
		{name: "relay-held", sizes: inFlightSizes, smoke: []int{300, 3000}, run: measurePendingInRelay, quantities: []Quantity{
			quantity("memory for messages of 200 bytes to destinations that are down", "MB", inFlight, targetInFlight, budgetMemory),
			quantity("disk for them", "MB", inFlight, targetInFlight, 0), quantity("processor time to take them on", "ms", inFlight, targetInFlight, 0),
			quantity("processor while they wait", "% of a core", inFlight, targetInFlight, 0)}},
		{name: "relay-start", sizes: inFlightSizes, smoke: []int{300, 3000}, run: measureRelayStart, quantities: []Quantity{
			quantity("from a start after SIGKILL until it serves", "ms", inFlight, targetInFlight, 10_000),
			quantity("from a start after SIGKILL until all is read", "ms", inFlight, targetInFlight, 10_000),
			quantity("memory once all is read", "MB", inFlight, targetInFlight, budgetMemory), quantity("most memory by then", "MB", inFlight, targetInFlight, budgetMemory),
			quantity("disk", "MB", inFlight, targetInFlight, 0)}},
	}
}

// measureIdleRelay measures a relay that has a list of the given size and no traffic.
func measureIdleRelay(ctx context.Context, e *environment, size int) ([]float64, error) {
	s, err := newListServer(memberList(size, shortID))
	if err != nil {
		return nil, err
	}
	defer s.close()
	r, err := e.newRelay(s.addr, nil, relayLimits{memoryMB: budgetMemory, diskMB: 64, messages: 10_000})
	if err != nil {
		return nil, err
	}
	defer r.close()
	began := time.Now()
	if err := r.start(); err != nil {
		return nil, err
	}
	startTime, err := awaitCondition(ctx, r.Process, "relay serves", began, r.isServing)
	if err != nil {
		return nil, err
	}
	if _, err := awaitCondition(ctx, r.Process, "watch", began, func() bool { return s.watches.Load() > 0 }); err != nil {
		return nil, err
	}
	bytes := s.bytes.Load()
	if _, err := measureLoad(ctx, r.Process, s, scaled(e, 200*time.Millisecond, 2*time.Second)); err != nil { // lets the garbage of the start be collected before the measurement
		return nil, err
	}
	idle, err := measureLoad(ctx, r.Process, s, scaled(e, 500*time.Millisecond, 10*time.Second))
	if err != nil {
		return nil, err
	}
	if members, err := r.gauge("app_members"); err != nil || int(members) != size {
		return nil, fmt.Errorf("relay: %v members of %d (%w)", members, size, err)
	}
	peak, err := peakRSS(r.PID)
	return []float64{idle.corePercent, idle.rssBytes / 1e6, peak / 1e6, float64(bytes) / 1e3, idle.listBytesPerSecond / 1e3, startTime.Seconds() * 1e3}, err
}

// measurePendingInRelay submits messages for destinations that refuse connections, and
// measures what the relay uses to accept and to keep them.
func measurePendingInRelay(ctx context.Context, e *environment, size int) ([]float64, error) {
	members := refusingList(destinationsDown)
	s, err := newListServer(members)
	if err != nil {
		return nil, err
	}
	defer s.close()
	r, err := e.newRelay(s.addr, s.previousList(), relayLimits{memoryMB: budgetMemory, diskMB: largeDiskMB, messages: size*2 + 1000})
	if err != nil {
		return nil, err
	}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	if _, err := awaitCondition(ctx, r.Process, "relay ready", time.Now(), func() bool { return r.isServing() && r.isReady() }); err != nil {
		return nil, err
	}
	before, err := readUsage(r.Process)
	if err != nil {
		return nil, err
	}
	disk := process.DiskUse(r.stateDir)
	if err := submitMessages(ctx, r.listen, size); err != nil {
		return nil, err
	}
	afterSubmit, err := readUsage(r.Process)
	if err != nil {
		return nil, err
	}
	disk = process.DiskUse(r.stateDir) - disk
	waiting, err := measureLoad(ctx, r.Process, s, scaled(e, 500*time.Millisecond, 5*time.Second))
	if err != nil {
		return nil, err
	}
	pending, err := r.gauge("app_pending")
	if err == nil && pending < 0.95*float64(size) {
		err = fmt.Errorf("relay: %v messages held of %d", pending, size)
	}
	scale := float64(size) / max(pending, 1)
	return []float64{max(0, waiting.rssBytes-before.rssBytes) / 1e6 * scale, float64(disk) / 1e6 * scale,
		(afterSubmit.cpu - before.cpu).Seconds() * 1e3, waiting.corePercent}, err
}

// refusingList returns a list whose first destinationsDown destinations, or all if there
// are fewer, refuse connections.
func refusingList(size int) *discovery.List {
	list := memberList(size, shortID)
	for i := range min(size, destinationsDown) {
		list.Members[i].HostPort = "127.0.0.1:1"
	}
	return list
}

// measureUnreachableDestinations starts a relay whose log holds messages for destinations
// that refuse connections, with a list of the given size, and measures its start and how
// it responds to clients afterwards.
func measureUnreachableDestinations(ctx context.Context, e *environment, size int) ([]float64, error) {
	members := refusingList(size)
	s, err := newListServer(members)
	if err != nil {
		return nil, err
	}
	defer s.close()
	r, err := e.newRelay(s.addr, s.previousList(), relayLimits{memoryMB: largeMemoryMB, diskMB: largeDiskMB, messages: 10_000})
	if err != nil {
		return nil, err
	}
	defer r.close()
	if err := writePendingLog(r.stateDir, scaled(e, 200, 2000), min(size, destinationsDown)); err != nil {
		return nil, err
	}
	began := time.Now()
	if err := r.start(); err != nil {
		return nil, err
	}
	readTime, err := awaitCondition(ctx, r.Process, "all is read", began, r.isReady)
	if err != nil {
		return nil, err
	}
	longest := make(chan time.Duration, 1)
	probeCtx, stop := context.WithCancel(ctx)
	defer stop()
	go func() { longest <- r.longestAnswer(probeCtx) }()
	busy, err := measureLoad(ctx, r.Process, s, scaled(e, 300*time.Millisecond, 5*time.Second))
	stop()
	return []float64{busy.corePercent, readTime.Seconds() * 1e3, (<-longest).Seconds() * 1e3}, err
}

// submitMessages submits messages by several clients at the same time. A message that is
// not accepted is an error.
func submitMessages(ctx context.Context, addr string, size int) error {
	group, ctx := errgroup.WithContext(ctx)
	for client := range parallelClients {
		group.Go(func() error {
			c, err := net.DialTimeout("tcp4", addr, time.Second)
			if err != nil {
				return fmt.Errorf("client: %w", err)
			}
			defer c.Close()
			stop := context.AfterFunc(ctx, func() { c.Close() })
			defer stop()
			in := bufio.NewReader(c)
			for i := client; i < size; i += parallelClients {
				if _, err := c.Write(putRequest(i, i%destinationsDown)); err != nil {
					return fmt.Errorf("client: %w", err)
				}
				line, err := in.ReadString('\n')
				if err != nil {
					return fmt.Errorf("client: %w", err)
				}
				if !strings.HasPrefix(line, "+") {
					return fmt.Errorf("client: message %d of %d: %q", i, size, line)
				}
			}
			return nil
		})
	}
	return group.Wait()
}

var messageBody = strings.Repeat("b", bodyBytes)

func messageID(i int) string { return fmt.Sprintf("%016x", uint64(i+1)*0x9e3779b97f4a7c15) }

// putRequest encodes the client protocol's MSG.PUT request for message i.
func putRequest(i, destination int) []byte {
	request := []byte("*5\r\n")
	for _, argument := range []string{"MSG.PUT", "0000000000000000", messageID(i), fmt.Sprintf("c=alert-update,d=%d,dest=%d", messageTimeLeft/1000, destination), messageBody} {
		request = fmt.Appendf(request, "$%d\r\n%s\r\n", len(argument), argument)
	}
	return request
}

// measureRelayStart starts a relay over the log of a killed relay, with the given number
// of messages pending for destinations that refuse connections.
func measureRelayStart(ctx context.Context, e *environment, size int) ([]float64, error) {
	members := refusingList(destinationsDown)
	s, err := newListServer(members)
	if err != nil {
		return nil, err
	}
	defer s.close()
	r, err := e.newRelay(s.addr, s.previousList(), relayLimits{memoryMB: budgetMemory, diskMB: largeDiskMB, messages: size*2 + 1000})
	if err != nil {
		return nil, err
	}
	defer r.close()
	if err := writePendingLog(r.stateDir, size, destinationsDown); err != nil {
		return nil, err
	}
	began := time.Now()
	if err := r.start(); err != nil {
		return nil, err
	}
	serveTime, err := awaitCondition(ctx, r.Process, "relay serves", began, r.isServing)
	if err != nil {
		return nil, err
	}
	readTime, err := awaitCondition(ctx, r.Process, "all is read", began, r.isReady)
	if err != nil {
		return nil, err
	}
	usage, err := r.Measure(r.stateDir)
	if err != nil {
		return nil, err
	}
	peak, err := peakRSS(r.PID)
	return []float64{serveTime.Seconds() * 1e3, readTime.Seconds() * 1e3, float64(usage.RSS) / 1e6, peak / 1e6, float64(usage.Disk) / 1e6}, err
}

// writePendingLog writes the log that a relay leaves if it is killed after it accepted the
// given number of messages, spread over the first destinations of its list.
func writePendingLog(state string, size, destinations int) error {
	w, err := wal.Open(wal.Options{Dir: state, Limit: largeDiskMB << 20})
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	go w.Run(stop)
	deadline := time.Now().UnixMicro() + messageTimeLeft
	var mu sync.Mutex
	var firstErr error
	for i := range size {
		w.Submit(&wal.Record{Kind: wal.KindAccepted, ID: messageID(i), Class: "alert-update", Dest: i % destinations, Deadline: deadline, Body: []byte(messageBody)},
			func(err error) {
				mu.Lock()
				defer mu.Unlock()
				if firstErr == nil {
					firstErr = err
				}
			})
	}
	close(stop)
	<-w.Done()
	mu.Lock()
	defer mu.Unlock()
	return firstErr
}
