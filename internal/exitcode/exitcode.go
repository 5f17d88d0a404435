// Package exitcode attaches process exit codes to errors.
package exitcode

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"moorrun.dev/moorrun/internal/config"
)

// The exit codes of moorrun and moorrund.
const (
	Success  = 0
	Failed   = 1 // any other error
	Usage    = 2 // invalid command line or configuration
	Conflict = 3 // another change was accepted first
	Unknown  = 4 // the change may or may not have taken effect
)

// Error is an error with the exit code of the program that fails with it.
type Error struct {
	Code int
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }

// New returns an error with exit code code and a message formatted as by fmt.Errorf.
func New(code int, format string, args ...any) error {
	return &Error{code, fmt.Errorf(format, args...)}
}

// With returns err with an exit code: Usage for configuration problems and Failed for other errors. An err that is
// nil or has a code already is returned unchanged.
func With(err error) error {
	var coded *Error
	var problems config.Problems
	switch {
	case err == nil || errors.As(err, &coded):
		return err
	case errors.As(err, &problems):
		return &Error{Usage, err}
	default:
		return &Error{Failed, err}
	}
}

// Run executes root with args until it returns, cancels its context on SIGINT or SIGTERM, and returns the exit code. The signals are
// caught until the process exits, so that another one does not end it before it exits with that code.
// An error without a code is one of parsing the command line, so its exit code is Usage.
func Run(root *cobra.Command, args []string) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cancelOnSignal(cancel)
	root.SetArgs(args)
	root.SilenceErrors, root.SilenceUsage = true, true
	err := root.ExecuteContext(ctx)
	if err == nil {
		return Success
	}
	_, _ = fmt.Fprintln(os.Stderr, root.Name()+": "+err.Error())
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return Usage
}

func cancelOnSignal(cancel context.CancelFunc) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		cancel()
	}()
}
