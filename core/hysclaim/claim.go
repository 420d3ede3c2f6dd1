// Package hysclaim lets a non-idempotent request run at most once.
//
// Before a request is sent, its id is claimed in the platform's store. A claim
// is made once and never taken over. Claims lie in pages, by the window of
// time in which the request was issued and by a hash of its id, so that many
// claims share one write.
//
// The pages of a partition form a ring of RingSize slots, and the window in a
// page only rises. A claim for a window below that of its page is refused, so
// no clock decides whether an earlier claim has been forgotten.
//
// # Usage
//
//	id, err := hysclaim.Canonical(id)
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

// ErrExpired is returned for a request id whose window is no longer kept.
const ErrExpired = errors.ConstError("request id is older than the retention of claims")

// Window numbers the spans of time that claims are kept in.
type Window int64

// Partition numbers the rings of pages.
type Partition uint32

// Nonce tells apart the attempts to make the same claim.
type Nonce string

// Layout of the pages. It is part of the stored format: daemons with another
// layout would look for a claim in another page.
const (
	// WindowLength is the span of one window.
	WindowLength = time.Minute
	// PartitionCount is how many rings of pages there are.
	PartitionCount = 8
	// RingSize is how many windows a ring keeps. RingSize windows are longer
	// than hysquery.ClaimRetention and hysquery.MaxClockAhead together.
	RingSize = 80
)

// Slot is the place of a claim.
type Slot struct {
	Partition Partition
	Window    Window
}

// Claim is the right to send one request, and what became of it.
type Claim struct {
	ID    hysquery.RequestID `json:"-"`
	Nonce Nonce              `json:"nonce"`
	// Answer is the recorded final answer, if any.
	Answer *hysquery.Answer `json:"answer,omitempty"`
}

// CanonicalID returns the one spelling of a request id that claims are kept by.
func CanonicalID(id hysquery.RequestID) (hysquery.RequestID, error) {
	parsed, err := uuid.Parse(string(id))
	if err != nil {
		return "", fmt.Errorf("Canonical: request-id %q: %w: %w", string(id), err, hysquery.ErrInvalid)
	}
	return hysquery.RequestID(parsed.String()), nil
}

// SlotOf returns the slot of a canonical request id.
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

// String returns the partition and the place in its ring. Windows that are
// RingSize apart share it.
func (s Slot) String() string {
	return fmt.Sprintf("%d/%d", s.Partition, s.Window%RingSize)
}
