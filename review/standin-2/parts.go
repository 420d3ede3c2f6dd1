package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// recordBytes is the size of a record of a shard's answer.
const recordBytes = 16

// part is the answer of a searcher of one shard.
type part struct {
	service string
	id      string
	body    []byte
}

// signedParts holds the answers of all searchers by their signatures.
type signedParts struct {
	mu  sync.Mutex
	all map[string]part
}

var parts = signedParts{all: make(map[string]part)}

func (p *signedParts) add(signature string, one part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all[signature] = one
}

func (p *signedParts) get(signature string) (part, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	one, ok := p.all[signature]
	return one, ok
}

// newRecords returns random records.
func newRecords(count int) []byte {
	var body []byte
	for range count * recordBytes / 8 {
		body = binary.BigEndian.AppendUint64(body, rand.Uint64())
	}
	return body
}

// queryRoute is a route over many shards, as its clients know it.
type queryRoute struct {
	shards  []string
	topK    int
	minimum float64
}

// problem returns why a success is no answer to its query, or "" if it is one.
func (q queryRoute) problem(r reply) string {
	seen := make(map[string]bool)
	var records [][]byte
	for _, line := range r.header.Values("X-Part-Stamps") {
		for text := range strings.SplitSeq(line, ",") {
			one, ok := parts.get(strings.TrimSpace(text))
			switch {
			case !ok:
				return "the part stamp " + text + " is no searcher's"
			case one.id != r.id:
				return "a part of another request"
			case !slices.Contains(q.shards, one.service):
				return "a part of another service"
			case seen[one.service]:
				return "two parts of one service"
			}
			seen[one.service] = true
			for body := one.body; len(body) >= recordBytes; body = body[recordBytes:] {
				records = append(records, body[:recordBytes])
			}
		}
	}
	missing, _ := strconv.Atoi(r.header.Get("X-Missing-Parts"))
	switch {
	case len(seen) == 0:
		return "a success that names no part"
	case len(seen)+missing != len(q.shards):
		return fmt.Sprintf("%d parts and %d missing ones are not the %d shards", len(seen), missing, len(q.shards))
	case float64(len(seen)) < q.minimum*float64(len(q.shards)):
		return "too few parts for a success"
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if !bytes.Equal(bytes.Join(records[:min(q.topK, len(records))], nil), r.body) {
		return "the body is not the greatest records of the parts"
	}
	return ""
}
