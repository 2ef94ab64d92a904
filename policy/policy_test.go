package policy

import (
	"fmt"
	"testing"
)

// BenchmarkStep measures what a message and its answer cost with few and with many endpoints. No
// test asserts a time.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{20, 700} {
		b.Run(fmt.Sprint(n, " endpoints"), func(b *testing.B) {
			p, _ := New(baseSettings(), 1)
			var list []Entry
			for i := range n {
				list = append(list, Entry{Endpoint: Endpoint(i + 1), State: Ready, Dest: i, Rate: 1e6})
			}
			now := second
			p.Step(now, []Event{{Kind: EventListUpdate, ListUpdate: ListCached, Entries: list}}, nil)
			var actions []Action
			for i := range b.N {
				now += 5000
				id := uint32(i + 1)
				actions = p.Step(now, []Event{{Kind: EventMessage, Message: id, Dest: i % n, TimeLeft: 20 * second}}, actions[:0])
				actions = p.Step(now, []Event{{Kind: EventAttemptDone, Message: id, Final: true, Latency: 1000}}, actions[:0])
			}
		})
	}
}
