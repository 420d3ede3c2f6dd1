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

// hitBytes is the size of a hit; each shard returns one hit.
const hitBytes = 100

// FleetRequest asks the remote process to serve the state of a fleet of this
// size.
type FleetRequest struct {
	Instances int `json:"instances"`
	Searchers int `json:"searchers"`
}

// Addresses are the addresses that the remote process serves a fleet on.
type Addresses struct {
	Peer     hysmember.Address `json:"peer"`
	Searcher hysmember.Address `json:"searcher"`
}

// Usage is the processor time of the remote process since its start, and the
// bytes of the connections of its current measurement.
type Usage struct {
	ProcessorTime time.Duration `json:"processor"`
	Read          int64         `json:"read"`
	Written       int64         `json:"written"`
}

// meter is a listener that counts the bytes of its connections.
type meter struct {
	net.Listener
	read    atomic.Int64
	written atomic.Int64
}

type meteredConn struct {
	net.Conn
	meter *meter
}

// Accept returns the next connection, whose bytes are counted.
func (m *meter) Accept() (net.Conn, error) {
	c, err := m.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: c, meter: m}, nil
}

// Read reads from the connection and counts the bytes.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.read.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.written.Add(int64(n))
	return n, err
}

// servePeer runs the remote process of the measurements until the context ends.
// Each POST of a fleet starts a peer with the state of that fleet and a searcher.
func servePeer(ctx context.Context, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return wrapError("servePeer", err)
	}
	p := &remoteServer{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fleet", p.open)
	mux.HandleFunc("GET /usage", p.usage)
	server := &http.Server{Handler: mux}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(l); err != http.ErrServerClosed {
		return wrapError("servePeer", err)
	}
	return nil
}

// remoteServer serves one measurement at a time in the remote process.
type remoteServer struct {
	mu     sync.Mutex
	meters []*meter
}

// open closes the listeners of the previous measurement, opens new ones and
// replies with their addresses.
func (p *remoteServer) open(w http.ResponseWriter, r *http.Request) {
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

func (p *remoteServer) replace(f fleet) (Addresses, error) {
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
	serve(searcherMeter, newSearcher().Handler())
	p.meters = []*meter{peerMeter, searcherMeter}
	return Addresses{Peer: peerMeter.address(), Searcher: searcherMeter.address()}, nil
}

func (p *remoteServer) usage(w http.ResponseWriter, _ *http.Request) {
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
		return nil, wrapError("listen", err)
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

// answer replies to a sub-request immediately, with one hit.
func answer(_ context.Context, sub hysdispatch.SubRequest) hysdispatch.SubReply {
	return hysdispatch.SubReply{
		Shard: sub.Shard, Status: hysquery.ShardAnswered, Version: sub.Version, Epoch: sub.Epoch,
		Hits: [][]byte{hit()},
	}
}

// hit returns random text, which compresses as badly as the hits of many records.
func hit() []byte {
	h := make([]byte, 0, hitBytes)
	h = append(h, '"')
	for len(h) < hitBytes-1 {
		h = append(h, 'a'+byte(rand.IntN(26)))
	}
	return append(h, '"')
}

func noState() hysticket.State { return hysticket.State{} }

func newSearcher() *hysstandin.Searcher {
	return hysstandin.NewSearcher(hysstandin.SearcherSettings{
		ID: "searcher-0", Service: "service-0", Slots: 64, Records: 1,
		Holdings: []hyssearch.InfoHolding{{
			Epoch: 3, Shard: 0, From: 0, To: hyssnapshot.KeySpace, Versions: []hyssnapshot.Version{7},
		}},
	}, 1, func() {})
}

// remoteProcess is the client's side of the remote process.
type remoteProcess struct {
	Addresses
	control string
}

// remoteAddressKey is the context key of the remote process's address.
type remoteAddressKey struct{}

// startRemote makes the remote process start to serve a fleet.
func startRemote(ctx context.Context, f fleet) (*remoteProcess, error) {
	address, _ := ctx.Value(remoteAddressKey{}).(string)
	o := &remoteProcess{control: "http://" + address}
	body, err := json.Marshal(FleetRequest{Instances: f.instances, Searchers: f.searchers})
	if err != nil {
		return nil, wrapError("startRemote", err)
	}
	response, err := http.Post(o.control+"/fleet", "application/json", bytes.NewReader(body))
	if err != nil {
		return nil, wrapError("startRemote", err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&o.Addresses); err != nil {
		return nil, wrapError("startRemote", err)
	}
	return o, nil
}

func (o *remoteProcess) usage() (Usage, error) {
	var u Usage
	response, err := http.Get(o.control + "/usage")
	if err != nil {
		return u, wrapError("remoteProcess.usage", err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&u); err != nil {
		return u, wrapError("remoteProcess.usage", err)
	}
	return u, nil
}

// cost is the cost of one call: the processor time of this and of the remote
// process, in microseconds, and the bytes both ways.
type cost struct {
	local  float64
	remote float64
	bytes  float64
}

// concurrentCalls is the number of concurrent calls in a measurement of the
// fan-out, so that the wake-ups of an idle process do not dominate.
const concurrentCalls = 8

// measureCall runs work repeatedly, from parallel goroutines, and returns the mean
// cost of one call.
func (o *remoteProcess) measureCall(parallel int, work func() error) (cost, error) {
	if err := work(); err != nil {
		return cost{}, wrapError("remoteProcess.measureCall", err)
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
	local := processorTime() - used
	after, err := o.usage()
	if err != nil {
		return cost{}, err
	}
	calls := float64(count)
	return cost{
		local:  float64(local.Nanoseconds()) / 1e3 / calls,
		remote: float64((after.ProcessorTime - before.ProcessorTime).Nanoseconds()) / 1e3 / calls,
		bytes:  float64(after.Read+after.Written-before.Read-before.Written) / calls,
	}, nil
}

// repeat calls work from several goroutines for twice minimumRun and returns the
// number of calls and the first error.
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
					once.Do(func() { first = wrapError("repeat", err) })
					return
				}
				count.Add(1)
			}
		})
	}
	wait.Wait()
	return count.Load(), first
}

func shardID(n int) hysservice.ShardID { return hysservice.ShardID(n) }

func peerID(n int) hysmember.InstanceID { return hysmember.InstanceID(fmt.Sprintf("peer-%d", n)) }
