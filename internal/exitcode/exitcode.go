// Package exitcode gives errors the exit code of the programs.
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
	Done     = 0
	Failed   = 1
	Usage    = 2
	Conflict = 3
	Unknown  = 4
)

// Error is an error with the exit code it leads to.
type Error struct {
	Code int
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns an error that leads to the code.
func New(code int, format string, args ...any) error {
	return &Error{code, fmt.Errorf(format, args...)}
}

// With gives an error without a code the one that fits it.
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

// Run runs a program's command line until it ends or is interrupted, and returns its exit code. An error without
// a code comes from the command line itself.
func Run(root *cobra.Command, args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root.SetArgs(args)
	root.SilenceErrors, root.SilenceUsage = true, true
	err := root.ExecuteContext(ctx)
	if err == nil {
		return Done
	}
	_, _ = fmt.Fprintln(os.Stderr, root.Name()+": "+err.Error())
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return Usage
}
