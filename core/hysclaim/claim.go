// Package hysclaim lets a non-idempotent request run at most once.
//
// Before a request is sent, its id is claimed in the platform's store. A claim
// is made once and never passes to another holder. Claims are stored in pages,
// by the time window in which the request was issued and by a hash of its id, so
// that many claims share one write.
//
// The pages of a partition form a ring of RingSize slots. The window of a page
// only increases, and a claim for an earlier window is refused. So whether an
// earlier claim may have expired doesn't depend on any clock.
//
// # Usage
//
//	id, err := hysclaim.CanonicalID(id)
//	slot, err := hysclaim.SlotOf(id)
//	claim, won, err := page.Claim(slot.Window, id, nonce)
//	if won { ... write the page, then send ... }
package hysclaim

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"hyssopshore/core/hysquery"
)

// ErrExpired is returned for a request id whose window has been overwritten by a
// later one.
const ErrExpired = errors.ConstError("request id is older than the retention of claims")

// Window is the number of a time window of WindowLength, counted from the Unix
// epoch.
type Window int64

// Partition is the number of a ring of pages.
type Partition uint32

// Nonce identifies one of several attempts to make the same claim.
type Nonce string

// Layout of the pages. It is part of the stored format: an instance with another
// layout would look for a claim in the wrong page.
const (
	// WindowLength is the length of one window.
	WindowLength = time.Minute
	// PartitionCount is the number of rings of pages.
	PartitionCount = 8
	// RingSize is the number of windows in a ring. RingSize windows are longer
	// than hysquery.ClaimRetention and hysquery.MaxClockAhead together.
	RingSize = 80
)

// Slot is the partition and the window that a claim belongs to.
type Slot struct {
	Partition Partition
	Window    Window
}

// Claim is the right to send one request, with the answer once it is known.
type Claim struct {
	ID    hysquery.RequestID `json:"-"`
	Nonce Nonce              `json:"nonce"`
	// Answer is the final answer, nil until it is recorded.
	Answer *hysquery.Answer `json:"answer,omitempty"`
}

// CanonicalID returns the canonical spelling of a request id, under which claims
// are stored. The error is hysquery.ErrInvalid if the id is not a UUID.
func CanonicalID(id hysquery.RequestID) (hysquery.RequestID, error) {
	parsed, err := uuid.Parse(string(id))
	if err != nil {
		return "", fmt.Errorf("CanonicalID: request-id %q: %w: %w", string(id), err, hysquery.ErrInvalid)
	}
	return hysquery.RequestID(parsed.String()), nil
}

// SlotOf returns the slot of a canonical request id. The error is
// hysquery.ErrInvalid if the id is not a UUID of version 7.
func SlotOf(id hysquery.RequestID) (Slot, error) {
	issued, err := id.IssuedAt()
	if err != nil {
		return Slot{}, fmt.Errorf("SlotOf: %w", err)
	}
	return Slot{
		Partition: Partition(xxhash.Sum64String(string(id)) % PartitionCount),
		Window:    Window(issued.UnixNano() / int64(WindowLength)),
	}, nil
}

// String returns the partition and the position in its ring, for example "3/17".
// Windows that are RingSize apart share a position.
func (s Slot) String() string {
	return fmt.Sprintf("%d/%d", s.Partition, s.Window%RingSize)
}
