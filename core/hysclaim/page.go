package hysclaim

import (
	"encoding/json"
	"fmt"
	"maps"

	"github.com/juju/errors"

	"hyssopshore/core/hysquery"
)

// ErrFull is returned for a claim that does not fit into its page.
const ErrFull = errors.ConstError("the page of claims is full")

// Limits of a page, in bytes of its stored form.
const (
	// MaxPageBytes is the size from which a page accepts no more claims.
	MaxPageBytes = 900_000
	// MaxAnswerBytes is the size of the largest answer that is stored whole.
	MaxAnswerBytes = 2_000
	// reservedClaimBytes is at least the size of a claim without an answer.
	reservedClaimBytes = 128
)

// Page holds the claims of one slot. The zero value is an empty page.
type Page struct {
	// Window only increases.
	Window Window                       `json:"window"`
	Claims map[hysquery.RequestID]Claim `json:"claims"`

	// size estimates the stored size, in bytes.
	size int
	// changes counts the changes since the page was decoded.
	changes int
}

// DecodePage decodes the stored form of a page. Without data the page is empty.
func DecodePage(data []byte) (*Page, error) {
	p := &Page{}
	if len(data) == 0 {
		return p, nil
	}
	if err := json.Unmarshal(data, p); err != nil {
		return nil, fmt.Errorf("DecodePage: %w", err)
	}
	for id, c := range p.Claims {
		c.ID = id
		p.Claims[id] = c
	}
	p.size = len(data)
	return p, nil
}

// Encode returns the stored form of a page.
func (p *Page) Encode() ([]byte, error) {
	data, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("Page.Encode: %w", err)
	}
	return data, nil
}

// Clone returns a copy that can be changed on its own.
func (p *Page) Clone() *Page {
	return &Page{Window: p.Window, Claims: maps.Clone(p.Claims), size: p.size, changes: p.changes}
}

// UnchangedSince reports whether a clone has not been changed since it was made
// from the original.
func (p *Page) UnchangedSince(original *Page) bool { return p.changes == original.changes }

// Claim adds a claim, unless the page has one for the id already. It returns the
// claim in the page and whether it is the caller's own, by its nonce. A window
// above that of the page empties the page first; for a window below it the error
// is ErrExpired. If the page has no capacity for the claim, the error is ErrFull.
func (p *Page) Claim(window Window, id hysquery.RequestID, nonce Nonce) (Claim, bool, error) {
	if window < p.Window {
		return Claim{}, false, fmt.Errorf("Page.Claim: window %d is before %d: %w", window, p.Window, ErrExpired)
	}
	if window > p.Window {
		*p = Page{Window: window, changes: p.changes + 1}
	}
	if existing, ok := p.Claims[id]; ok {
		return existing, existing.Nonce == nonce, nil
	}
	if p.size+reservedClaimBytes > MaxPageBytes {
		return Claim{}, false, fmt.Errorf("Page.Claim: %d bytes: %w", p.size, ErrFull)
	}
	c := Claim{ID: id, Nonce: nonce}
	p.put(c)
	p.size += reservedClaimBytes
	return c, true, nil
}

// RecordAnswer stores the final answer of the holder of a claim, unless the claim
// has one or the page has no capacity for it. It reports whether the page was
// changed.
func (p *Page) RecordAnswer(id hysquery.RequestID, nonce Nonce, answer hysquery.Answer) bool {
	existing, ok := p.Claims[id]
	if !ok || existing.Nonce != nonce || existing.Answer != nil {
		return false
	}
	answer, size := boundAnswer(answer)
	if p.size+size > MaxPageBytes {
		return false
	}
	existing.Answer = &answer
	p.put(existing)
	p.size += size
	return true
}

func (p *Page) put(c Claim) {
	if p.Claims == nil {
		p.Claims = make(map[hysquery.RequestID]Claim)
	}
	p.Claims[c.ID] = c
	p.changes++
}

// Merge adds the claims of another page of the same window; a store restored
// from a backup may have lost some. If the other page has a later window, its
// content replaces the page's; if it has an earlier one, it is ignored.
func (p *Page) Merge(other *Page) {
	if other == nil || other.Window < p.Window {
		return
	}
	if other.Window > p.Window {
		*p = *other.Clone()
		return
	}
	for id, c := range other.Claims {
		if _, ok := p.Claims[id]; !ok {
			p.put(c)
			p.size += reservedClaimBytes
		}
	}
}

// boundAnswer returns the answer as it is stored, and its size in bytes. An answer
// above MaxAnswerBytes is replaced by a not-run or unknown answer without hits:
// the same answer with hits left out would be wrong.
func boundAnswer(a hysquery.Answer) (hysquery.Answer, int) {
	size := encodedSize(a)
	if size <= MaxAnswerBytes {
		return a, size
	}
	reason := fmt.Sprintf("an earlier send ended as %s; its answer of %d bytes is not kept", a.Outcome, size)
	if a.Outcome == hysquery.OutcomeNotRun {
		a = hysquery.NotRun(a.RequestID, "an earlier send did not run", 0)
	} else {
		a = hysquery.Unknown(a.RequestID, reason)
	}
	return a, encodedSize(a)
}

// encodedSize returns the size of the encoded answer in bytes. If it can't be
// encoded, the size is above MaxAnswerBytes.
func encodedSize(a hysquery.Answer) int {
	data, err := json.Marshal(a)
	if err != nil {
		return MaxAnswerBytes + 1
	}
	return len(data)
}
