package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// history is what operators did to one workspace's part, for the linearizability check.
type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation
}

// applied is an apply drawn from a revision.
type applied struct{ base int64 }

// outcome is how it ended: accepted as a revision, or a conflict.
type outcome struct {
	accepted bool
	revision int64
	known    bool
}

var acceptedText = regexp.MustCompile(`accepted as revision (\d+)`)

// operate applies changes to one workspace, each drawn from the revision that was read before, and settles
// every unknown outcome by its operation id.
func (w *walk) operate(operator int) {
	r := rand.New(rand.NewPCG(uint64(operator), 1)) //nolint:gosec // repeatable on purpose
	content, err := os.ReadFile(filepath.Join(w.lab.ConfigDir, "workspace-gifts.json"))
	if err != nil {
		w.tally.violate("%v", err)
		return
	}
	for n := 0; !w.stopped(); n++ {
		time.Sleep(time.Duration(r.IntN(700)) * time.Millisecond)
		var now struct{ Revision int64 }
		if out := w.lab.CLI("get"); out.Code == 0 {
			decode(out.Stdout, &now)
		}
		if now.Revision == 0 {
			continue
		}
		text := strings.Replace(string(content), `"latency_ms": 1000`, fmt.Sprintf(`"latency_ms": %d`, 1000+operator*100000+n), 1)
		file := filepath.Join(w.lab.Dir, fmt.Sprintf("operator-%d.json", operator))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			w.tally.violate("%v", err)
			return
		}
		w.applyOnce(operator, n, now.Revision, file)
	}
}

func (w *walk) applyOnce(operator, n int, base int64, file string) {
	id := fmt.Sprintf("operator-%d-%d-%d", operator, n, time.Now().UnixNano())
	call := time.Now().UnixNano()
	result := outcome{}
	for try := 0; try < 8 && !result.known; try++ {
		out := w.lab.CLI("apply", file, "--operation", id, "--if-revision", strconv.FormatInt(base, 10))
		match := acceptedText.FindStringSubmatch(out.Stdout)
		switch {
		case out.Code == 0 && match != nil:
			result.revision, _ = strconv.ParseInt(match[1], 10, 64)
			result.accepted, result.known = true, true
		case out.Code == 3:
			result.known = true
		}
	}
	end := time.Now().UnixNano()
	if !result.known {
		end = int64(1) << 62 // it may take effect at any later time
	}
	w.history.mu.Lock()
	defer w.history.mu.Unlock()
	w.history.operations = append(w.history.operations, porcupine.Operation{ClientId: operator, Input: applied{base}, Call: call, Output: result, Return: end})
}

// checkHistory holds the operators' history against one register that only an apply drawn from its present
// revision may move.
func (w *walk) checkHistory() {
	model := porcupine.Model{
		Init: func() any { return int64(1) },
		Step: func(state, input, output any) (bool, any) {
			at, in, out := state.(int64), input.(applied), output.(outcome) //nolint:forcetypeassert // our own
			fresh := in.base >= at
			switch {
			case !out.known:
				return true, at
			case out.accepted:
				return fresh && out.revision > at, out.revision
			default:
				return !fresh, at
			}
		},
		Equal: func(a, b any) bool { return a == b },
	}
	known := make([]porcupine.Operation, 0, len(w.history.operations))
	unknown := 0
	for _, o := range w.history.operations {
		if o.Output.(outcome).known { //nolint:forcetypeassert // our own
			known = append(known, o)
		} else {
			unknown++
		}
	}
	if unknown > 0 { // such an apply may have moved the revision: only the known ones' order can be checked
		w.checkRevisions(known)
		return
	}
	result := porcupine.CheckOperationsTimeout(model, known, 10*time.Second)
	w.tally.check(result != porcupine.Illegal, "the history of %d applies has no order in which it makes sense: %s", len(known), describe(known))
}

// checkRevisions holds that no revision was given to two applies.
func (w *walk) checkRevisions(operations []porcupine.Operation) {
	seen := make(map[int64]bool)
	for _, o := range operations {
		out := o.Output.(outcome) //nolint:forcetypeassert // our own
		if out.accepted {
			w.tally.check(!seen[out.revision], "revision %d was given to two applies", out.revision)
			seen[out.revision] = true
		}
	}
}

func describe(operations []porcupine.Operation) string {
	text, _ := json.Marshal(operations)
	return string(text)
}
