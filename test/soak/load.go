package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/lab"
	"moorrun.dev/moorrun/internal/standin"
)

// keyedCalls holds the last verdict that the caller of each call with an idempotency key received.
type keyedCalls struct {
	mu       sync.Mutex
	verdicts map[string]string // by mark
}

// requestCompletions requests completions until the run ends, and checks that each answer belongs to its own request
// and is either complete or reported as incomplete.
func (w *workload) requestCompletions(caller int) {
	donors := lab.NewCaller("donors-caller-token")
	for n := 0; !w.stopped(); n++ {
		prompt := fmt.Sprintf("c%d-%d", caller, n)
		tokens := 3 + n%40
		w.results.sentCompletions.Add(1)
		reply := donors.Complete(w.callerAddress(caller+n), lab.Completion{Model: "letters-70b", Prompt: prompt, Tokens: tokens, DeadlineMS: 8000})
		w.results.countRequest()
		expected := lab.ExpectedText(prompt, tokens)
		switch {
		case reply.Status == http.StatusOK && reply.Complete:
			w.results.check(reply.Text == expected, "prompt %s got %q as its whole answer", prompt, reply.Text)
		case reply.Status == http.StatusOK:
			w.results.check(strings.HasPrefix(expected, reply.Text), "prompt %s got %q as part of its answer", prompt, reply.Text)
			w.checkResume(donors, caller+n+1, prompt, tokens, reply)
		default:
			w.results.check(reply.Err != nil || reply.Verdict != "", "a refusal with status %d has no verdict", reply.Status)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// checkResume resumes a cut stream at another node. If this succeeds, the two parts must make up the complete answer.
func (w *workload) checkResume(c *lab.Caller, node int, prompt string, tokens int, cut lab.Reply) {
	if cut.Resume == "" {
		return
	}
	w.results.sentCompletions.Add(1)
	remainder := c.Resume(w.callerAddress(node), cut.Resume, cut.Events)
	if remainder.Status == http.StatusOK && remainder.Complete {
		w.results.check(cut.Text+remainder.Text == lab.ExpectedText(prompt, tokens), "prompt %s resumed to %q + %q", prompt, cut.Text, remainder.Text)
	}
}

// requestReceipts makes calls that must not run more than once. Each is retried with its idempotency key, up to five
// sends, until it has run or its key conflicts.
func (w *workload) requestReceipts(caller int) {
	gifts := lab.NewCaller("gifts-caller-token")
	for n := 0; !w.stopped(); n++ {
		mark := fmt.Sprintf("r%d-%d", caller, n)
		prefix, _ := gifts.KeyPrefix(w.callerAddress(caller + n))
		if prefix == "" {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		w.requestReceipt(gifts, caller+n, mark, prefix+"/"+mark)
	}
}

func (w *workload) requestReceipt(gifts *lab.Caller, node int, mark, key string) {
	verdict := ""
	for attempt := range 5 {
		reply := gifts.CallService(w.callerAddress(node+attempt), http.MethodPost, "/services/receipts/receipts", mark, key, "1")
		w.results.countRequest()
		if reply.Err == nil {
			verdict = reply.Verdict
		} else {
			verdict = "may-have-run"
		}
		whole := strings.HasSuffix(reply.Text, " for "+mark+"\n")
		w.results.check(reply.Err != nil || reply.Status != http.StatusOK || whole, "call %s got %q as its whole answer", mark, reply.Text)
		if reply.Status == http.StatusOK || reply.Status == http.StatusConflict {
			break
		}
		time.Sleep(30 * time.Millisecond)
	}
	w.keyedCalls.mu.Lock()
	defer w.keyedCalls.mu.Unlock()
	if w.keyedCalls.verdicts == nil {
		w.keyedCalls.verdicts = make(map[string]string)
	}
	w.keyedCalls.verdicts[mark] = verdict
}

// checkRunCounts compares the verdicts that callers received with the runs counted by the endpoints.
func (w *workload) checkRunCounts() {
	for mark, verdict := range w.keyedCalls.verdicts {
		runs := 0
		for _, p := range w.lab.PlainEndpoints {
			runs += p.Runs(mark)
		}
		w.results.check(runs <= 1, "call %s ran %d times", mark, runs)
		w.results.check(verdict != "not-run" || runs == 0, "call %s has the verdict not-run but ran %d times", mark, runs)
		w.results.check(verdict != "ran" || runs == 1, "call %s has the verdict ran but ran %d times", mark, runs)
	}
}

// maxDeadlyRuns is the maximum number of engines that may end under one passage: five, and three more under requests that are
// sent late.
const maxDeadlyRuns = 5 + 3

// requestDeadlyCompletions sends requests with a passage that ends every engine which begins to write on it, no two alike, to one
// node after the other. They may also be refused.
func (w *workload) requestDeadlyCompletions(count int) {
	donors := lab.NewCaller("donors-caller-token")
	for range count {
		n := w.results.countDeadly()
		prompt := fmt.Sprintf("Answer the letter.\n\n%s\n\nletter %d", standin.CrashPassage, n)
		w.results.sentCompletions.Add(1)
		reply := donors.Complete(w.callerAddress(n), lab.Completion{Model: "letters-70b", Prompt: prompt, Tokens: 3, DeadlineMS: 2000})
		w.results.check(!reply.Complete, "deadly prompt %d got the whole answer %q", n, reply.Text)
	}
}

// checkDeadlyRuns checks that the engines did not go on ending under the passage.
func (w *workload) checkDeadlyRuns() {
	ended := int64(0)
	for _, e := range w.lab.Engines {
		ended += e.Crashes.Load()
	}
	w.results.check(ended <= maxDeadlyRuns, "%d engines ended under one passage", ended)
}
