package cmd

import (
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/pflag"
	"github.com/valyala/fasthttp"

	"moorrun.dev/moorrun/internal/accept"
	"moorrun.dev/moorrun/internal/adminapi"
	"moorrun.dev/moorrun/internal/exitcode"
)

var cmdApply = &Command{
	Name: "apply", Desc: "put a set of files in force, whole or not at all", Args: "PATH", NArgs: 1,
	Flags: func(f *pflag.FlagSet) {
		f.Bool("wait", false, "wait until the revision is in force at every live node, and name those that lag")
		f.Duration("wait-timeout", 30*time.Second, "how long --wait waits")
		f.Int64("if-revision", -1, "revision the files were drawn from; default: the accepted one")
		f.Bool("dry-run", false, "show what would change, change nothing")
		f.String("operation", "", "id of an earlier apply of the same files whose outcome is unknown")
		f.StringSlice("remove", nil, "parts to take out, such as workspace/NAME")
	},
	Action: applyAction,
}

func applyAction(e *Env, args []string) error {
	files, _, err := readFiles(args[0])
	if err != nil {
		return err
	}
	request, err := applyRequest(e, files)
	if err != nil {
		return err
	}
	result, err := e.sendApply(request)
	if err != nil {
		return err
	}
	for _, change := range result.Changes {
		e.printf("%s\n", change)
	}
	switch result.Status {
	case accept.Unchanged:
		e.printf("unchanged at revision %d\n", result.Revision)
	case accept.Accepted:
		if request.DryRun {
			e.printf("would be accepted on revision %d\n", result.Revision)
			return nil
		}
		e.printf("accepted as revision %d\n", result.Revision)
	default:
		return applyError(result)
	}
	if e.boolFlag("wait") {
		return e.waitInForce(result.Revision)
	}
	return nil
}

func applyRequest(e *Env, files map[string]json.RawMessage) (adminapi.ApplyRequest, error) {
	base, _ := e.Flags.GetInt64("if-revision")
	remove, _ := e.Flags.GetStringSlice("remove")
	request := adminapi.ApplyRequest{
		Operation: e.stringFlag("operation"), Files: files, Remove: remove, Base: base, DryRun: e.boolFlag("dry-run"),
	}
	if request.Operation == "" {
		request.Operation = uuid.NewString()
	}
	if base < 0 {
		var current adminapi.Revision
		if err := e.Client.get(adminapi.PathRevision, &current); err != nil {
			return request, err
		}
		request.Base = current.Accepted
	}
	return request, nil
}

// sendApply sends the request. If no response arrives, the request is sent to the next node with the same operation id,
// which ensures that it is applied at most once.
func (e *Env) sendApply(request adminapi.ApplyRequest) (accept.Result, error) {
	var result accept.Result
	r, err := e.Client.call(fasthttp.MethodPost, adminapi.PathApply, request)
	if err != nil {
		return result, exitcode.New(exitcode.Unknown, "outcome unknown, settle it with --operation %s: %w", request.Operation, err)
	}
	if r.status == fasthttp.StatusUnauthorized || r.status == fasthttp.StatusBadRequest {
		return result, r.problem()
	}
	if err := r.decode(&result); err != nil || result.Status == "" {
		return result, r.problem()
	}
	return result, nil
}

func applyError(result accept.Result) error {
	switch result.Status {
	case accept.Conflict:
		return exitcode.New(exitcode.Conflict, "conflict: %s; draw the files from the accepted revision %d and apply again", result.Winner, result.Revision)
	case accept.Invalid:
		return result.Problems
	default:
		return exitcode.New(exitcode.Unknown, "outcome unknown: %s; settle it with --operation %s", result.Detail, result.Operation)
	}
}

// notLiveTimeout is how long --wait waits for a registered node that is not live.
const notLiveTimeout = 6 * time.Second

// waitInForce waits until the revision is in force at every live node, up to the limit of --wait-timeout.
func (e *Env) waitInForce(revision int64) error {
	limit, _ := e.Flags.GetDuration("wait-timeout")
	started := time.Now()
	deadline := started.Add(limit)
	for {
		var state adminapi.InForce
		if err := e.Client.get(adminapi.PathInForce, &state); err != nil {
			return err
		}
		updated, lagging := 0, ""
		for _, n := range state.Nodes {
			switch {
			case n.Revision >= revision:
				updated++
			case n.Live || time.Since(started) < notLiveTimeout:
				lagging += " " + n.VM
			}
		}
		if updated > 0 && lagging == "" {
			e.printf("in force at %d of %d nodes\n", updated, len(state.Nodes))
			return nil
		}
		if time.Now().After(deadline) {
			return exitcode.New(exitcode.Failed, "in force at %d of %d nodes; not yet at:%s", updated, len(state.Nodes), lagging)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
