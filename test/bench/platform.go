package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"moorrun.dev/moorrun/internal/lab"
	"moorrun.dev/moorrun/internal/settings"
)

// The size to come, and what the object API takes.
const (
	dataCentres    = 25
	changesASecond = 14000.0 / 86400
	writeLimit     = 100.0
	readLimit      = 2000.0
)

func errorOf(out lab.Output) error {
	return errors.New(strings.TrimSpace(out.Stdout + out.Stderr))
}

// asShipped undoes the short terms that labs use, so that calls are counted at the default settings.
func asShipped(s *settings.Settings) { s.LeaseTTLMS, s.HeartbeatMS, s.PollMS = 6000, 250, 500 }

// platformCalls counts calls to the object API at rest, for each accepted change and after an outage, and
// works out their part of the limits at the size to come.
func platformCalls(h *harness) ([]result, error) {
	o := h.small()
	o.Config = h.root + "/test/bench/two" // both data centres have domains, and so a lease
	l, _, err := h.start(o, 6, 4, asShipped)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	const centres, rest = 2, 12 * time.Second
	time.Sleep(3 * time.Second)
	from := time.Now()
	time.Sleep(rest)
	reads, writes, _, _ := l.Objects.Calls.Since(from)
	restReads := float64(reads) / rest.Seconds() / centres * dataCentres
	restWrites := float64(writes) / rest.Seconds() / centres * dataCentres

	const applies = 10
	from = time.Now()
	for i := range applies {
		if err := bump(l, i); err != nil {
			return nil, err
		}
	}
	took := time.Since(from)
	reads, writes, _, _ = l.Objects.Calls.Since(from)
	perApplyReads := (float64(reads) - restReads/dataCentres*centres*took.Seconds()) / applies
	perApplyWrites := (float64(writes) - restWrites/dataCentres*centres*took.Seconds()) / applies
	dayReads := restReads + changesASecond*perApplyReads/centres*dataCentres
	dayWrites := restWrites + changesASecond*perApplyWrites

	l.Objects.Down.Store(true)
	time.Sleep(10 * time.Second)
	l.Objects.Down.Store(false)
	from = time.Now()
	time.Sleep(8 * time.Second)
	_, _, maxReads, maxWrites := l.Objects.Calls.Since(from)
	backReads, backWrites := float64(maxReads)/centres*dataCentres, float64(maxWrites)/centres*dataCentres
	row := func(name string, limit, value, part float64) result {
		return result{name, "1/s", limit, value, fmt.Sprintf("<%.0f%%", part*100), value < part*limit}
	}
	return []result{
		row("reads at rest, 25 data centres, to the limit", readLimit, restReads, 0.4),
		row("writes at rest, 25 data centres, to the limit", writeLimit, restWrites, 0.4),
		row("reads with 14,000 changes a day", readLimit, dayReads, 0.4),
		row("writes with 14,000 changes a day", writeLimit, dayWrites, 0.4),
		row("reads in the worst second after an outage", readLimit, backReads, 1),
		row("writes in the worst second after an outage", writeLimit, backWrites, 1),
	}, nil
}

// bump applies a small change.
func bump(l *lab.Lab, i int) error {
	content, err := os.ReadFile(filepath.Join(l.ConfigDir, "gifts.json"))
	if err != nil {
		return err
	}
	file := filepath.Join(l.Dir, "gifts.json")
	text := strings.Replace(string(content), `"places": 64`, fmt.Sprintf(`"places": %d`, 65+i), 1)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	if out := l.CLI("apply", file, "--wait"); out.Code != 0 {
		return errorOf(out)
	}
	return nil
}
