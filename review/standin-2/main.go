// Command standin2 plays the cases of this review. It starts frontend daemons as
// processes on loopback addresses, and is itself the platform's store, the searchers and
// the clients.
//
// # Usage
//
//	standin2 CASE FOLDER
//
// It runs in the root of the repository, writes FOLDER/record.txt, and exits with 1 if
// the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 the
// disruption is left out.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// record is the record of a run. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	check(err)
	return &record{file: file, out: bufio.NewWriter(file), start: time.Now()}
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// say adds a line and prints it.
func (r *record) say(format string, values ...any) {
	r.add(format, values...)
	fmt.Printf(format+"\n", values...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// processes are the processes that this one has started.
type processes struct {
	mu  sync.Mutex
	all map[*os.Process]bool
}

var started = processes{all: make(map[*os.Process]bool)}

func (p *processes) add(one *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all[one] = true
}

func (p *processes) remove(one *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.all, one)
}

// end ends all processes and waits for them.
func (p *processes) end() {
	for range 200 {
		p.mu.Lock()
		for one := range p.all {
			_ = one.Signal(syscall.SIGCONT)
			_ = one.Kill()
		}
		left := len(p.all)
		p.mu.Unlock()
		if left == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// theRecord is flushed whichever way the program ends.
var theRecord *record

func finish(code int) {
	started.end()
	if theRecord != nil {
		theRecord.close()
	}
	os.Exit(code)
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, err)
	finish(exitCannotRun)
}

// environment is what a case gets.
type environment struct {
	record    *record
	store     *store
	directory string
	// trouble is false if the disruption is left out.
	trouble bool
}

// cases play a case and report whether the rule held.
var cases = map[string]func(*environment) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(exitCannotRun)
	}
	theRecord = newRecord(filepath.Join(os.Args[2], "record.txt"))
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		finish(exitCannotRun)
	}()
	directory, err := os.MkdirTemp("", "standin2-")
	check(err)
	keep := os.Getenv("KEEP_LOGS") != ""
	e := &environment{record: theRecord, store: newStore(theRecord), directory: directory, trouble: os.Getenv("TROUBLE") != "0"}
	held := cases[os.Args[1]](e)
	started.end()
	e.store.close()
	if keep {
		fmt.Println("logs in", directory)
	} else {
		_ = os.RemoveAll(directory)
	}
	if held {
		theRecord.say("the rule held")
		finish(exitHeld)
	}
	theRecord.say("the rule was broken")
	finish(exitBroken)
}
