package entry

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/quarantine"
	"moorrun.dev/moorrun/internal/routing"
	"moorrun.dev/moorrun/internal/verdict"
)

// maxPromptParts is the maximum number of parts of one prompt that are told apart; the last one holds the rest.
const maxPromptParts = 16

// promptParts returns the IDs of the parts of a prompt: hashes of its paragraphs, which are separated by empty lines. Prompts are
// put together from paragraphs, such as instructions and quoted documents, that other prompts have as well.
func promptParts(prompt string) []string {
	var out []string
	for _, paragraph := range strings.SplitN(prompt, "\n\n", maxPromptParts) {
		if text := strings.TrimSpace(paragraph); text != "" {
			out = append(out, fmt.Sprintf("%016x", xxhash.Sum64String(text)))
		}
	}
	return out
}

// completionSignature returns what identifies a completion request and the parts of its prompt.
func completionSignature(c *call, model, prompt string) quarantine.Signature {
	content := quarantine.Content{Workspace: c.workspace, Method: "POST", Target: enginePath, Body: c.ctx.PostBody()}
	return quarantine.NewSignature(&content, model, promptParts(prompt))
}

// checkHold refuses a request that is held back because engines have ended while they ran it, or others with a part of its
// prompt. trial is as in quarantine.Table.
func (s *Server) checkHold(signature *quarantine.Signature, trial []quarantine.Fingerprint) ([]quarantine.Fingerprint, *failure) {
	hold, trial := s.Quarantine.Check(signature, trial, clock.Now())
	switch {
	case hold == nil:
		return trial, nil
	case hold.PartID != "":
		return nil, unavailable("engines have ended under part "+hold.PartID+" of the prompt, a paragraph", hold.Remaining)
	default:
		return nil, unavailable("engines have ended under this request", hold.Remaining)
	}
}

// life returns the present life of the group's leader as an endpoint.
func (s *Server) life(t routing.Target) *endpoint.Endpoint {
	return &endpoint.Endpoint{
		ID: fmt.Sprintf("%s/%d/%08x", t.Group, t.Birth, s.Router.LeaderBoot(t)), Address: t.Leader, Domain: t.Domain,
		Membership: &endpoint.Membership{Group: t.Group, Epoch: t.Birth},
	}
}

// recordEnd reports an attempt without a complete answer to the investigator. begun means that a part of the answer has arrived.
func (s *Server) recordEnd(a *attempt, err error, begun bool) {
	failed := quarantine.Attempt{Signature: a.signature, Begun: begun, Resent: a.resent}
	if verdict.Of(err) == verdict.NotRun {
		s.investigator.Refused(a.life)
		return
	}
	s.investigator.Failed(a.life, failed)
}

// recordOutcome records an answer that has been relayed completely, or that the caller has abandoned. A truncated one has been
// reported already.
func (s *Server) recordOutcome(a *attempt, completed, truncated, begun bool) {
	switch {
	case a.life == nil || truncated:
	case completed:
		s.Quarantine.Answered(a.signature.Request, clock.Now())
	default:
		s.investigator.Abandoned(a.life, quarantine.Attempt{Signature: a.signature, Begun: begun, Resent: a.resent})
	}
}

// engines is the directory of engines by which the investigator tells an engine that ended from one that was lost with its domain.
type engines struct{ server *Server }

// IsLeaving implements quarantine.Directory.
func (d engines) IsLeaving(e *endpoint.Endpoint) bool {
	return e.Membership == nil || !d.server.Router.Knows(e.Membership.Group, e.Membership.Epoch, clock.Now())
}

// Neighbours implements quarantine.Directory.
func (d engines) Neighbours(e *endpoint.Endpoint) []*endpoint.Endpoint {
	c := d.server.Current()
	if c == nil {
		return nil
	}
	var out []*endpoint.Endpoint
	for _, vm := range c.Domains()[e.Domain].VMs {
		if vm.Address != e.Address {
			out = append(out, &endpoint.Endpoint{ID: vm.Name, Address: vm.Address, Domain: e.Domain})
		}
	}
	return out
}

// probeEngine asks an engine for its state. An engine that has left its group without being told has started again.
func (s *Server) probeEngine(ctx context.Context, e *endpoint.Endpoint) quarantine.ProbeResult {
	state, err := s.Engine.State(ctx, e.Address)
	switch {
	case httpcall.IsTimeout(err), errors.Is(err, syscall.ETIMEDOUT):
		return quarantine.Unknown
	case err != nil:
		return quarantine.Ended
	case e.Membership != nil && (state.Group != e.Membership.Group || state.GroupBirth != e.Membership.Epoch):
		return quarantine.Ended
	default:
		return quarantine.Alive
	}
}

// Sweep drops what is known of engines that ended long ago.
func (s *Server) Sweep(now time.Time) { s.investigator.Sweep(now) }
