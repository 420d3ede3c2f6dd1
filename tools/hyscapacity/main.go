// Command hyscapacity measures how the cost of each role grows with the size of
// the system, on one machine, and fits a line to each series: cost = intercept +
// slope * size. docs/CAPACITY.md is calculated from its output.
//
// Processor time is that of the whole process, from getrusage. The fan-out, the
// sub-requests and the exchanges run over real sockets to a second process,
// which measures its own processor time and counts the bytes on its connections.
//
// # Usage
//
//	hyscapacity peer                # the remote process, in another terminal; stopped by SIGTERM
//	hyscapacity                     # every series, as a table
//	hyscapacity --json              # the same as JSON
//	hyscapacity --only members      # fan-out, members, exchange, configuration, silence or claims
//
// scripts/capacity.sh starts both processes.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/alexflint/go-arg"
)

type peerCommand struct {
	Address string `arg:"--address" default:"127.0.0.1:6900" help:"IP number and port to listen on"`
}

type arguments struct {
	JSON  bool         `arg:"--json" help:"write JSON instead of a table"`
	Only  string       `arg:"--only" help:"run one part: fan-out, members, exchange, configuration, silence or claims"`
	Other string       `arg:"--other" default:"127.0.0.1:6900" help:"address of the remote process"`
	Peer  *peerCommand `arg:"subcommand:peer" help:"run the remote process of the measurements"`
}

// part is a group of series that are measured together.
type part struct {
	name string
	run  func(context.Context) ([]Series, error)
}

func parts() []part {
	return []part{
		{name: "fan-out", run: measureFanOut},
		{name: "members", run: measureMembers},
		{name: "exchange", run: measureExchange},
		{name: "configuration", run: measureConfiguration},
		{name: "silence", run: measureSilence},
		{name: "claims", run: measureClaims},
	}
}

// Report is the output of one run.
type Report struct {
	Go     string   `json:"go"`
	Cores  int      `json:"cores"`
	Series []Series `json:"series"`
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if args.Peer != nil {
		if err := servePeer(ctx, args.Peer.Address); err != nil {
			parser.Fail(err.Error())
		}
		return
	}
	report, err := measure(context.WithValue(ctx, remoteAddressKey{}, args.Other), args.Only)
	if err != nil {
		fmt.Fprintln(os.Stderr, "hyscapacity:", err)
		os.Exit(1)
	}
	if err := write(os.Stdout, report, args.JSON); err != nil {
		fmt.Fprintln(os.Stderr, "hyscapacity:", err)
		os.Exit(1)
	}
}

func measure(ctx context.Context, only string) (Report, error) {
	report := Report{Go: runtime.Version(), Cores: runtime.NumCPU()}
	for _, p := range parts() {
		if only != "" && only != p.name {
			continue
		}
		series, err := p.run(ctx)
		if err != nil {
			return report, fmt.Errorf("measure: %s: %w", p.name, err)
		}
		for i := range series {
			series[i].Part = p.name
			series[i].fit()
		}
		report.Series = append(report.Series, series...)
	}
	return report, nil
}

func write(w io.Writer, r Report, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s, %d cores\n", r.Go, r.Cores)
	fmt.Fprintln(t, "part\tseries\tunit\tper\tpoints (size:value)\tintercept\tslope\tworst fit")
	for _, s := range r.Series {
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%d:%.4g", p.Size, p.Value))
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.0f%%\n", s.Part, s.Name, s.Unit, s.Per,
			strings.Join(points, " "), s.Intercept, s.Slope, 100*s.MaxRelativeError)
	}
	return t.Flush()
}
