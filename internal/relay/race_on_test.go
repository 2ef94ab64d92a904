//go:build race

package relay

// raceDetectorEnabled is true: the test binary was built with the race detector, which makes
// the program many times slower, so that time limits would prove nothing at full size.
const raceDetectorEnabled = true
