// Package hangup catches SIGHUP from the start of the process, so that one that arrives before the settings are read does not
// end it.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// signals is initialized with the package. Because the package imports so little, that is before most others and long before main.
var signals = catch()

func catch() chan os.Signal {
	out := make(chan os.Signal, 1)
	signal.Notify(out, syscall.SIGHUP)
	return out
}

// Signals returns the channel of the signals that have arrived since the start. Any number that nobody has taken counts as one.
func Signals() <-chan os.Signal { return signals }

// Release restores the default action of the signal, which ends the process.
func Release() { signal.Stop(signals) }
