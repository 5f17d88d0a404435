package node

import (
	"github.com/go-kit/log/level"

	"moorrun.dev/moorrun/internal/admission"
)

// logLongWait logs what a request has been waiting for.
func (n *Node) logLongWait(w admission.LongWait) {
	_ = level.Warn(n.logger).Log("msg", "request waits for a place", "model", w.Model, "workspace", w.Workspace, "waiting", w.Waiting,
		"running", w.Running, "places", w.Places, "usable_groups", w.Usable, "ejected_groups", w.Ejected, "grant", w.Grant,
		"grant_left_ms", w.GrantLeft.Milliseconds(), "answer_age_ms", w.AnswerAge.Milliseconds(), "err", w.ReportErr)
}
