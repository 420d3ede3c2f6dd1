package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
	"hyssopshore/core/hysticket"
	"hyssopshore/internal/hysstandin"
	"hyssopshore/io/hyspeer"
	"hyssopshore/io/hyssearch"
)

const secret = "capacity-secret-0123456789"

// hitBytes is the length of one hit; each shard returns one.
const hitBytes = 100

// FleetRequest is what the other process is to know.
type FleetRequest struct {
	Instances int `json:"instances"`
	Searchers int `json:"searchers"`
}

// Addresses of the other process.
type Addresses struct {
	Peer     hysmember.Address `json:"peer"`
	Searcher hysmember.Address `json:"searcher"`
}

// Usage is what the other process has used since its start.
type Usage struct {
	ProcessorTime time.Duration `json:"processor"`
	Read      int64         `json:"read"`
	Written   int64         `json:"written"`
}

// meter counts the bytes of the connections of a listener.
type meter struct {
	net.Listener
	read    atomic.Int64
	written atomic.Int64
}

type meteredConn struct {
	net.Conn
	meter *meter
}

// Accept returns a connection whose bytes are counted.
func (m *meter) Accept() (net.Conn, error) {
	c, err := m.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: c, meter: m}, nil
}

// Read counts what it reads.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.read.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.written.Add(int64(n))
	return n, err
}

// servePeer serves the other end of measurements until the context ends. Each
// POST of a fleet opens a peer and a searcher that know it.
func servePeer(ctx context.Context, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return failed("servePeer", err)
	}
	p := &peerEnd{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fleet", p.open)
	mux.HandleFunc("GET /usage", p.usage)
	server := &http.Server{Handler: mux}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(l); err != http.ErrServerClosed {
		return failed("servePeer", err)
	}
	return nil
}

// peerEnd is the other end of one measurement at a time.
type peerEnd struct {
	mu     sync.Mutex
	meters []*meter
}

// open closes the listeners of the last measurement and opens new ones.
func (p *peerEnd) open(w http.ResponseWriter, r *http.Request) {
	var wanted FleetRequest
	if err := json.NewDecoder(r.Body).Decode(&wanted); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	addresses, err := p.replace(fleet{wanted.Instances, wanted.Searchers})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_ = json.NewEncoder(w).Encode(addresses)
}

func (p *peerEnd) replace(f fleet) (Addresses, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.meters {
		_ = m.Close()
	}
	peerMeter, err := listen()
	if err != nil {
		return Addresses{}, err
	}
	searcherMeter, err := listen()
	if err != nil {
		return Addresses{}, err
	}
	serve(peerMeter, hyspeer.NewServer(secret, answer, newExchanger(f, nil).HandleExchange, noState).Handler())
	serve(searcherMeter, standIn().Handler())
	p.meters = []*meter{peerMeter, searcherMeter}
	return Addresses{Peer: peerMeter.address(), Searcher: searcherMeter.address()}, nil
}

func (p *peerEnd) usage(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	used := Usage{ProcessorTime: processorTime()}
	for _, m := range p.meters {
		used.Read += m.read.Load()
		used.Written += m.written.Load()
	}
	_ = json.NewEncoder(w).Encode(used)
}

func listen() (*meter, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, failed("listen", err)
	}
	return &meter{Listener: l}, nil
}

func (m *meter) address() hysmember.Address { return hysmember.Address(m.Addr().String()) }

func serve(l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h, Protocols: new(http.Protocols)}
	s.Protocols.SetUnencryptedHTTP2(true)
	s.Protocols.SetHTTP1(true)
	go func() { _ = s.Serve(l) }()
}

// answer replies at once with one hit.
func answer(_ context.Context, sub hysdispatch.SubRequest) hysdispatch.SubReply {
	return hysdispatch.SubReply{
		Shard: sub.Shard, Status: hysquery.ShardAnswered, Version: sub.Version, Epoch: sub.Epoch,
		Hits: [][]byte{hit()},
	}
}

// hit returns text that does not compress well, as hits of many records.
func hit() []byte {
	h := make([]byte, 0, hitBytes)
	h = append(h, '"')
	for len(h) < hitBytes-1 {
		h = append(h, 'a'+byte(rand.IntN(26)))
	}
	return append(h, '"')
}

func noState() hysticket.State { return hysticket.State{} }

func standIn() *hysstandin.Searcher {
	return hysstandin.NewSearcher(hysstandin.SearcherSettings{
		ID: "searcher-0", Service: "service-0", Slots: 64, Records: 1,
		Holdings: []hyssearch.InfoHolding{{
			Epoch: 3, Shard: 0, From: 0, To: hyssnapshot.KeySpace, Versions: []hyssnapshot.Version{7},
		}},
	}, 1, func() {})
}

// other is the process at the other end.
type other struct {
	Addresses
	control string
}

// peerKey is the key of the other process's address in a context.
type peerKey struct{}

// startOther makes the other process serve a fleet.
func startOther(ctx context.Context, f fleet) (*other, error) {
	address, _ := ctx.Value(peerKey{}).(string)
	o := &other{control: "http://" + address}
	body, err := json.Marshal(FleetRequest{Instances: f.instances, Searchers: f.searchers})
	if err != nil {
		return nil, failed("startOther", err)
	}
	response, err := http.Post(o.control+"/fleet", "application/json", bytes.NewReader(body))
	if err != nil {
		return nil, failed("startOther", err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&o.Addresses); err != nil {
		return nil, failed("startOther", err)
	}
	return o, nil
}

func (o *other) usage() (Usage, error) {
	var u Usage
	response, err := http.Get(o.control + "/usage")
	if err != nil {
		return u, failed("other.usage", err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&u); err != nil {
		return u, failed("other.usage", err)
	}
	return u, nil
}

// cost is what one call costs at both ends.
type cost struct {
	near  float64
	far   float64
	bytes float64
}

// callers is how many calls run at once in a measurement of the fan-out, so
// that the wake-ups of an idle process do not dominate.
const callers = 8

// call measures work, in microseconds and bytes, at both ends.
func (o *other) call(parallel int, work func() error) (cost, error) {
	if err := work(); err != nil {
		return cost{}, failed("other.call", err)
	}
	before, err := o.usage()
	if err != nil {
		return cost{}, err
	}
	used := processorTime()
	count, err := repeat(parallel, work)
	if err != nil {
		return cost{}, err
	}
	near := processorTime() - used
	after, err := o.usage()
	if err != nil {
		return cost{}, err
	}
	calls := float64(count)
	return cost{
		near:  float64(near.Nanoseconds()) / 1e3 / calls,
		far:   float64((after.ProcessorTime - before.ProcessorTime).Nanoseconds()) / 1e3 / calls,
		bytes: float64(after.Read+after.Written-before.Read-before.Written) / calls,
	}, nil
}

// repeat calls work from several goroutines for a while and returns how often.
func repeat(parallel int, work func() error) (int64, error) {
	var count atomic.Int64
	var first error
	var once sync.Once
	var wait sync.WaitGroup
	begin := time.Now()
	for range parallel {
		wait.Go(func() {
			for again := true; again; again = time.Since(begin) < 2*minimumRun {
				if err := work(); err != nil {
					once.Do(func() { first = failed("repeat", err) })
					return
				}
				count.Add(1)
			}
		})
	}
	wait.Wait()
	return count.Load(), first
}

func hysShard(n int) hysservice.ShardID { return hysservice.ShardID(n) }

func peerID(n int) hysmember.InstanceID { return hysmember.InstanceID(fmt.Sprintf("peer-%d", n)) }
