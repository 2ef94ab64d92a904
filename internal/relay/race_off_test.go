//go:build !race

package relay

// raced reports whether the race detector is at work.
const raceDetectorEnabled = false
