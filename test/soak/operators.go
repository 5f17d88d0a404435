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

// history holds the applies of all operators to one workspace's configuration, for the linearizability check.
type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation
}

// applyInput is the input of an apply: the revision on which it is based.
type applyInput struct{ base int64 }

// applyResult is the result of an apply: accepted as a revision, or refused because of a conflict. It is unknown if no
// attempt returned either.
type applyResult struct {
	accepted bool
	revision int64
	known    bool
}

var acceptedPattern = regexp.MustCompile(`accepted as revision (\d+)`)

// applyChanges applies changes to one workspace until the run ends, each based on the revision read before it.
func (w *workload) applyChanges(operator int) {
	r := rand.New(rand.NewPCG(uint64(operator), 1)) //nolint:gosec // repeatable on purpose
	content, err := os.ReadFile(filepath.Join(w.lab.ConfigDir, "workspace-gifts.json"))
	if err != nil {
		w.results.addViolation("%v", err)
		return
	}
	for n := 0; !w.stopped(); n++ {
		time.Sleep(time.Duration(r.IntN(700)) * time.Millisecond)
		var current struct{ Revision int64 }
		if out := w.lab.CLI("get"); out.Code == 0 {
			decode(out.Stdout, &current)
		}
		if current.Revision == 0 {
			continue
		}
		text := strings.Replace(string(content), `"latency_ms": 1000`, fmt.Sprintf(`"latency_ms": %d`, 1000+operator*100000+n), 1)
		file := filepath.Join(w.lab.Dir, fmt.Sprintf("operator-%d.json", operator))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			w.results.addViolation("%v", err)
			return
		}
		w.applyOnce(operator, n, current.Revision, file)
	}
}

// applyOnce applies one change and adds it to the history. While the outcome is unknown, it retries with the same
// operation ID, so that the change is accepted at most once.
func (w *workload) applyOnce(operator, n int, base int64, file string) {
	id := fmt.Sprintf("operator-%d-%d-%d", operator, n, time.Now().UnixNano())
	call := time.Now().UnixNano()
	result := applyResult{}
	for attempt := 0; attempt < 8 && !result.known; attempt++ {
		out := w.lab.CLI("apply", file, "--operation", id, "--if-revision", strconv.FormatInt(base, 10))
		match := acceptedPattern.FindStringSubmatch(out.Stdout)
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
		end = int64(1) << 62 // the apply may still take effect at any later time
	}
	w.history.mu.Lock()
	defer w.history.mu.Unlock()
	w.history.operations = append(w.history.operations, porcupine.Operation{ClientId: operator, Input: applyInput{base}, Call: call, Output: result, Return: end})
}

// checkLinearizability checks the operators' history against the model of one register that holds the revision. An
// apply based on an earlier revision must conflict, any other must be accepted as a higher revision. If the outcome of
// an apply is unknown, only the uniqueness of the revisions is checked.
func (w *workload) checkLinearizability() {
	model := porcupine.Model{
		Init: func() any { return int64(1) },
		Step: func(state, input, output any) (bool, any) {
			revision, in, out := state.(int64), input.(applyInput), output.(applyResult) //nolint:forcetypeassert // set by applyOnce
			upToDate := in.base >= revision
			switch {
			case !out.known:
				return true, revision
			case out.accepted:
				return upToDate && out.revision > revision, out.revision
			default:
				return !upToDate, revision
			}
		},
		Equal: func(a, b any) bool { return a == b },
	}
	known := make([]porcupine.Operation, 0, len(w.history.operations))
	unknown := 0
	for _, o := range w.history.operations {
		if o.Output.(applyResult).known { //nolint:forcetypeassert // set by applyOnce
			known = append(known, o)
		} else {
			unknown++
		}
	}
	if unknown > 0 { // an apply of unknown outcome may have changed the revision, so the history cannot be ordered
		w.checkUniqueRevisions(known)
		return
	}
	result := porcupine.CheckOperationsTimeout(model, known, 10*time.Second)
	w.results.check(result != porcupine.Illegal, "the history of %d applies is not linearizable: %s", len(known), marshalHistory(known))
}

// checkUniqueRevisions checks that no two applies were accepted as the same revision.
func (w *workload) checkUniqueRevisions(operations []porcupine.Operation) {
	seen := make(map[int64]bool)
	for _, o := range operations {
		out := o.Output.(applyResult) //nolint:forcetypeassert // set by applyOnce
		if out.accepted {
			w.results.check(!seen[out.revision], "revision %d was given to two applies", out.revision)
			seen[out.revision] = true
		}
	}
}

func marshalHistory(operations []porcupine.Operation) string {
	text, _ := json.Marshal(operations)
	return string(text)
}
