package hystest

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"time"

	"hyssopshore/core/hysmember"
)

// endlessBlock is how much an Endless server writes at once, in bytes.
const endlessBlock = 32 << 10

// Endless is a server that begins a response to each request and then repeats some
// bytes until the connection is closed.
type Endless struct {
	Begin  string `json:"begin"`
	Repeat string `json:"repeat"`
	// PauseMS is the time between two repeats; without one they come in blocks.
	PauseMS int `json:"pause-ms"`
}

// Serve answers requests until the listener is closed, and returns that and its
// address.
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
	for e.PauseMS == 0 && len(block) < endlessBlock {
		block = append(block, e.Repeat...)
	}
	for err == nil {
		_, err = conn.Write(block)
		time.Sleep(time.Duration(e.PauseMS) * time.Millisecond)
	}
}
