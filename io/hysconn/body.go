package hysconn

import (
	"bytes"
	"fmt"
	"io"

	"github.com/juju/errors"
)

// Sizes of the chunks in which a body is read, in bytes.
const (
	firstChunk = 512
	maxChunk   = 64 << 10
)

// ReadBody reads a body to its end. It reads into separate chunks that are
// joined at the end, because a buffer that grows by copying would leave several
// times the bytes of a long body as garbage.
func ReadBody(body io.Reader) ([]byte, error) {
	var chunks [][]byte
	for size := firstChunk; ; size = min(2*size, maxChunk) {
		chunk := make([]byte, size)
		n, err := fill(body, chunk)
		chunks = append(chunks, chunk[:n])
		if errors.Is(err, io.EOF) {
			return join(chunks), nil
		}
		if err != nil {
			return nil, fmt.Errorf("ReadBody: %w", err)
		}
	}
}

// fill reads until a chunk is full. Unlike io.ReadFull it returns the error of
// the body itself, which distinguishes the end of the body from a truncation.
func fill(body io.Reader, chunk []byte) (int, error) {
	n := 0
	for n < len(chunk) {
		m, err := body.Read(chunk[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

func join(chunks [][]byte) []byte {
	if len(chunks) == 1 {
		return chunks[0]
	}
	return bytes.Join(chunks, nil)
}
