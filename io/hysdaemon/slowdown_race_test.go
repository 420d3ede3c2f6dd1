//go:build race

package hysdaemon_test

// slowdown is the factor by which time limits are extended under the race
// detector. The required limits are checked without it.
const slowdown = 10
