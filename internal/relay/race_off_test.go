//go:build !race

package relay

// raceDetectorEnabled is false: the test binary was built without the race detector.
const raceDetectorEnabled = false
