package cmd

import (
	"errors"
	"fmt"

	"moorrun.dev/moorrun/internal/config"
)

// Exit codes of moorrun.
const (
	exitDone     = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitUnknown  = 4
)

// exitError is an error with the exit code it leads to.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func exit(code int, format string, args ...any) error {
	return &exitError{code, fmt.Errorf(format, args...)}
}

// withCode gives errors without a code the one that fits them.
func withCode(err error) error {
	var coded *exitError
	var problems config.Problems
	switch {
	case err == nil || errors.As(err, &coded):
		return err
	case errors.As(err, &problems):
		return &exitError{exitUsage, err}
	default:
		return &exitError{exitFailed, err}
	}
}
