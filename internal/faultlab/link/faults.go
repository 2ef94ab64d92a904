package link

import "time"

// Direction is the direction in which a link passes bytes.
type Direction int

// The directions of a link. The client is the process that connects.
const (
	ToServer Direction = iota
	ToClient
)

// Faults are what a link does to the bytes of one direction. With the zero value it passes
// them on without delay.
type Faults struct {
	Cut    bool          // no bytes pass, and neither process gets an error
	Delay  time.Duration // delay of each byte
	Jitter time.Duration // largest random addition to Delay, drawn for each piece; bytes stay in order
	Rate   int           // bytes a second; 0 for no limit
}

// delayOf returns the delay of a piece with the given number of bytes; drawn is its random
// number from 0 to 1.
func (f Faults) delayOf(bytes int, drawn float64) time.Duration {
	delay := f.Delay + time.Duration(drawn*float64(f.Jitter))
	if f.Rate > 0 {
		delay += time.Duration(bytes) * time.Second / time.Duration(f.Rate)
	}
	return delay
}
