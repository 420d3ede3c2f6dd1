//go:build !race

package hysdaemon_test

// slowdown is the factor by which time limits are extended; see
// slowdown_race_test.go.
const slowdown = 1
