package hystest

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"

	"hyssopshore/core/hysmember"
)

// endlessBlockBytes is the least that an Endless server without a pause writes at
// once.
const endlessBlockBytes = 32 << 10

// Endless is a server whose responses never end: it writes Begin and then repeats
// Repeat until the connection is closed.
type Endless struct {
	Begin  string `json:"begin"`
	Repeat string `json:"repeat"`
	// PauseMS is the time between two repeats, in milliseconds; 0 writes many
	// repeats at once.
	PauseMS int `json:"pause-ms"`
}

// Serve starts serving on a free loopback port and returns the listener and its
// address. Closing the listener stops it from accepting requests.
func (e Endless) Serve() (net.Listener, hysmember.Address) {
	listener, err := net.Listen("tcp", net.JoinHostPort(loopback, "0"))
	if err != nil {
		panic(fmt.Sprintf("no port on loopback: %v", err))
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.answer(conn)
		}
	}()
	return listener, hysmember.Address(listener.Addr().String())
}

func (e Endless) answer(conn net.Conn) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, err := conn.Write([]byte(e.Begin))
	block := []byte(e.Repeat)
	for e.PauseMS == 0 && len(block) < endlessBlockBytes {
		block = append(block, e.Repeat...)
	}
	for err == nil {
		_, err = conn.Write(block)
		time.Sleep(time.Duration(e.PauseMS) * time.Millisecond)
	}
}
