// Command case2 upgrades a relay whose list has 480 endpoints, and checks that the new process becomes ready.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"plovershore/review/stand"
)

const (
	endpoints    = 16 * 30 // sixteen times the endpoints of a usual day
	destinations = endpoints * 10 / 16
	warmUp       = 6 * time.Second
	interval     = 40 * time.Millisecond
	readyWithin  = 30 * time.Second        // the gate: no relay takes longer to be ready
	killAfter    = 3700 * time.Millisecond // from SIGTERM to SIGKILL
	startAfter   = 600 * time.Millisecond  // from the end of a process to the next start
)

// answer is that of a sound endpoint at the pace of the site.
func answer(call *stand.Call, conn net.Conn) (keep bool) {
	time.Sleep(time.Duration(90+rand.IntN(300)) * time.Millisecond)
	_, err := conn.Write([]byte(stand.Accepted(call)))
	return err == nil
}

// handIn hands in messages for all destinations until stop is closed.
func handIn(address string, record *stand.Record, stop <-chan struct{}) (accepted []string) {
	client := stand.NewClient(address, record)
	defer client.Close()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return accepted
		case <-time.After(interval):
		}
		class, deadline := "alert-update", 8*time.Second
		if n%10 < 3 {
			class, deadline = "copy-order", 16*time.Second
		}
		id := stand.NewID()
		if answer, _ := client.Put(id, class, deadline, rand.IntN(destinations), "figures"); answer == "+OK" {
			accepted = append(accepted, id)
		}
	}
}

func run(s stand.Setup) (int, error) {
	calls := &stand.Calls{}
	list := stand.List{Revision: 41, Complete: true}
	for i := range endpoints {
		name := fmt.Sprintf("s-%08x", rand.Uint32())
		endpoint, err := stand.NewEndpoint(name, calls, answer, s.Record)
		if err != nil {
			return 0, err
		}
		defer endpoint.Close()
		cell := i * destinations / endpoints
		list.Members = append(list.Members, stand.Member{ID: name, HostPort: endpoint.Address, Locality: "colombo-dc",
			Flavor: []string{"telco", "agent", "agent"}[cell%3], Cell: cell, Phase: "up", Size: 1})
	}
	platform, err := stand.NewPlatform(list, s.Record)
	if err != nil {
		return 0, err
	}
	defer platform.Close()
	relay, err := stand.NewRelay(stand.RelayOptions{Root: s.Root, Folder: s.Folder, Discovery: platform.Address, Known: list,
		Settings: stand.Settings(), Limits: stand.Limits()}, s.Record)
	if err != nil {
		return 0, err
	}
	defer relay.Close()
	first, err := relay.Start()
	if err != nil {
		return 0, err
	}
	if took, ok := first.AwaitReady(readyWithin); !ok {
		return 0, fmt.Errorf("the first process is not ready after %v", took)
	}
	stop := make(chan struct{})
	var accepted []string
	var client sync.WaitGroup
	client.Add(1)
	go func() {
		defer client.Done()
		accepted = handIn(relay.Address, s.Record, stop)
	}()
	time.Sleep(warmUp)
	if !s.Trouble { // a planned restart instead of an upgrade: the same two processes, but not beside each other
		end(first)
		time.Sleep(startAfter)
	}
	startedAt := time.Now()
	second, err := relay.Start()
	if err != nil {
		return 0, err
	}
	took, ready := second.AwaitReady(readyWithin)
	if s.Trouble && ready {
		end(first)
	}
	close(stop)
	client.Wait()
	report(s.Record, calls, platform, accepted, startedAt)
	switch {
	case second.Ended():
		s.Record.Verdict("broken: the new process has ended")
		return stand.Broken, nil
	case !ready:
		s.Record.Verdict("broken: the new process is not ready after %v", took.Round(time.Millisecond))
		return stand.Broken, nil
	}
	s.Record.Verdict("held: the new process is ready after %v", took.Round(time.Millisecond))
	return stand.Held, nil
}

// end ends a process as the platform does.
func end(p *stand.Process) {
	p.Signal(syscall.SIGTERM)
	if !p.AwaitEnd(killAfter) {
		p.Signal(syscall.SIGKILL)
		p.AwaitEnd(time.Second)
	}
}

// report writes to the record what became of the messages. It has no part in the verdict.
func report(record *stand.Record, calls *stand.Calls, platform *stand.Platform, accepted []string, startedAt time.Time) {
	attempts := map[string]int{}
	for _, call := range calls.All() {
		for _, id := range call.Messages {
			attempts[id]++
		}
	}
	repeated, givenUp := 0, 0
	for _, id := range accepted {
		if attempts[id] > 1 {
			repeated++
		}
		for _, notice := range platform.Notices(id) {
			if notice.Outcome == "given_up" && notice.At.After(startedAt) {
				givenUp++
			}
		}
	}
	record.Printf("%d accepted; %d sent more than once; %d given up since the second start", len(accepted), repeated, givenUp)
}

func main() { stand.Main(run) }
