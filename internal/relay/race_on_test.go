//go:build race

package relay

// raceDetectorEnabled is true: the race detector makes the program many times slower, so that
// tests with time limits must do less.
const raced = true
