package hysconn

import (
	"bytes"
	"fmt"
	"io"

	"github.com/juju/errors"
)

// Sizes of the pieces in which a body is read, in bytes.
const (
	firstPiece = 512
	maxPiece   = 64 << 10
)

// ReadBody reads a body to its end. It reads it in pieces that are joined at the
// end: a buffer that grows by copying would leave several times the bytes of a long
// body behind for the collector.
func ReadBody(body io.Reader) ([]byte, error) {
	var pieces [][]byte
	for size := firstPiece; ; size = min(2*size, maxPiece) {
		piece := make([]byte, size)
		n, err := fill(body, piece)
		pieces = append(pieces, piece[:n])
		if errors.Is(err, io.EOF) {
			return join(pieces), nil
		}
		if err != nil {
			return nil, fmt.Errorf("ReadBody: %w", err)
		}
	}
}

// fill reads until a piece is full. Unlike that of io.ReadFull its error is the
// body's own, which tells an end from a cut.
func fill(body io.Reader, piece []byte) (int, error) {
	n := 0
	for n < len(piece) {
		m, err := body.Read(piece[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

func join(pieces [][]byte) []byte {
	if len(pieces) == 1 {
		return pieces[0]
	}
	return bytes.Join(pieces, nil)
}
