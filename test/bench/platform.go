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

// The planned size of the deployment, and the limits of the object API in calls per second.
const (
	dataCentres      = 25
	changesPerSecond = 14000.0 / 86400
	writeLimit       = 100.0
	readLimit        = 2000.0
)

func outputError(out lab.Output) error {
	return errors.New(strings.TrimSpace(out.Stdout + out.Stderr))
}

// setDefaultIntervals replaces the short lease, heartbeat and poll intervals of labs by the defaults, so that calls are counted at
// the default settings.
func setDefaultIntervals(s *settings.Settings) {
	s.LeaseTTLMS, s.HeartbeatMS, s.PollMS = 6000, 250, 500
}

// platformCalls counts calls to the object API when idle, per accepted change and after an outage, and extrapolates them to the
// planned size, for comparison with the limits.
func platformCalls(h *harness) ([]result, error) {
	o := h.smallOptions()
	o.Config = h.root + "/test/bench/two" // both data centres have domains and therefore a lease
	l, _, err := h.start(o, 6, 4, setDefaultIntervals)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	const labCentres, idle = 2, 12 * time.Second
	time.Sleep(3 * time.Second)
	from := time.Now()
	time.Sleep(idle)
	reads, writes, _, _ := l.Objects.Calls.Since(from)
	idleReads := float64(reads) / idle.Seconds() / labCentres * dataCentres
	idleWrites := float64(writes) / idle.Seconds() / labCentres * dataCentres

	const applies = 10
	from = time.Now()
	for i := range applies {
		if err := applySmallChange(l, i); err != nil {
			return nil, err
		}
	}
	took := time.Since(from)
	reads, writes, _, _ = l.Objects.Calls.Since(from)
	perApplyReads := (float64(reads) - idleReads/dataCentres*labCentres*took.Seconds()) / applies
	perApplyWrites := (float64(writes) - idleWrites/dataCentres*labCentres*took.Seconds()) / applies
	totalReads := idleReads + changesPerSecond*perApplyReads/labCentres*dataCentres
	totalWrites := idleWrites + changesPerSecond*perApplyWrites

	l.Objects.Down.Store(true)
	time.Sleep(10 * time.Second)
	l.Objects.Down.Store(false)
	from = time.Now()
	time.Sleep(8 * time.Second)
	_, _, maxReads, maxWrites := l.Objects.Calls.Since(from)
	recoveryReads, recoveryWrites := float64(maxReads)/labCentres*dataCentres, float64(maxWrites)/labCentres*dataCentres
	row := func(name string, limit, value, fraction float64) result {
		return result{name, "1/s", limit, value, fmt.Sprintf("<%.0f%%", fraction*100), value < fraction*limit}
	}
	return []result{
		row("reads at rest, 25 data centres, to the limit", readLimit, idleReads, 0.4),
		row("writes at rest, 25 data centres, to the limit", writeLimit, idleWrites, 0.4),
		row("reads with 14,000 changes a day", readLimit, totalReads, 0.4),
		row("writes with 14,000 changes a day", writeLimit, totalWrites, 0.4),
		row("reads in the worst second after an outage", readLimit, recoveryReads, 1),
		row("writes in the worst second after an outage", writeLimit, recoveryWrites, 1),
	}, nil
}

// applySmallChange changes the number of places in one file of the configuration and applies the file.
func applySmallChange(l *lab.Lab, i int) error {
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
		return outputError(out)
	}
	return nil
}
