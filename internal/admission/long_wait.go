package admission

import (
	"slices"
	"time"
)

// LongWait describes what a request waits for.
type LongWait struct {
	Model     string
	Workspace string
	Waiting   int           // requests in its queue
	Running   int           // requests of its workspace that run
	Places    int           // places that its workspace may use by the last grant
	Usable    int           // groups among those of the grant that may be used now
	Ejected   int           // groups of the model that this node does not send requests to
	Grant     uint64        // number of the last grant
	GrantLeft time.Duration // until the grant expires; negative if it has
	AnswerAge time.Duration // since the allocator last answered a report; negative if it never has
	ReportErr error         // error of the last report; nil if it was answered
}

// describeWait returns what the requests of a workspace wait for.
func (p *pool) describeWait(workspace string, now time.Time) LongWait {
	p.mu.Lock()
	defer p.mu.Unlock()
	ejected := p.chooser.Ejected(p.model, now)
	w := LongWait{
		Model: p.model, Workspace: workspace, Ejected: len(ejected), Grant: p.grant, GrantLeft: p.expires.Sub(now), AnswerAge: -1, ReportErr: p.reportErr,
	}
	if !p.answered.IsZero() {
		w.AnswerAge = now.Sub(p.answered)
	}
	q := p.queues[workspace]
	if q == nil {
		return w
	}
	w.Waiting, w.Running, w.Places = q.waiting.Len(), q.running(), q.places()
	for key, s := range q.groups {
		if s.limit > 0 && !slices.Contains(ejected, key.ref()) && p.chooser.Usable(key.group, key.birth, now) {
			w.Usable++
		}
	}
	return w
}

// recordReport records the outcome of a report.
func (p *pool) recordReport(now time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reportErr = err
	if err == nil {
		p.answered = now
	}
}
