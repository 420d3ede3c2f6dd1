// Package hysmerge merges the records of the parts of a query.
//
// A record has a fixed size and records are compared byte by byte, so that
// merging needs to know nothing of what they hold.
//
// # Usage
//
//	body := hysmerge.Greatest([][]byte{first, second}, 10)
package hysmerge

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of a record.
const RecordBytes = 16

// Greatest returns the count greatest records of all parts, greatest first. A
// remainder of a part that is shorter than a record is none.
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
