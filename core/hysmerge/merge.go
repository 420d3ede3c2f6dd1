// Package hysmerge merges the records of shard results.
//
// Records have a fixed size and are compared byte by byte, so that merging
// needs no knowledge of their contents.
//
// # Usage
//
//	body := hysmerge.Greatest([][]byte{first, second}, 10)
package hysmerge

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of a record in bytes.
const RecordBytes = 16

// Greatest returns the count greatest records of all parts, in descending
// order. The end of a part that is shorter than a record is ignored.
func Greatest(parts [][]byte, count int) []byte {
	var records [][]byte
	for _, p := range parts {
		for len(p) >= RecordBytes {
			records = append(records, p[:RecordBytes])
			p = p[RecordBytes:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	records = records[:min(max(count, 0), len(records))]
	return bytes.Join(records, nil)
}
