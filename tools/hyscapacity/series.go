package main

import (
	"fmt"
	"math"
	"runtime"
	"syscall"
	"time"
)

// Point is the value measured at one size.
type Point struct {
	Size  int     `json:"size"`
	Value float64 `json:"value"`
}

// Series is a cost measured at several sizes, with the line fitted to it.
type Series struct {
	Part      string  `json:"part"`
	Name      string  `json:"name"`
	Unit      string  `json:"unit"`
	Per       string  `json:"per"`
	Points    []Point `json:"points"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// MaxRelativeError is the largest relative distance of a point from the line,
	// as a fraction of the point's value.
	MaxRelativeError float64 `json:"worst-fit"`
}

func (s *Series) add(size int, value float64) {
	s.Points = append(s.Points, Point{Size: size, Value: value})
}

// fit fits the line with the least squared relative error, so that small sizes
// weigh as much as large ones.
func (s *Series) fit() {
	var weights, x, y, xx, xy float64
	for _, p := range s.Points {
		weight := 1 / math.Max(p.Value*p.Value, 1e-12)
		size := float64(p.Size)
		weights += weight
		x += weight * size
		y += weight * p.Value
		xx += weight * size * size
		xy += weight * size * p.Value
	}
	if determinant := weights*xx - x*x; determinant != 0 {
		s.Slope = (weights*xy - x*y) / determinant
		s.Intercept = (y - s.Slope*x) / weights
	}
	for _, p := range s.Points {
		distance := math.Abs(s.Intercept+s.Slope*float64(p.Size)-p.Value) / math.Max(p.Value, 1e-6)
		s.MaxRelativeError = math.Max(s.MaxRelativeError, distance)
	}
}

// minimumRun is the shortest time for which a point is measured.
const minimumRun = 150 * time.Millisecond

// maxIterations limits the calls for a point whose work is very short.
const maxIterations = 200_000

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// microseconds returns the mean processor time of one call of work, including
// garbage collection.
func microseconds(work func()) float64 {
	work()
	runtime.GC()
	begin, used := time.Now(), processorTime()
	count := 0
	for count == 0 || (time.Since(begin) < minimumRun && count < maxIterations) {
		work()
		count++
	}
	return float64((processorTime() - used).Nanoseconds()) / 1e3 / float64(count)
}

// kilobytes returns the size of the live heap that the result of build holds.
func kilobytes(build func() any) float64 {
	before := liveBytes()
	kept := build()
	after := liveBytes()
	runtime.KeepAlive(kept)
	return (float64(after) - float64(before)) / 1e3
}

func liveBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func wrapError(where string, err error) error {
	return fmt.Errorf("%s: %w", where, err)
}
