// Command hyssopshore runs a daemon of the query tier and is the command-line client
// of its callers and operators.
//
// # Usage
//
//	hyssopshore check entry-1.hujson
//	hyssopshore serve --settings entry-1.hujson
//	hyssopshore query --group accra-ringers --service captains-desk --body '{"find":"treble"}'
//	hyssopshore ticket apply --secret-file operator.secret ticket.hujson
//	hyssopshore help ticket apply
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"
)

// version is the version of the program, as in CHANGELOG.md.
const version = "0.1.0"

type arguments struct {
	Serve      *serveCommand      `arg:"subcommand:serve" help:"run a daemon"`
	Front      *frontCommand      `arg:"subcommand:front" help:"run a frontend daemon on the platform"`
	Check      *checkCommand      `arg:"subcommand:check" help:"check a settings file"`
	Query      *queryCommand      `arg:"subcommand:query" help:"send one request as a caller"`
	Ticket     *ticketCommand     `arg:"subcommand:ticket" help:"apply tickets, show the configuration and its history"`
	Group      *groupCommand      `arg:"subcommand:group" help:"list the groups"`
	Service    *serviceCommand    `arg:"subcommand:service" help:"list the services"`
	Quarantine *quarantineCommand `arg:"subcommand:quarantine" help:"list the requests that crashed searchers, or lift a quarantine"`
	Status     *statusCommand     `arg:"subcommand:status" help:"show the live state of a daemon"`
	Losses     *lossesCommand     `arg:"subcommand:losses" help:"show from logs where answers were lost"`
	Versions   *versionsCommand   `arg:"subcommand:versions" help:"show from logs how long versions took to be in force"`
	Help       *helpCommand       `arg:"subcommand:help" help:"show the usage of a subcommand"`
}

// Version returns the text printed by --version.
func (arguments) Version() string { return "hyssopshore " + version }

// Epilogue returns the text printed below the options.
func (arguments) Epilogue() string { return usageExitCodes }

type helpCommand struct {
	Names []string `arg:"positional" help:"subcommand, such as: ticket apply"`
}

const usageProgram = `hyssopshore is a query tier over many shards.

Start with: make demo. README.md explains every subcommand.
'hyssopshore SUBCOMMAND --help' shows a longer text with examples.`

// usages maps the names of subcommands to their long usage texts.
var usages = map[string]string{
	"serve": usageServe, "front": usageFront, "check": usageCheck, "query": usageQuery,
	"ticket": usageTicket, "ticket apply": usageTicketApply,
	"ticket show": usageTicketShow, "ticket history": usageTicketHistory,
	"group": usageGroup, "group list": usageGroup,
	"service": usageService, "service list": usageService,
	"quarantine": usageQuarantine, "quarantine list": usageQuarantine, "quarantine lift": usageQuarantine,
	"status": usageStatus, "losses": usageLosses, "versions": usageVersions,
}

// program is one run of the command.
type program struct {
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
	// hangups receives the SIGHUPs since the start of the process.
	hangups <-chan os.Signal
}

func main() {
	// This comes first: until SIGHUP is handled, it ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	p := &program{stdin: os.Stdin, stdout: os.Stdout, stderr: os.Stderr, hangups: hangups}
	code := p.main(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// main runs a command line and returns the exit code.
func (p *program) main(ctx context.Context, commandLine []string) int {
	err := p.parseAndRun(ctx, commandLine)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(p.stderr, "hyssopshore:", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return exitFailed
}

func (p *program) parseAndRun(ctx context.Context, commandLine []string) error {
	var args arguments
	parser, err := arg.NewParser(arg.Config{Program: "hyssopshore", Out: p.stderr}, &args)
	if err != nil {
		return fmt.Errorf("make parser: %w", err)
	}
	err = parser.Parse(commandLine)
	names := parser.SubcommandNames()
	switch {
	case errors.Is(err, arg.ErrHelp):
		return p.help(parser, names)
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(p.stdout, args.Version())
		return nil
	case err != nil:
		_ = parser.WriteUsageForSubcommand(p.stderr, names...)
		return usageError("%w; see 'hyssopshore %s'", err, strings.Join(append([]string{"help"}, names...), " "))
	}
	return p.run(ctx, parser, &args)
}

func (p *program) run(ctx context.Context, parser *arg.Parser, args *arguments) error {
	if args.Front == nil {
		// All other subcommands end when their terminal is closed.
		signal.Reset(syscall.SIGHUP)
	}
	switch {
	case args.Serve != nil:
		return args.Serve.run(ctx, p)
	case args.Front != nil:
		return args.Front.run(ctx, p)
	case args.Check != nil:
		return args.Check.run(p)
	case args.Query != nil:
		return args.Query.run(ctx, p)
	case args.Ticket != nil:
		return args.Ticket.run(ctx, p)
	case args.Group != nil:
		return args.Group.run(ctx, p)
	case args.Service != nil:
		return args.Service.run(ctx, p)
	case args.Quarantine != nil:
		return args.Quarantine.run(ctx, p)
	case args.Status != nil:
		return args.Status.run(ctx, p)
	case args.Losses != nil:
		return args.Losses.run(p)
	case args.Versions != nil:
		return args.Versions.run(p)
	case args.Help != nil:
		return p.help(parser, args.Help.Names)
	default:
		parser.WriteHelp(p.stderr)
		return usageError("a subcommand must be given")
	}
}

// help prints the long usage text and the options of a subcommand.
func (p *program) help(parser *arg.Parser, names []string) error {
	text, known := usages[strings.Join(names, " ")]
	if len(names) > 0 && !known {
		return usageError("there is no subcommand %q", strings.Join(names, " "))
	}
	if !known {
		fmt.Fprintf(p.stdout, "%s\n\n", usageProgram)
		parser.WriteHelp(p.stdout)
		return nil
	}
	fmt.Fprintf(p.stdout, "%s\n\n", text)
	if err := parser.WriteHelpForSubcommand(p.stdout, names...); err != nil {
		return fmt.Errorf("write help: %w", err)
	}
	return nil
}
