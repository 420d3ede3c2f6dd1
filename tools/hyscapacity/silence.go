package main

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"hyssopshore/core/hysmember"
	"hyssopshore/io/hyspeer"
)

// meshSizes are the numbers of exchangers that run in this process and gossip
// over real sockets.
var meshSizes = []int{3, 9, 27, 81}

const (
	meshTimeout      = 15 * time.Second
	meshPollInterval = 10 * time.Millisecond
)

// meshNode is an exchanger with its server.
type meshNode struct {
	*hyspeer.Exchanger
	instance hysmember.Instance
	server   *http.Server
	leaving  atomic.Bool
	silent   atomic.Bool
	stop     context.CancelFunc
}

// measureSilence measures how long an update takes to reach every instance, and
// how long it takes until no instance uses one that has stopped replying.
func measureSilence(ctx context.Context) ([]Series, error) {
	spread := Series{Name: "news known to all", Unit: "ms", Per: "instances"}
	silence := Series{Name: "silent instance unusable at all others", Unit: "ms", Per: "instances"}
	for _, size := range meshSizes {
		ctx, stop := context.WithCancel(ctx)
		mesh, err := startMesh(ctx, size)
		if err != nil {
			stop()
			return nil, err
		}
		err = measureMesh(mesh, size, &spread, &silence)
		stop()
		for _, m := range mesh {
			_ = m.server.Close()
		}
		if err != nil {
			return nil, err
		}
	}
	return []Series{spread, silence}, nil
}

func measureMesh(mesh []*meshNode, size int, spread, silence *Series) error {
	if _, err := awaitAll(mesh, func(m *meshNode) bool { return len(m.Table.All()) == size }); err != nil {
		return err
	}
	mesh[0].leaving.Store(true)
	took, err := awaitAll(mesh[1:], func(m *meshNode) bool { return !m.Table.Usable(mesh[0].instance.ID) })
	if err != nil {
		return err
	}
	spread.add(size, float64(took.Milliseconds()))
	mesh[1].silent.Store(true)
	mesh[1].stop()
	took, err = awaitAll(mesh[2:], func(m *meshNode) bool { return !m.Table.Usable(mesh[1].instance.ID) })
	if err != nil {
		return err
	}
	silence.add(size, float64(took.Milliseconds()))
	return nil
}

func startMesh(ctx context.Context, size int) ([]*meshNode, error) {
	var mesh []*meshNode
	var list hysmember.List
	var listeners []*meter
	for n := range size {
		l, err := listen()
		if err != nil {
			return nil, err
		}
		i := hysmember.Instance{ID: peerID(n), Address: l.address(), Zone: zoneOf(n), Region: regionOf(n)}
		listeners = append(listeners, l)
		list.Instances = append(list.Instances, i)
		mesh = append(mesh, newMeshNode(i))
	}
	for n, m := range mesh {
		m.View.SetList(list)
		m.server = serveMeshNode(listeners[n], m)
		own, stop := context.WithCancel(ctx)
		m.stop = stop
		go m.Run(own)
	}
	return mesh, nil
}

func newMeshNode(i hysmember.Instance) *meshNode {
	m := &meshNode{instance: i, Exchanger: newExchanger(fleet{}, hyspeer.NewClient(secret))}
	m.LocalState = func() hyspeer.LocalState { return hyspeer.LocalState{Instance: i, Leaving: m.leaving.Load()} }
	return m
}

// serveMeshNode serves the peer protocol. A silent node never replies.
func serveMeshNode(l *meter, m *meshNode) *http.Server {
	handler := hyspeer.NewServer(secret, answer, m.HandleExchange, noState).Handler()
	s := &http.Server{Protocols: new(http.Protocols)}
	s.Protocols.SetUnencryptedHTTP2(true)
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if m.silent.Load() {
			<-r.Context().Done()
			return
		}
		handler.ServeHTTP(w, r)
	})
	go func() { _ = s.Serve(l) }()
	return s
}

func awaitAll(mesh []*meshNode, condition func(*meshNode) bool) (time.Duration, error) {
	begin := time.Now()
	for time.Since(begin) < meshTimeout {
		all := true
		for _, m := range mesh {
			all = all && condition(m)
		}
		if all {
			return time.Since(begin), nil
		}
		time.Sleep(meshPollInterval)
	}
	return 0, fmt.Errorf("awaitAll: condition not met within %s", meshTimeout)
}
