// Package rapidseed sets a fixed seed for the property checks of rapid, so that a test has the same result in every run.
// Tests import it for its side effect; -rapid.seed on the command line overrides the seed.
package rapidseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic("rapidseed: " + err.Error())
	}
}
