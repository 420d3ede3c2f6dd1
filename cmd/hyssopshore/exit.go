package main

import "fmt"

// Exit codes of the command. usageExitCodes explains them.
const (
	exitOK      = 0
	exitFailed  = 1
	exitUsage   = 2
	exitPartial = 3
	exitNotRun  = 4
	exitUnknown = 5
	exitRefused = 6
)

const usageExitCodes = `Exit codes:
  0  done: a complete answer, an accepted ticket, a settings file without problems
  1  failed: no daemon could be reached, or it could not start, or the secret is wrong
  2  wrong usage, a settings file with problems, or an invalid ticket
  3  a partial answer
  4  a request that did not run
  5  an unknown outcome: send the same request or ticket again
  6  a refused ticket: superseded or in conflict`

// exitError is an error that ends the program with a given exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the cause.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func usageError(format string, args ...any) error {
	return &exitError{code: exitUsage, err: fmt.Errorf(format, args...)}
}
