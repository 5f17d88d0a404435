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

// revision returns the accepted revision and the one in force at this node.
func (s *Server) revision(r *request) error {
	ctx, cancel := context.WithTimeout(r.ctx, storeTimeout)
	defer cancel()
	head, _, err := s.Store.Head(ctx)
	if err != nil {
		return err
	}
	out := adminapi.Revision{Accepted: head.Revision}
	if c := s.Current(); c != nil {
		out.InForce = c.Revision
	}
	return r.respond(fasthttp.StatusOK, out)
}

// configuration returns the accepted parts that the operator may change.
func (s *Server) configuration(r *request) error {
	ctx, cancel := context.WithTimeout(r.ctx, storeTimeout)
	defer cancel()
	head, _, err := s.Store.Head(ctx)
	if err != nil {
		return err
	}
	out := adminapi.Configuration{Revision: head.Revision, Parts: make(map[string]json.RawMessage)}
	for name, ref := range head.Parts {
		if !r.scope.Covers(name) {
			continue
		}
		part, err := s.Store.Part(ctx, name, ref)
		if err != nil {
			return err
		}
		out.Parts[name] = part.Content()
	}
	return r.respond(fasthttp.StatusOK, out)
}

// apply accepts the files of the request, or only checks them in a dry run. The call to the store is not
// cancelled by a shutdown of the server.
func (s *Server) apply(r *request) error {
	var in adminapi.ApplyRequest
	if err := json.Unmarshal(r.ctx.PostBody(), &in); err != nil {
		return r.respondError(fasthttp.StatusBadRequest, "the body is no apply request: "+err.Error())
	}
	if in.Operation == "" {
		return r.respondError(fasthttp.StatusBadRequest, "operation: give the apply a unique id")
	}
	files := make(map[string][]byte, len(in.Files))
	for name, content := range in.Files {
		files[name] = content
	}
	set, problems := config.ParseSet(files)
	if problems != nil {
		return r.respond(fasthttp.StatusUnprocessableEntity, accept.Result{Status: accept.Invalid, Operation: in.Operation, Problems: problems})
	}
	request := accept.Request{
		Operation: in.Operation, Base: in.Base, Changes: set, Remove: in.Remove, Scope: r.scope, By: r.operator(),
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), storeTimeout)
	defer cancel()
	submit := s.Store.Apply
	if in.DryRun {
		submit = s.Store.Check
	}
	result, err := submit(ctx, request)
	if err != nil {
		return err
	}
	return r.respond(httpStatus(result.Status), result)
}

func httpStatus(s accept.Status) int {
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

// operator describes the requesting operator, for messages to other operators.
func (r *request) operator() string {
	if r.scope.Pool {
		return "an operator of the pool"
	}
	return "an operator of workspace " + r.scope.Workspace
}

// operation returns the outcome of an earlier apply request.
func (s *Server) operation(r *request) error {
	ctx, cancel := context.WithTimeout(r.ctx, storeTimeout)
	defer cancel()
	result, err := s.Store.OperationResult(ctx, strings.TrimPrefix(string(r.ctx.Path()), adminapi.PathOperation))
	if errors.Is(err, context.DeadlineExceeded) {
		result = accept.Result{Status: accept.Unknown, Detail: "the store does not answer"}
		err = nil
	}
	if err != nil {
		return err
	}
	return r.respond(httpStatus(result.Status), result)
}
