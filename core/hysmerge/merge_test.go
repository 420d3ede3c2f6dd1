package hysmerge_test

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"hyssopshore/core/hysmerge"
	"hyssopshore/internal/hyssuite"
)

func TestMain(m *testing.M) { hyssuite.Main(m, 300) }

// greatestOracle selects the greatest remaining record, one at a time.
func greatestOracle(parts [][]byte, count int) []byte {
	var all [][]byte
	for _, p := range parts {
		for at := 0; at+hysmerge.RecordBytes <= len(p); at += hysmerge.RecordBytes {
			all = append(all, p[at:at+hysmerge.RecordBytes])
		}
	}
	var merged []byte
	for range count {
		best := -1
		for i, r := range all {
			if r != nil && (best < 0 || bytes.Compare(r, all[best]) > 0) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		merged = append(merged, all[best]...)
		all[best] = nil
	}
	return merged
}

// TestGreatest compares Greatest with greatestOracle, with equal records,
// incomplete records and empty parts.
func TestGreatest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		letters := rapid.SliceOfN(rapid.ByteRange('a', 'b'), 0, 5*hysmerge.RecordBytes+3)
		parts := rapid.SliceOfN(letters, 0, 4).Draw(t, "parts")
		count := rapid.IntRange(0, 12).Draw(t, "count")
		got, want := hysmerge.Greatest(parts, count), greatestOracle(parts, count)
		if !bytes.Equal(got, want) {
			t.Fatalf("got %q, want %q", got, want)
		}
	})
}
