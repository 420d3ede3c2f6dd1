package hysfront_test

import (
	"bufio"
	"fmt"
	"hyssopshore/internal/hystest"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysroute"
	"hyssopshore/core/hysservice"
	"hyssopshore/io/hysfront"
)

// quickSearcher answers every request with the same shard result, at little cost.
func quickSearcher(b *testing.B, part string) hysmember.Address {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Sig: s\r\nContent-Type: application/octet-stream\r\nContent-Length: %d\r\n\r\n%s", len(part), part)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go quickAnswers(conn, response)
		}
	}()
	return hysmember.Address(listener.Addr().String())
}

func quickAnswers(conn net.Conn, response string) {
	defer conn.Close()
	requests := bufio.NewReader(conn)
	for {
		line, err := requests.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(line) > len("\r\n") {
			continue
		}
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
	}
}

// BenchmarkQuery measures a query over 90 shards through the ingress of a
// daemon, one at a time.
func BenchmarkQuery(b *testing.B) {
	const shards, copies = 90, 3
	route := &hysroute.Route{
		Name: "call", Host: "rota.example", Prefix: "/", Idempotent: true, Timeout: time.Second,
		Goal: 500 * time.Millisecond, TopK: 10, MinCoverage: 0.9, MaxAttempts: 2,
	}
	settings := hysfront.Settings{Instance: "entry", Zone: "z", Region: "r", RetryShare: 0.2, RetrySlack: 50}
	settings.Defaults()
	front := hysfront.New(settings, hysfront.Source{}, headers, slog.New(slog.DiscardHandler))
	var entries hysmember.Entries
	for s := range shards {
		name := hysservice.Name(fmt.Sprint("shard-", s))
		route.Shards = append(route.Shards, name)
		for c := range copies {
			address := quickSearcher(b, strings.Repeat("r", 160))
			entries = append(entries, hysmember.Entry{Slots: 4, Revision: hystest.Revision(1), Searcher: hysmember.Searcher{
				ID: hysmember.SearcherID(fmt.Sprint(name, "-", c)), Service: name, Address: address, Zone: "z",
			}})
		}
	}
	c, skipped := hysroute.NewConfiguration(1, hysroute.Routes{route}, nil, hysroute.Limits{})
	if len(skipped) > 0 {
		b.Fatal(skipped)
	}
	front.ApplySnapshot(hysfront.Snapshot{Configuration: hysfront.StoredConfiguration{Decoded: c}, Entries: entries})
	handler := front.Handler()
	for b.Loop() {
		r := httptest.NewRequest(http.MethodGet, "http://rota.example/7", nil)
		r.Header.Set("X-Id", "r-1")
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		if w.Code != http.StatusOK {
			b.Fatal(w.Code, w.Body.String())
		}
	}
}
