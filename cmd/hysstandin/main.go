// Command hysstandin runs the stand-ins for the platform and the searchers. It
// also has helpers for scripts: ports checks that addresses are free, and call
// sends an HTTP request.
//
// # Usage
//
//	hysstandin platform --address 127.0.0.1:7000
//	hysstandin searcher --address 127.0.0.1:7400 --id cd-0-0 --service captains-desk --shard 0 --shards 10
//	hysstandin ports 127.0.0.1:7000 127.0.0.1:7101
//	hysstandin call --wait 10s http://127.0.0.1:7101/health
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
	"hyssopshore/internal/hysstandin"
	"hyssopshore/io/hyssearch"
)

type platformCommand struct {
	Address string `arg:"--address" default:"127.0.0.1:7000" help:"IP number and port to listen on"`
}

type searcherCommand struct {
	Address     string                `arg:"--address,required" help:"IP number and port to listen on"`
	ID          string                `arg:"--id,required" help:"ID of the searcher"`
	Service     string                `arg:"--service,required" help:"service it belongs to"`
	Shard       uint32                `arg:"--shard" help:"shard it holds"`
	Shards      uint32                `arg:"--shards" default:"1" help:"shards of the service"`
	Slots       int                   `arg:"--slots" default:"2" help:"searches it runs concurrently"`
	Versions    []hyssnapshot.Version `arg:"--versions" help:"index versions it serves (default 1)"`
	Epoch       uint64                `arg:"--epoch" default:"1" help:"epoch of the shard map"`
	Records     int                   `arg:"--records" default:"300" help:"records of the whole service"`
	MeanUS      int64                 `arg:"--mean-us" default:"2000" help:"mean service time in microseconds"`
	Sigma       float64               `arg:"--sigma" default:"0.5" help:"sigma of the log-normal service time"`
	Seed        uint64                `arg:"--seed" default:"1" help:"seed of the service times"`
	Incarnation uint64                `arg:"--incarnation" help:"incarnation of the searcher (default: the time in Unix milliseconds)"`
}

type arguments struct {
	Platform *platformCommand `arg:"subcommand:platform" help:"key-value store and instance list"`
	Searcher *searcherCommand `arg:"subcommand:searcher" help:"one backend server"`
	Call     *callCommand     `arg:"subcommand:call" help:"call a URL and print the reply; it fails unless the status is 2xx"`
	Ports    *portsCommand    `arg:"subcommand:ports" help:"check that nothing listens on addresses"`
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var err error
	switch {
	case args.Platform != nil:
		err = serve(ctx, args.Platform.Address, hysstandin.NewPlatform().Handler())
	case args.Searcher != nil:
		err = serve(ctx, args.Searcher.Address, args.Searcher.handler())
	case args.Call != nil:
		err = args.Call.run(ctx)
	case args.Ports != nil:
		err = args.Ports.run()
	default:
		parser.Fail("platform, searcher, call or ports must be given")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "hysstandin:", err)
		os.Exit(1)
	}
}

func (c *searcherCommand) handler() http.Handler {
	width := hyssnapshot.KeySpace / uint64(c.Shards)
	h := hyssearch.InfoHolding{
		Epoch: hyssnapshot.Epoch(c.Epoch), Shard: hysservice.ShardID(c.Shard),
		From: uint64(c.Shard) * width, To: uint64(c.Shard+1) * width, Versions: c.Versions,
	}
	if c.Shard+1 == c.Shards {
		h.To = hyssnapshot.KeySpace
	}
	if len(h.Versions) == 0 {
		h.Versions = []hyssnapshot.Version{1}
	}
	incarnation := c.Incarnation
	if incarnation == 0 {
		incarnation = uint64(time.Now().UnixMilli())
	}
	settings := hysstandin.SearcherSettings{
		ID: hysmember.SearcherID(c.ID), Service: hysservice.Name(c.Service), Slots: c.Slots,
		Holdings: []hyssearch.InfoHolding{h}, Records: c.Records,
		ServiceMeanUS: c.MeanUS, ServiceSigma: c.Sigma, Seed: c.Seed,
	}
	return hysstandin.NewSearcher(settings, incarnation, func() { os.Exit(3) }).Handler()
}

func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	select {
	case err := <-done:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	grace, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if server.Shutdown(grace) != nil {
		// A long watch may outlast the shutdown timeout.
		_ = server.Close()
	}
	return nil
}
