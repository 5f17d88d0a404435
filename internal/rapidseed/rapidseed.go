// Package rapidseed fixes the seed of rapid's checks, so that a test gives the same verdict every run. Tests
// import it for its effect; -rapid.seed on the command line still has the last word.
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
