package hystest

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// crowdTimeout bounds what a client of a crowd waits for its connection and for each
// write, so that a test ends though the daemon reads nothing.
const crowdTimeout = 20 * time.Second

// crowdDialers is how many clients of a crowd connect at the same time, fewer than the
// queue of a listener holds.
const crowdDialers = 64

// crowdStay is how long a crowd stays before the ordinary request, so that the daemon has
// accepted all its connections.
const crowdStay = time.Second

// CrowdCase is one case of a test's data: a crowd at one port of a daemon.
type CrowdCase struct {
	Name  string `json:"name"`
	Port  string `json:"port"`
	Crowd *Crowd `json:"crowd"`
	// MaxDescriptors, unless 0, replaces the descriptors that the test allows the daemon.
	MaxDescriptors int `json:"max-descriptors"`
}

// CrowdBounds are what a process may use while a crowd stays.
type CrowdBounds struct {
	MemoryMB    int64
	Descriptors int
}

// Run sends the crowd to an address, and an ordinary request while it stays, and checks
// that the process lives within its bounds and serves that request.
func (c *CrowdCase) Run(t *testing.T, p *Process, address string, b CrowdBounds, ordinary func() (status int, err error)) {
	t.Helper()
	defer c.Crowd.Close()
	c.Crowd.Send(address)
	time.Sleep(crowdStay)
	status, err := ordinary()
	if !p.Alive() {
		t.Fatal("the daemon has ended")
	}
	memory, memoryErr := p.PeakMemory()
	if memoryErr != nil {
		t.Fatal(memoryErr)
	}
	descriptors := p.PeakDescriptors()
	t.Logf("status %d, %v; memory %d MB, %d descriptors", status, err, memory>>20, descriptors)
	if memory > b.MemoryMB<<20 {
		t.Errorf("the daemon took %d MB of memory, %d MB allowed", memory>>20, b.MemoryMB)
	}
	if descriptors > b.Descriptors {
		t.Errorf("the daemon had %d open descriptors, %d allowed", descriptors, b.Descriptors)
	}
	if err != nil || status != http.StatusOK {
		t.Errorf("an ordinary request afterwards: status %d, %v", status, err)
	}
}

// Crowd is many clients that each send a request with a large body. Most stop just
// short of its end and stay.
type Crowd struct {
	// Head is the request line and the header of each request, with its line ends, and
	// without the fields of the body.
	Head string `json:"head"`
	// Clients is the number of clients, Finishing how many of them send all.
	Clients   int `json:"clients"`
	Finishing int `json:"finishing"`
	// BodyBytes is the size of a body. Without a body a client sends nothing at all.
	BodyBytes int `json:"body-bytes"`
	// PieceBytes is the size of each write, or of each chunk if the body is Chunked.
	// 0 stands for the whole body.
	PieceBytes int  `json:"piece-bytes"`
	Chunked    bool `json:"chunked"`

	mu    sync.Mutex
	conns []net.Conn
}

// Send opens the connections and sends the requests. It returns when each client has
// sent what it sends, or can send no more. The connections stay open until Close.
func (c *Crowd) Send(address string) {
	wire := c.wire()
	tokens := make(chan struct{}, crowdDialers)
	var wait sync.WaitGroup
	for i := range c.Clients {
		wait.Go(func() {
			tokens <- struct{}{}
			conn, err := net.DialTimeout("tcp", address, crowdTimeout)
			<-tokens
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			c.send(conn, wire, i < c.Finishing)
		})
	}
	wait.Wait()
}

// wire returns the pieces of one whole request, the head first.
func (c *Crowd) wire() [][]byte {
	if c.BodyBytes == 0 {
		return nil
	}
	body := bytes.Repeat([]byte("x"), c.BodyBytes)
	size := c.PieceBytes
	if size == 0 {
		size = len(body)
	}
	if !c.Chunked {
		pieces := [][]byte{fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", c.Head, len(body))}
		for start := 0; start < len(body); start += size {
			pieces = append(pieces, body[start:min(start+size, len(body))])
		}
		return pieces
	}
	pieces := [][]byte{[]byte(c.Head + "Transfer-Encoding: chunked\r\n\r\n")}
	var chunks strings.Builder
	for start := 0; start < len(body); start += size {
		chunk := body[start:min(start+size, len(body))]
		fmt.Fprintf(&chunks, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	return append(pieces, []byte(chunks.String()+"0\r\n\r\n"))
}

// send sends a request; one that is not whole lacks its last bytes. An error ends it,
// since a daemon may close the connection.
func (c *Crowd) send(conn net.Conn, wire [][]byte, whole bool) {
	const withheld = len("x\r\n0\r\n\r\n")
	for i, piece := range wire {
		if i == len(wire)-1 && !whole {
			piece = piece[:max(0, len(piece)-withheld)]
		}
		_ = conn.SetWriteDeadline(time.Now().Add(crowdTimeout))
		if _, err := conn.Write(piece); err != nil {
			return
		}
	}
}

// Close closes the connections.
func (c *Crowd) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

// Exchange sends one whole request and returns the status of its answer.
func (c *Crowd) Exchange(address string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, crowdTimeout)
	if err != nil {
		return 0, fmt.Errorf("Crowd.Exchange: %w", err)
	}
	defer conn.Close()
	c.send(conn, c.wire(), true)
	_ = conn.SetReadDeadline(time.Now().Add(crowdTimeout))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, fmt.Errorf("Crowd.Exchange: %w", err)
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}
