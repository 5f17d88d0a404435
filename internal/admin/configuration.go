package admin

import (
	"context"
	"encoding/json"
	"errors"
	"strings"

	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/accept"
	"moorrun.dev/moorrun/internal/adminapi"
	"moorrun.dev/moorrun/internal/config"
)

func (s *Server) revision(r *request) error {
	ctx, cancel := context.WithTimeout(r.ctx, writeTimeout)
	defer cancel()
	head, _, err := s.Store.Head(ctx)
	if err != nil {
		return err
	}
	answer := adminapi.Revision{Accepted: head.Revision}
	if c := s.Current(); c != nil {
		answer.InForce = c.Revision
	}
	return r.answer(fasthttp.StatusOK, answer)
}

// configuration answers with the accepted parts that the operator may change.
func (s *Server) configuration(r *request) error {
	ctx, cancel := context.WithTimeout(r.ctx, writeTimeout)
	defer cancel()
	head, _, err := s.Store.Head(ctx)
	if err != nil {
		return err
	}
	answer := adminapi.Configuration{Revision: head.Revision, Parts: make(map[string]json.RawMessage)}
	for name, ref := range head.Parts {
		if !r.scope.Covers(name) {
			continue
		}
		part, err := s.Store.Part(ctx, name, ref)
		if err != nil {
			return err
		}
		answer.Parts[name] = part.Content()
	}
	return r.answer(fasthttp.StatusOK, answer)
}

func (s *Server) apply(r *request) error {
	var in adminapi.ApplyRequest
	if err := json.Unmarshal(r.ctx.PostBody(), &in); err != nil {
		return r.refuse(fasthttp.StatusBadRequest, "the body is no apply request: "+err.Error())
	}
	if in.Operation == "" {
		return r.refuse(fasthttp.StatusBadRequest, "operation: give the apply a unique id")
	}
	files := make(map[string][]byte, len(in.Files))
	for name, content := range in.Files {
		files[name] = content
	}
	set, problems := config.ParseSet(files)
	if problems != nil {
		return r.answer(fasthttp.StatusUnprocessableEntity, accept.Result{Status: accept.Invalid, Operation: in.Operation, Problems: problems})
	}
	request := accept.Request{
		Operation: in.Operation, Base: in.Base, Changes: set, Remove: in.Remove, Scope: r.scope, By: r.operator(),
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), writeTimeout)
	defer cancel()
	work := s.Store.Apply
	if in.DryRun {
		work = s.Store.Check
	}
	result, err := work(ctx, request)
	if err != nil {
		return err
	}
	return r.answer(statusOf(result.Status), result)
}

func statusOf(s accept.Status) int {
	switch s {
	case accept.Conflict:
		return fasthttp.StatusConflict
	case accept.Invalid:
		return fasthttp.StatusUnprocessableEntity
	case accept.Unknown:
		return fasthttp.StatusAccepted
	default:
		return fasthttp.StatusOK
	}
}

// operator names who asks, for the other operators' messages.
func (r *request) operator() string {
	if r.scope.Pool {
		return "an operator of the pool"
	}
	return "an operator of workspace " + r.scope.Workspace
}

func (s *Server) operation(r *request) error {
	ctx, cancel := context.WithTimeout(r.ctx, writeTimeout)
	defer cancel()
	result, err := s.Store.OperationResult(ctx, strings.TrimPrefix(string(r.ctx.Path()), adminapi.PathOperation))
	if errors.Is(err, context.DeadlineExceeded) {
		result = accept.Result{Status: accept.Unknown, Detail: "the store does not answer"}
		err = nil
	}
	if err != nil {
		return err
	}
	return r.answer(statusOf(result.Status), result)
}
