package hystest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// BuildDaemon builds the daemon's program in a directory and returns its path. The
// directory of the command is relative to the test's own.
func BuildDaemon(directory, command string) (string, error) {
	binary := filepath.Join(directory, "hyssopshore")
	output, err := exec.Command("go", "build", "-o", binary, command).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("BuildDaemon: %w: %s", err, output)
	}
	return binary, nil
}

// descriptorSampleInterval is the time between two counts of a process's descriptors.
const descriptorSampleInterval = 10 * time.Millisecond

// Process is a real daemon process and what it uses.
type Process struct {
	command *exec.Cmd
	exited  chan struct{}
	// sampling ends when stop is closed.
	stop     chan struct{}
	sampling sync.WaitGroup

	mu              sync.Mutex
	peakDescriptors int
}

// StartProcess starts a program whose output goes to a file.
func StartProcess(output *os.File, program string, arguments ...string) (*Process, error) {
	p := &Process{command: exec.Command(program, arguments...), exited: make(chan struct{}), stop: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = output, output
	if err := p.command.Start(); err != nil {
		return nil, fmt.Errorf("StartProcess: %w", err)
	}
	go func() {
		defer close(p.exited)
		_ = p.command.Wait()
	}()
	p.sampling.Go(p.sample)
	return p, nil
}

// sample records the highest number of descriptors.
func (p *Process) sample() {
	ticker := time.NewTicker(descriptorSampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
		}
		// A process that has exited has no such directory; Alive reports that.
		entries, _ := os.ReadDir(p.procPath("fd"))
		p.mu.Lock()
		p.peakDescriptors = max(p.peakDescriptors, len(entries))
		p.mu.Unlock()
	}
}

func (p *Process) procPath(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.command.Process.Pid), name)
}

// Alive reports whether the process runs.
func (p *Process) Alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// PeakDescriptors returns the highest number of open descriptors so far.
func (p *Process) PeakDescriptors() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peakDescriptors
}

// PeakMemory returns the highest resident memory so far, in bytes.
func (p *Process) PeakMemory() (int64, error) {
	status, err := os.ReadFile(p.procPath("status"))
	if err != nil {
		return 0, fmt.Errorf("Process.PeakMemory: %w", err)
	}
	for line := range strings.Lines(string(status)) {
		value, ok := strings.CutPrefix(line, "VmHWM:")
		if !ok {
			continue
		}
		kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("Process.PeakMemory: %w", err)
		}
		return kilobytes << 10, nil
	}
	return 0, fmt.Errorf("Process.PeakMemory: no peak in %s", p.procPath("status"))
}

// Kill ends the process and waits until it is gone.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.exited
	close(p.stop)
	p.sampling.Wait()
}
