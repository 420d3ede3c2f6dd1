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
	// MaxPageBytes is the size from which a page takes no more claims.
	MaxPageBytes = 900_000
	// MaxAnswerBytes is the largest answer that is kept.
	MaxAnswerBytes = 2_000
	// claimSize is at least what a claim without an answer takes.
	claimSize = 128
)

// Page holds the claims of one slot. The zero value is an empty page.
type Page struct {
	// Window only rises.
	Window Window                       `json:"window"`
	Claims map[hysquery.RequestID]Claim `json:"claims"`

	size    int
	changes int
}

// DecodePage reads the stored form of a page.
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

// UnchangedSince reports whether a clone has not been changed since it was made.
func (p *Page) UnchangedSince(original *Page) bool { return p.changes == original.changes }

// Claim adds a claim. It returns the claim that stands and whether it is the
// caller's own. A window above that of the page empties the page first; for a
// window below it the error is ErrForgotten.
func (p *Page) Claim(window Window, id hysquery.RequestID, nonce Nonce) (Claim, bool, error) {
	if window < p.Window {
		return Claim{}, false, fmt.Errorf("Page.Claim: window %d is before %d: %w", window, p.Window, ErrExpired)
	}
	if window > p.Window {
		*p = Page{Window: window, changes: p.changes + 1}
	}
	if known, ok := p.Claims[id]; ok {
		return known, known.Nonce == nonce, nil
	}
	if p.size+claimSize > MaxPageBytes {
		return Claim{}, false, fmt.Errorf("Page.Claim: %d bytes: %w", p.size, ErrFull)
	}
	c := Claim{ID: id, Nonce: nonce}
	p.set(c)
	p.size += claimSize
	return c, true, nil
}

// RecordAnswer stores the final answer of the holder of a claim, unless it has one.
// It reports whether the page was changed.
func (p *Page) RecordAnswer(id hysquery.RequestID, nonce Nonce, answer hysquery.Answer) bool {
	known, ok := p.Claims[id]
	if !ok || known.Nonce != nonce || known.Answer != nil {
		return false
	}
	answer, size := bounded(answer)
	if p.size+size > MaxPageBytes {
		return false
	}
	known.Answer = &answer
	p.set(known)
	p.size += size
	return true
}

func (p *Page) set(c Claim) {
	if p.Claims == nil {
		p.Claims = make(map[hysquery.RequestID]Claim)
	}
	p.Claims[c.ID] = c
	p.changes++
}

// Merge adds the claims of the same window that the other page has. A store
// restored from a backup may have lost some.
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
			p.set(c)
			p.size += claimSize
		}
	}
}

// bounded returns the answer in the form that is kept, and its size. Hits are
// kept whole or not at all: an answer without its hits would not be the answer.
func bounded(a hysquery.Answer) (hysquery.Answer, int) {
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

func encodedSize(a hysquery.Answer) int {
	data, err := json.Marshal(a)
	if err != nil {
		return MaxAnswerBytes + 1
	}
	return len(data)
}
