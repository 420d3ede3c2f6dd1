package main

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/internal/hyssuite"
)

func TestCommand(t *testing.T) {
	hyssuite.Run(t, "Command")
}

const ticketText = `{
  // A ticket of the tests.
  "number": 7, "author": "ama",
  "groups": [{"name": "accra-ringers", "services": ["captains-desk"]}],
}`

// replyCase states how a fake daemon replies.
type replyCase struct {
	Status int    `json:"status"`
	Body   string `json:"body"`
	// Listed, if set, is the reply to GET requests; Body is the reply to all others.
	Listed string `json:"listed"`
	Cut    bool   `json:"cut"`
	Silent bool   `json:"silent"`
	Refuse bool   `json:"refuse"`
}

func (c replyCase) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case c.Silent:
		// The server detects that the client has disconnected only after the body
		// has been read.
		_, _ = new(bytes.Buffer).ReadFrom(r.Body)
		<-r.Context().Done()
	case c.Cut:
		panic(http.ErrAbortHandler)
	case c.Listed != "" && r.Method == http.MethodGet:
		_, _ = w.Write([]byte(c.Listed))
	default:
		w.WriteHeader(c.Status)
		_, _ = w.Write([]byte(c.Body))
	}
}

// start starts the fake daemon and returns its address. With Refuse the address is
// one that refuses connections.
func (c replyCase) start() string {
	if c.Refuse {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		return listener.Addr().String()
	}
	server := httptest.NewServer(http.HandlerFunc(c.serve))
	DeferCleanup(server.Close)
	return server.Listener.Addr().String()
}

// commandCase is a command line, the replies of the daemons that it calls, and the
// exit code and output expected.
type commandCase struct {
	Name    string      `json:"name"`
	Words   []string    `json:"words"`
	Stdin   string      `json:"stdin"`
	Replies []replyCase `json:"replies"`
	Code    int         `json:"code"`
	Stdout  string      `json:"stdout"`
	Stderr  string      `json:"stderr"`
}

// words returns the command line with the addresses of the daemons, which are only
// known at run time.
func (c commandCase) words() []string {
	words := append([]string{}, c.Words...)
	for _, r := range c.Replies {
		words = append(words, "--address", r.start())
	}
	return words
}

func loadCommands() []commandCase {
	var cases []commandCase
	hyssuite.Read("commands.json", &cases)
	return cases
}

var _ = Describe("the command line", func() {
	BeforeEach(func() {
		secret := filepath.Join(GinkgoT().TempDir(), "operator.secret")
		Expect(os.WriteFile(secret, []byte("operator-secret-012\n"), 0o600)).To(Succeed())
		GinkgoT().Setenv("HYSSOPSHORE_SECRET_FILE", secret)
	})

	for _, c := range loadCommands() {
		It("exits as documented: "+c.Name, func() {
			stdin := strings.ReplaceAll(c.Stdin, "TICKET", ticketText)
			var stdout, stderr bytes.Buffer
			p := &program{stdin: strings.NewReader(stdin), stdout: &stdout, stderr: &stderr}
			start := time.Now()
			code := p.main(context.Background(), c.words())
			Expect(code).To(Equal(c.Code), "%s%s", &stdout, &stderr)
			Expect(stdout.String()).To(ContainSubstring(c.Stdout))
			Expect(stderr.String()).To(ContainSubstring(c.Stderr))
			Expect(time.Since(start)).To(BeNumerically("<", 5*time.Second))
			if code == exitOK {
				Expect(stderr.String()).To(BeEmpty())
			}
		})
	}

	It("has a long usage text with examples for every subcommand", func() {
		for names, text := range usages {
			Expect(text).To(ContainSubstring("Examples:\n  hyssopshore "+strings.Fields(names)[0]), names)
		}
	})
})
