// Command case1 hands copy-orders to a relay whose endpoints' answers are spoilt now and then, and checks that
// none is sent again, or handed back, after an attempt that may have run.
package main

import (
	"fmt"
	"net"
	"sync"
	"time"

	"plovershore/review/stand"
)

const (
	messages     = 40
	interval     = 300 * time.Millisecond
	deadline     = 16 * time.Second // of a copy-order, from the settings
	spoiledEvery = 10               // one of so many answers is spoilt
	dest         = 7
)

// The spoilt answers. What comes after the first line can't be read by HTTP/1.1, and the first line does not
// read 200. The last form has no end: the endpoint goes on writing until the relay closes the connection.
var forms = []struct{ name, text, more string }{
	{"a body shorter than its length, then the connection ends", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 64\r\n\r\n{\"st", ""},
	{"a chunk whose size is no number, then the connection ends", "HTTP/1.1 429 Too Many Requests\r\nTransfer-Encoding: chunked\r\n\r\n?!\r\nx", ""},
	{"a body that never ends", "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
}

// judge follows the attempts of each message at the endpoints.
type judge struct {
	record *stand.Record

	mu        sync.Mutex
	trouble   bool
	calls     int
	spoiled   map[string]string // message -> form of the spoilt answer to its latest attempt that got one
	delivered map[string]bool
	broken    []string
}

// begin judges an attempt that begins, and returns the form of its answer, or -1 for a sound one.
func (j *judge) begin(call *stand.Call) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, id := range call.Messages {
		if form := j.spoiled[id]; form != "" {
			j.broken = append(j.broken, fmt.Sprintf("%s was sent again, though an earlier attempt may have run (its answer: %s)", id, form))
		}
		j.record.Printf("run %s at %s", id, call.Endpoint)
	}
	j.calls++
	if !j.trouble || j.calls%spoiledEvery != 3 {
		return -1
	}
	form := j.calls / spoiledEvery % len(forms)
	for _, id := range call.Messages {
		j.spoiled[id] = forms[form].name
		j.record.Printf("answer to %s is spoilt: %s", id, forms[form].name)
	}
	return form
}

// answer runs the messages of a call and answers it.
func (j *judge) answer(call *stand.Call, conn net.Conn) (keep bool) {
	form := j.begin(call)
	time.Sleep(120 * time.Millisecond)
	if form < 0 {
		_, err := conn.Write([]byte(stand.Accepted(call)))
		j.mu.Lock()
		defer j.mu.Unlock()
		for _, id := range call.Messages {
			j.delivered[id] = true
		}
		return err == nil
	}
	_, err := conn.Write([]byte(forms[form].text))
	for err == nil && forms[form].more != "" {
		time.Sleep(20 * time.Millisecond)
		_, err = conn.Write([]byte(forms[form].more))
	}
	return false
}

func run(s stand.Setup) (int, error) {
	j := &judge{record: s.Record, trouble: s.Trouble, spoiled: map[string]string{}, delivered: map[string]bool{}}
	calls := &stand.Calls{}
	list := stand.List{Revision: 41, Complete: true}
	for _, name := range []string{"s-5be2a07c", "s-77d01e42"} {
		endpoint, err := stand.NewEndpoint(name, calls, j.answer, s.Record)
		if err != nil {
			return 0, err
		}
		defer endpoint.Close()
		list.Members = append(list.Members, stand.Member{ID: name, HostPort: endpoint.Address, Locality: "colombo-dc", Flavor: "agent",
			Cell: dest, Phase: "up", Size: 1})
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
	process, err := relay.Start()
	if err != nil {
		return 0, err
	}
	if _, ok := process.AwaitReady(30 * time.Second); !ok {
		return 0, fmt.Errorf("the relay is not ready")
	}
	client := stand.NewClient(relay.Address, s.Record)
	defer client.Close()
	var accepted []string
	for range messages {
		id := stand.NewID()
		if answer, _ := client.Put(id, "copy-order", deadline, dest, "bundle"); answer == "+OK" {
			accepted = append(accepted, id)
		}
		time.Sleep(interval)
	}
	time.Sleep(deadline + time.Second) // the end of every message
	return j.verdict(platform, accepted), nil
}

func (j *judge) verdict(platform *stand.Platform, accepted []string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	delivered := 0
	for _, id := range accepted {
		if j.delivered[id] {
			delivered++
		}
		for _, notice := range platform.Notices(id) {
			if notice.Outcome == "handed_back" && j.spoiled[id] != "" {
				j.broken = append(j.broken, fmt.Sprintf("%s was handed back, though an attempt may have run (its answer: %s)", id, j.spoiled[id]))
			}
		}
	}
	j.record.Printf("%d accepted, %d calls, %d messages with a spoilt answer, %d delivered", len(accepted), j.calls, len(j.spoiled), delivered)
	for _, text := range j.broken {
		j.record.Printf("BROKEN %s", text)
	}
	switch {
	case len(j.broken) > 0:
		j.record.Verdict("broken: %d times; first: %s", len(j.broken), j.broken[0])
		return stand.Broken
	case len(accepted) < messages/2 || j.trouble && len(j.spoiled) == 0:
		j.record.Verdict("not run: %d accepted, %d spoilt answers", len(accepted), len(j.spoiled))
		return stand.NotRun
	}
	j.record.Verdict("held: %d messages, %d with a spoilt answer", len(accepted), len(j.spoiled))
	return stand.Held
}

func main() { stand.Main(run) }
