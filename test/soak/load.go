package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"moorrun.dev/moorrun/internal/lab"
)

// calls are the keyed calls and what their callers were told last.
type calls struct {
	mu   sync.Mutex
	last map[string]string // mark → final verdict
}

// stream asks for completions and checks that each answer is the caller's own and whole, or says that it is not.
func (w *walk) stream(caller int) {
	donors := lab.NewCaller("donors-caller-token")
	for n := 0; !w.stopped(); n++ {
		prompt := fmt.Sprintf("c%d-%d", caller, n)
		tokens := 3 + n%40
		reply := donors.Complete(w.address(caller+n), lab.Completion{Model: "letters-70b", Prompt: prompt, Tokens: tokens, DeadlineMS: 8000})
		w.tally.request()
		whole := lab.ExpectedText(prompt, tokens)
		switch {
		case reply.Status == http.StatusOK && reply.Complete:
			w.tally.check(reply.Text == whole, "prompt %s got %q as its whole answer", prompt, reply.Text)
		case reply.Status == http.StatusOK:
			w.tally.check(strings.HasPrefix(whole, reply.Text), "prompt %s got %q as part of its answer", prompt, reply.Text)
			w.resume(donors, caller+n+1, prompt, tokens, reply)
		default:
			w.tally.check(reply.Err != nil || reply.Verdict != "", "a refusal with status %d has no verdict", reply.Status)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// resume continues a cut stream elsewhere; if the engine still has it, the two parts make the whole.
func (w *walk) resume(c *lab.Caller, node int, prompt string, tokens int, cut lab.Reply) {
	if cut.Resume == "" {
		return
	}
	rest := c.Resume(w.address(node), cut.Resume, cut.Events)
	if rest.Status == http.StatusOK && rest.Complete {
		w.tally.check(cut.Text+rest.Text == lab.ExpectedText(prompt, tokens), "prompt %s resumed to %q + %q", prompt, cut.Text, rest.Text)
	}
}

// receipts makes calls that may not be repeated, each sent again with its key until the outcome is final.
func (w *walk) receipts(caller int) {
	gifts := lab.NewCaller("gifts-caller-token")
	for n := 0; !w.stopped(); n++ {
		mark := fmt.Sprintf("r%d-%d", caller, n)
		prefix, _ := gifts.KeyPrefix(w.address(caller + n))
		if prefix == "" {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		w.sendReceipt(gifts, caller+n, mark, prefix+"/"+mark)
	}
}

func (w *walk) sendReceipt(gifts *lab.Caller, node int, mark, key string) {
	final := ""
	for send := range 5 {
		reply := gifts.CallService(w.address(node+send), http.MethodPost, "/services/receipts/receipts", mark, key, "1")
		w.tally.request()
		if reply.Err == nil {
			final = reply.Verdict
		} else {
			final = "may-have-run"
		}
		if reply.Status == http.StatusOK || reply.Status == http.StatusConflict {
			break
		}
		time.Sleep(30 * time.Millisecond)
	}
	w.calls.mu.Lock()
	defer w.calls.mu.Unlock()
	if w.calls.last == nil {
		w.calls.last = make(map[string]string)
	}
	w.calls.last[mark] = final
}

// checkRuns compares what callers were told with what the endpoints counted.
func (w *walk) checkRuns() {
	for mark, final := range w.calls.last {
		runs := 0
		for _, p := range w.lab.PlainEndpoints {
			runs += p.Runs(mark)
		}
		w.tally.check(runs <= 1, "call %s ran %d times", mark, runs)
		w.tally.check(final != "not-run" || runs == 0, "call %s was said not to have run and ran %d times", mark, runs)
		w.tally.check(final != "ran" || runs == 1, "call %s was said to have run and ran %d times", mark, runs)
	}
}
