package link

import "time"

// Direction is one of a link's two.
type Direction int

// The directions. The client is the side that connects.
const (
	ToServer Direction = iota
	ToClient
)

// Faults are what a link does to the bytes of one direction. The zero value passes
// them on at once.
type Faults struct {
	Cut    bool          // nothing passes, and neither side is told
	Delay  time.Duration // of each byte
	Jitter time.Duration // up to so much more, drawn for each piece; bytes stay in order
	Rate   int           // bytes a second; 0 for no limit
}

// delayOf is the delay of a piece of so many bytes; drawn is from 0 to 1.
func (f Faults) delayOf(bytes int, drawn float64) time.Duration {
	delay := f.Delay + time.Duration(drawn*float64(f.Jitter))
	if f.Rate > 0 {
		delay += time.Duration(bytes) * time.Second / time.Duration(f.Rate)
	}
	return delay
}
