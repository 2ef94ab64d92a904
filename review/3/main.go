// Command case3 fills a relay's descriptors with peers that stop within a request, and checks that the relay
// stays within its memory limit.
package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"plovershore/review/stand"
)

const (
	memoryMB = 64
	sockets  = 1024
	peers    = 740 // with the relay's own connections less than its descriptors
	playTime = 20 * time.Second
	interval = 100 * time.Millisecond // between two messages of the client
	dest     = 7
	// patience is how long a peer waits for its error line or close before it leaves by itself. The relay
	// owes it one of them after 3 s.
	patience = 4 * time.Second
)

// partialRequest returns a request without its last byte. It is no proper request, since MSG.PUT has 4 arguments.
func partialRequest() []byte {
	var text strings.Builder
	text.WriteString("*16\r\n$7\r\nMSG.PUT\r\n")
	for range 14 {
		fmt.Fprintf(&text, "$4096\r\n%s\r\n", strings.Repeat("x", 4096))
	}
	fmt.Fprintf(&text, "$65536\r\n%s", strings.Repeat("y", 65535))
	return []byte(text.String())
}

// crowd keeps the peers connected until the time is over. It counts what they sent.
func crowd(address string, end time.Time, request []byte, connects, refused *atomic.Int64) {
	var all sync.WaitGroup
	for range peers {
		all.Add(1)
		go func() {
			defer all.Done()
			for time.Now().Before(end) {
				conn, err := net.DialTimeout("tcp", address, time.Second)
				if err != nil {
					refused.Add(1)
					time.Sleep(interval)
					continue
				}
				connects.Add(1)
				conn.SetWriteDeadline(time.Now().Add(patience))
				if _, err := conn.Write(request); err == nil {
					stand.AwaitClose(conn, patience)
				}
				conn.Close()
			}
		}()
	}
	all.Wait()
}

// memory returns the anonymous and shared memory of a process in bytes, without the pages of its program.
func memory(id int) (bytes int64) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", id))
	if err != nil {
		return 0
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 1 && (fields[0] == "RssAnon:" || fields[0] == "RssShmem:") {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			bytes += kilobytes << 10
		}
	}
	return bytes
}

func run(s stand.Setup) (int, error) {
	calls := &stand.Calls{}
	endpoint, err := stand.NewEndpoint("s-5be2a07c", calls, func(call *stand.Call, conn net.Conn) bool {
		time.Sleep(120 * time.Millisecond)
		_, err := conn.Write([]byte(stand.Accepted(call)))
		return err == nil
	}, s.Record)
	if err != nil {
		return 0, err
	}
	defer endpoint.Close()
	list := stand.List{Revision: 41, Complete: true, Members: []stand.Member{{ID: endpoint.Name, HostPort: endpoint.Address,
		Locality: "colombo-dc", Flavor: "agent", Cell: dest, Phase: "up", Size: 1}}}
	platform, err := stand.NewPlatform(list, s.Record)
	if err != nil {
		return 0, err
	}
	defer platform.Close()
	limits := stand.Limits()
	limits["memory_mb"], limits["sockets"] = memoryMB, sockets
	relay, err := stand.NewRelay(stand.RelayOptions{Root: s.Root, Folder: s.Folder, Discovery: platform.Address, Known: list,
		Settings: stand.Settings(), Limits: limits}, s.Record)
	if err != nil {
		return 0, err
	}
	defer relay.Close()
	process, err := relay.Start()
	if err != nil {
		return 0, err
	}
	if _, ok := process.AwaitReady(30 * time.Second); !ok {
		return 0, fmt.Errorf("the relay is not ready")
	}
	s.Record.Printf("ready, memory %.1f MB of %d", float64(memory(process.ID()))/(1<<20), memoryMB)
	end := time.Now().Add(playTime)
	var connects, refused atomic.Int64
	var others sync.WaitGroup
	if s.Trouble {
		request := partialRequest()
		others.Add(1)
		go func() {
			defer others.Done()
			crowd(relay.Address, end, request, &connects, &refused)
		}()
	}
	others.Add(1)
	go func() { // an ordinary client, as without the disruption
		defer others.Done()
		client := stand.NewClient(relay.Address, s.Record)
		defer client.Close()
		for time.Now().Before(end) {
			client.Put(stand.NewID(), "alert-update", 8*time.Second, dest, "figures")
			time.Sleep(interval)
		}
	}()
	peak := int64(0)
	for n := 0; time.Now().Before(end) && !process.Ended() && peak <= memoryMB<<20; n++ {
		now := memory(process.ID())
		peak = max(peak, now)
		if n%50 == 0 {
			s.Record.Printf("memory %.1f MB of %d; %d connections of peers so far, %d not taken", float64(now)/(1<<20), memoryMB,
				connects.Load(), refused.Load())
		}
		time.Sleep(20 * time.Millisecond)
	}
	over := peak > memoryMB<<20
	ended := process.Ended()
	if over { // as the platform does
		s.Record.Printf("memory %.1f MB of %d: the platform kills the relay", float64(peak)/(1<<20), memoryMB)
		relay.Close()
	}
	others.Wait()
	switch {
	case over:
		s.Record.Verdict("broken: %.1f MB of %d, the relay is killed", float64(peak)/(1<<20), memoryMB)
		return stand.Broken, nil
	case ended:
		s.Record.Verdict("broken: the relay has ended")
		return stand.Broken, nil
	}
	s.Record.Verdict("held: at most %.1f MB of %d", float64(peak)/(1<<20), memoryMB)
	return stand.Held, nil
}

func main() { stand.Main(run) }
