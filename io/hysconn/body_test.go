package hysconn_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/onsi/gomega"

	"hyssopshore/io/hysconn"
)

func TestReadBody(t *testing.T) {
	for _, size := range []int{0, 1, 511, 512, 513, 1536, 200_000} {
		g := gomega.NewWithT(t)
		want := bytes.Repeat([]byte("b"), size)
		for name, body := range map[string]io.Reader{
			"whole": bytes.NewReader(want), "one byte at a time": iotest.OneByteReader(bytes.NewReader(want)),
			"EOF with the last bytes": iotest.DataErrReader(bytes.NewReader(want)),
		} {
			got, err := hysconn.ReadBody(body)
			g.Expect(err).NotTo(gomega.HaveOccurred(), name)
			g.Expect(bytes.Equal(got, want)).To(gomega.BeTrue(), "%s of %d bytes", name, size)
		}
		for _, cut := range []error{io.ErrUnexpectedEOF, errors.New("reset")} {
			_, err := hysconn.ReadBody(io.MultiReader(bytes.NewReader(want), iotest.ErrReader(cut)))
			g.Expect(err).To(gomega.MatchError(cut), "a truncated body is an error")
		}
	}
}
