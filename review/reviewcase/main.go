// Reviewcase plays the cases of the review that are scripts. It starts gateways with the command of the deploy file, and stand-ins of
// the platform's store, of workers and of callers, all on loopback. It exits with 1 if a rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Values of TROUBLE for none or a part of the disruptions.
const (
	troubleNone  = "0"
	troublePath  = "path"  // relay: the gateway loses its path to the workers for a moment, and no gateway is killed
	troubleKill  = "kill"  // relay: a gateway is killed through which the stream does not go; descriptors: kills without a burst
	troubleBurst = "burst" // descriptors: a burst without kills
)

// caseFunc plays a case with the disruptions that the value of TROUBLE names, all of them if it is empty and none if it is "0". It
// returns what broke the rule, or "".
type caseFunc func(daemon string, r *record, trouble string) (breach string, err error)

var cases = map[string]caseFunc{"relay": playRelay, "descriptors": playDescriptors}

func main() {
	name := flag.String("case", "", "the case: relay or descriptors")
	daemon := flag.String("daemon", "target/moorrund", "program of the gateway")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(cases[*name], *daemon, *out))
}

func run(play caseFunc, daemon, out string) int {
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitNotRun
	}
	r, err := newRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	breach, err := play(daemon, r, os.Getenv("TROUBLE"))
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		return exitNotRun
	case breach != "":
		r.add("BROKEN: %s", breach)
		return exitBroken
	default:
		r.add("held")
		return exitHeld
	}
}
