package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/gateway"
	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/picker"
	"moorrun.dev/moorrun/internal/quarantine"
	"moorrun.dev/moorrun/internal/retry"
	"moorrun.dev/moorrun/internal/route"
	"moorrun.dev/moorrun/internal/verdict"
)

// script describes how an endpoint answers one attempt.
type script struct {
	sendErr error
	head    gateway.Head
	headErr error // returned by Reply.Head
	silent  bool  // no head ever arrives
	events  []string
	pause   time.Duration // how long nothing arrives after the events
	later   []string      // events after the pause
	others  *barrier      // whose pauses begin with this one; nil for none
	late    bool          // the head arrives only after the pause
	asleep  time.Duration // how much longer than asked for the first wait takes, as if this process had been stopped
	stall   bool          // nothing arrives after all events
	broken  error         // returned by Body, or by Next after the events
	body    string
}

// exchange is an Exchange that answers each attempt by the next script and records what the caller gets.
type exchange struct {
	scripts []script

	mu       sync.Mutex
	attempts []gateway.Attempt
	replies  []*reply

	status   int
	body     string
	events   []string
	refusal  *gateway.Refusal
	aborted  bool
	writeErr error // returned by WriteAnswer and WriteEvent
}

type reply struct {
	script script
	ctx    context.Context //nolint:containedctx // of the attempt
	next   int
	resume time.Time // end of the pause; zero before it
	slept  bool      // script.asleep has been waited
	closed atomic.Bool
}

func (x *exchange) Send(ctx context.Context, a gateway.Attempt) (gateway.Reply, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.scripts[min(len(x.attempts), len(x.scripts)-1)]
	x.attempts = append(x.attempts, a)
	if s.sendErr != nil {
		return nil, s.sendErr
	}
	r := &reply{script: s, ctx: ctx}
	x.replies = append(x.replies, r)
	return r, nil
}

func (x *exchange) WriteAnswer(r gateway.Reply, body []byte) error {
	x.status, x.body = r.(*reply).script.head.Status, string(body)
	return x.writeErr
}
func (x *exchange) BeginStream(r gateway.Reply) error {
	x.status = r.(*reply).script.head.Status
	return nil
}
func (x *exchange) WriteEvent(e gateway.Event) error {
	x.events = append(x.events, e.ID)
	return x.writeErr
}
func (x *exchange) Refuse(r gateway.Refusal) { x.refusal = &r }
func (x *exchange) Abort()                   { x.aborted = true }

// barrier lets replies go on together once all of them have reached it.
type barrier struct {
	missing atomic.Int32
	reached chan bool
}

func newBarrier(replies int32) *barrier {
	b := &barrier{reached: make(chan bool)}
	b.missing.Store(replies)
	return b
}

func (b *barrier) await() {
	if b == nil {
		return
	}
	if b.missing.Add(-1) == 0 {
		close(b.reached)
	}
	<-b.reached
}

// waitUntil waits until the given time and returns ErrNotYet, or another error if the attempt ends before.
func (r *reply) waitUntil(until time.Time) error {
	if !r.slept {
		r.slept = true
		until = until.Add(r.script.asleep)
	}
	select {
	case <-time.After(time.Until(until)):
		return gateway.ErrNotYet
	case <-r.ctx.Done():
		return verdict.New(verdict.MayHaveRun, r.ctx.Err())
	}
}

// awaitPause waits for the end of the script's pause, but not beyond until.
func (r *reply) awaitPause(until time.Time) error {
	if r.resume.IsZero() {
		r.script.others.await()
		r.resume = time.Now().Add(r.script.pause)
	}
	if until.Before(r.resume) {
		return r.waitUntil(until)
	}
	if err := r.waitUntil(r.resume); !errors.Is(err, gateway.ErrNotYet) {
		return err
	}
	return nil
}

func (r *reply) Head(until time.Time) (gateway.Head, error) {
	if r.script.silent {
		return gateway.Head{}, r.waitUntil(until)
	}
	if r.script.late {
		if err := r.awaitPause(until); err != nil {
			return gateway.Head{}, err
		}
	}
	return r.script.head, r.script.headErr
}

func (r *reply) Body(time.Time) ([]byte, error) { return []byte(r.script.body), r.script.broken }

func (r *reply) Next(until time.Time) (gateway.Event, error) {
	all := append(slices.Clone(r.script.events), r.script.later...)
	if r.next == len(r.script.events) && r.script.pause > 0 {
		if err := r.awaitPause(until); err != nil {
			return gateway.Event{}, err
		}
	}
	if r.next < len(all) {
		r.next++
		return gateway.Event{ID: all[r.next-1]}, nil
	}
	switch {
	case r.script.stall:
		return gateway.Event{}, r.waitUntil(until)
	case r.script.broken != nil:
		return gateway.Event{}, r.script.broken
	}
	return gateway.Event{}, io.EOF
}

func (r *reply) Close() { r.closed.Store(true) }

// requestLog is a recorded request log.
type requestLog struct {
	events       []string
	loggedInFull bool
}

func (s *requestLog) Decision(event string, _ bool, _ ...any) { s.events = append(s.events, event) }
func (s *requestLog) End(logInFull bool)                      { s.loggedInFull = logInFull }

// testGateway is a gateway with three replica groups and three standalone endpoints.
type testGateway struct {
	lost    bool // whether the leader reports every group as having lost a member
	gateway *gateway.Gateway
	scope   tally.TestScope
	proof   time.Time
	table   *route.Table
	stop    func() gateway.Stop // the planned stop of the process; nil if it is not stopped

	mu      sync.Mutex
	lastLog *requestLog // log of the last request

	quarantine *quarantine.Table
	finding    quarantine.ProbeResult // result of every probe of an endpoint
}

// newInvestigator returns an Investigator whose probes of endpoints all return s.finding.
func (s *testGateway) newInvestigator(d *endpoint.Directory) *quarantine.Investigator {
	return &quarantine.Investigator{
		Table: s.quarantine, Directory: d, OnEnding: func(bool) {}, Logger: log.NewNopLogger(),
		Probe: func(context.Context, *endpoint.Endpoint) quarantine.ProbeResult { return s.finding },
	}
}

func (s *testGateway) newRequestLog(string) gateway.RequestLog {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLog = &requestLog{}
	return s.lastLog
}

func newTestGateway() *testGateway { return newTestGatewayOf(3) }

// newTestGatewayOf returns a gateway with the given number of replica groups and standalone endpoints.
func newTestGatewayOf(endpoints int) *testGateway {
	s := &testGateway{scope: tally.NewTestScope("", nil), proof: time.Now(), quarantine: quarantine.NewTable(), finding: quarantine.Alive}
	second := time.Second
	s.table = route.NewTable(1, 1, []*route.Route{
		{Name: "once", Host: "h", Prefix: "/once/", Kind: route.Once, Timeout: second, Objective: 100 * time.Millisecond, MaxAttempts: 1, Targets: targets("plain")},
		{Name: "again", Host: "h", Prefix: "/again/", Kind: route.Repeatable, Timeout: second, Objective: 100 * time.Millisecond, MaxAttempts: 2, Targets: targets("plain")},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: route.Streaming, Resumable: true, Timeout: 4 * second, Objective: 200 * time.Millisecond, GapObjective: 200 * time.Millisecond, MaxAttempts: 2, Targets: targets("lm")},
		{Name: "lost", Host: "h", Prefix: "/lost/", Kind: route.Streaming, Timeout: 2 * second, Objective: 200 * time.Millisecond, MaxAttempts: 2, Targets: targets("lm")},
		{Name: "public", Host: "h", Prefix: "/public/", Kind: route.Once, Timeout: second, Public: true, Targets: targets("plain")},
	}, []*route.Service{
		{Name: "plain"}, {Name: "lm", Engine: &route.Engine{Slots: 4, Models: []route.Model{{Name: "m", Size: 1}}}},
	})
	s.table.AddWorkspace(&route.Workspace{Name: "w", Priority: 3, HasPriority: true}, []string{"key"})
	d := endpoint.NewDirectory(time.Second)
	var list []*endpoint.Endpoint
	for i := range endpoints {
		id := fmt.Sprintf("g%d", i)
		list = append(list, &endpoint.Endpoint{ID: id, Service: "lm", Models: []string{"m"}, Membership: &endpoint.Membership{Group: id, Epoch: 1, State: endpoint.Open}})
		list = append(list, &endpoint.Endpoint{ID: fmt.Sprintf("p%d", i), Service: "plain"})
	}
	d.Apply(list, nil, time.Now())
	noOthers := func(time.Time) *gossip.Totals { return gossip.NewTotals() }
	s.gateway = gateway.New(gateway.Options{
		Configuration: func() (*route.Table, time.Time) { return s.table, s.proof }, ProofLimit: 5 * time.Second,
		Picker:     picker.New(picker.Options{Directory: d, Others: noOthers, Retiring: func(time.Time) map[string]bool { return nil }, Lost: func(string, time.Time) bool { return s.lost }}),
		Quarantine: s.quarantine, Investigator: s.newInvestigator(d),
		Limits: retry.Limits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}, Nodes: func() retry.Nodes { return retry.Nodes{All: 1, Busy: 1} }, Started: clock.Now().Add(-time.Minute), RequestLog: s.newRequestLog, Scope: s.scope,
		Stop: func() gateway.Stop {
			if s.stop == nil {
				return gateway.Stop{}
			}
			return s.stop()
		},
	})
	return s
}

func targets(service string) []route.Target { return []route.Target{{Service: service, Weight: 1}} }

func (s *testGateway) serve(path string, scripts ...script) *exchange {
	x := &exchange{scripts: scripts}
	s.gateway.Serve(context.Background(), &gateway.Request{ID: "r", Host: "h", Path: path, Credential: "key", Model: "m", Received: time.Now()}, x)
	return x
}

var (
	okHead        = gateway.Head{Status: 200}
	streamHead    = gateway.Head{Status: 200, Events: true}
	notRunHead    = gateway.Head{Status: 503, NotRun: true}
	errMayHaveRun = verdict.New(verdict.MayHaveRun, errors.New("reset"))
	errNotRun     = verdict.New(verdict.NotRun, errors.New("refused"))
	reasonOf      = func(x *exchange) gateway.Reason {
		if x.refusal == nil {
			return 0
		}
		return x.refusal.Reason
	}
)

func TestCompleteAnswerIsPassedOn(t *testing.T) {
	x := newTestGateway().serve("/once/a", script{head: okHead, body: "answer"})
	qt.Check(t, x.status, qt.Equals, 200)
	qt.Check(t, x.body, qt.Equals, "answer")
	a := x.attempts[0]
	qt.Check(t, a.Once, qt.IsTrue)
	qt.Check(t, a.Workspace.Name, qt.Equals, "w")
	qt.Check(t, a.Priority, qt.Equals, 3, qt.Commentf("the workspace's priority overrides that of the route"))
	qt.Check(t, a.Remaining <= time.Second && a.Remaining > 900*time.Millisecond, qt.IsTrue)
}

func TestOnceRequestIsNotResentAfterItMayHaveRun(t *testing.T) {
	for name, s := range map[string]script{
		"send failed": {sendErr: errMayHaveRun}, "no head": {headErr: errMayHaveRun}, "body cut off": {head: okHead, broken: errMayHaveRun},
	} {
		x := newTestGateway().serve("/once/a", s, script{head: okHead})
		qt.Check(t, x.attempts, qt.HasLen, 1, qt.Commentf(name))
		qt.Check(t, reasonOf(x), qt.Equals, gateway.Failed, qt.Commentf(name))
	}
}

func TestRequestThatDidNotRunIsSentToAnotherEndpoint(t *testing.T) {
	for _, s := range []script{{sendErr: errNotRun}, {head: notRunHead}} {
		x := newTestGateway().serve("/once/a", s, script{head: okHead, body: "b"})
		qt.Assert(t, x.attempts, qt.HasLen, 2)
		qt.Check(t, x.attempts[0].Endpoint.ID != x.attempts[1].Endpoint.ID, qt.IsTrue)
		qt.Check(t, x.body, qt.Equals, "b")
	}
}

func TestNotRunIsReportedOnlyIfNoAttemptMayHaveRun(t *testing.T) {
	x := newTestGateway().serve("/once/a", script{head: notRunHead})
	qt.Check(t, reasonOf(x), qt.Equals, gateway.NotRun)
	qt.Check(t, x.refusal.RetryAfter > 0, qt.IsTrue, qt.Commentf("the refusal has a Retry-After"))
	x = newTestGateway().serve("/again/a", script{headErr: errMayHaveRun}, script{head: notRunHead})
	qt.Check(t, reasonOf(x), qt.Equals, gateway.Failed, qt.Commentf("the first attempt may have run"))
}

func TestRepeatableRequestIsResentUpToMaxAttempts(t *testing.T) {
	x := newTestGateway().serve("/again/a", script{headErr: errMayHaveRun}, script{head: okHead, body: "b"})
	qt.Check(t, x.body, qt.Equals, "b")
	x = newTestGateway().serve("/again/a", script{headErr: errMayHaveRun})
	qt.Check(t, x.attempts, qt.HasLen, 2)
	qt.Check(t, reasonOf(x), qt.Equals, gateway.Failed)
}

func TestRepeatableRequestIsHedgedWhenNoAnswerArrives(t *testing.T) {
	x := newTestGateway().serve("/again/a", script{silent: true}, script{head: okHead, body: "b"})
	qt.Check(t, x.attempts, qt.HasLen, 2)
	qt.Check(t, x.body, qt.Equals, "b")
}

func TestServerErrorOfTheEndpointIsPassedOnUnchanged(t *testing.T) {
	x := newTestGateway().serve("/once/a", script{head: gateway.Head{Status: 500}, body: "mine"})
	qt.Check(t, x.status, qt.Equals, 500)
	qt.Check(t, x.body, qt.Equals, "mine")
	qt.Check(t, x.attempts, qt.HasLen, 1)
}

func TestRouteTimeoutIsAnsweredAsTimedOut(t *testing.T) {
	x := newTestGateway().serve("/once/a", script{silent: true})
	qt.Check(t, reasonOf(x), qt.Equals, gateway.TimedOut)
}

func TestWithoutProofCredentialsAreNotAccepted(t *testing.T) {
	s := newTestGateway()
	s.proof = time.Now().Add(-5 * time.Second)
	x := s.serve("/once/a", script{head: okHead})
	qt.Check(t, reasonOf(x), qt.Equals, gateway.NotRun)
	qt.Check(t, x.attempts, qt.HasLen, 0)
	qt.Check(t, s.serve("/public/a", script{head: okHead}).status, qt.Equals, 200)
	qt.Check(t, reasonOf(s.serve("/none/a", script{head: okHead})), qt.Equals, gateway.NotRun, qt.Commentf("the route may be there by now"))
}

func TestWithoutProofCredentialsCountWhereItIsOptional(t *testing.T) {
	s := newTestGateway()
	s.gateway.ProofOptional = true
	s.proof = time.Now().Add(-time.Hour)
	qt.Check(t, s.serve("/once/a", script{head: okHead}).status, qt.Equals, 200)
	qt.Check(t, reasonOf(s.serve("/none/a", script{head: okHead})), qt.Equals, gateway.NotRun, qt.Commentf("the route may be there by now"))
	x := &exchange{scripts: []script{{head: okHead}}}
	s.gateway.Serve(context.Background(), &gateway.Request{Host: "h", Path: "/once/a", Credential: "new", Received: time.Now()}, x)
	qt.Check(t, reasonOf(x), qt.Equals, gateway.NotRun, qt.Commentf("the credential may have been added by now"))
	s.table = nil
	qt.Check(t, reasonOf(s.serve("/once/a", script{head: okHead})), qt.Equals, gateway.NotRun, qt.Commentf("no configuration is known"))
}

func TestRefusalsOfTheGatewayItself(t *testing.T) {
	s := newTestGateway()
	qt.Check(t, reasonOf(s.serve("/none/a", script{head: okHead})), qt.Equals, gateway.NoRoute)
	x := &exchange{scripts: []script{{head: okHead}}}
	s.gateway.Serve(context.Background(), &gateway.Request{Host: "h", Path: "/once/a", Credential: "stolen", Received: time.Now()}, x)
	qt.Check(t, reasonOf(x), qt.Equals, gateway.NoCredential)
	s.table = nil
	qt.Check(t, reasonOf(s.serve("/once/a", script{head: okHead})), qt.Equals, gateway.NotRun)
}

func TestStreamResumesAtAnotherGroupAfterItsLastEvent(t *testing.T) {
	for name, s := range map[string]script{
		"cut off": {head: streamHead, events: []string{"1", "2"}, broken: errMayHaveRun},
		"stalled": {head: streamHead, events: []string{"1", "2"}, stall: true},
	} {
		x := newTestGateway().serve("/stream/a", s, script{head: streamHead, events: []string{"3", "4"}})
		qt.Check(t, x.events, qt.DeepEquals, []string{"1", "2", "3", "4"}, qt.Commentf(name))
		qt.Assert(t, x.attempts, qt.HasLen, 2, qt.Commentf(name))
		qt.Check(t, x.attempts[1].ResumeAfter, qt.Equals, "2", qt.Commentf(name))
		qt.Check(t, x.aborted, qt.IsFalse, qt.Commentf(name))
	}
}

func TestStreamWithoutAFirstEventIsSentToAnotherGroup(t *testing.T) {
	x := newTestGateway().serve("/stream/a", script{silent: true}, script{head: streamHead, events: []string{"1"}})
	qt.Check(t, x.events, qt.DeepEquals, []string{"1"})
}

func TestStreamThatCannotBeResumedIsCutOff(t *testing.T) {
	x := newTestGateway().serve("/lost/a", script{head: streamHead, events: []string{"1"}, broken: errMayHaveRun}, script{head: streamHead})
	qt.Check(t, x.attempts, qt.HasLen, 1)
	qt.Check(t, x.aborted, qt.IsTrue, qt.Commentf("the caller must be able to tell that the stream is incomplete"))
	x = newTestGateway().serve("/stream/a", script{head: streamHead, events: []string{"1"}, broken: errMayHaveRun})
	qt.Check(t, x.attempts, qt.HasLen, 2)
	qt.Check(t, x.aborted, qt.IsTrue)
}

func TestStreamOfAGroupThatIsKnownToBeLostIsSentElsewhereSooner(t *testing.T) {
	s := newTestGateway()
	serve := func() *exchange {
		x := &exchange{scripts: []script{{silent: true}, {head: streamHead, events: []string{"1"}}}}
		// Shorter than the timeout of the first event, which applies while the group is not known to be lost.
		r := &gateway.Request{ID: "r", Host: "h", Path: "/stream/a", Credential: "key", Model: "m", Received: time.Now(), CallerTimeout: 1400 * time.Millisecond}
		s.gateway.Serve(context.Background(), r, x)
		return x
	}
	x := serve()
	qt.Assert(t, x.refusal, qt.IsNotNil)
	qt.Check(t, x.refusal.Reason, qt.Equals, gateway.TimedOut)
	s.lost = true
	x = serve()
	qt.Check(t, x.refusal, qt.IsNil)
	qt.Check(t, x.events, qt.DeepEquals, []string{"1"})
}

func TestUnsuccessfulAndResentRequestsAreLoggedInFull(t *testing.T) {
	s := newTestGateway()
	s.serve("/stream/a", script{head: streamHead, events: []string{"1", "2"}})
	qt.Check(t, s.lastLog.loggedInFull, qt.IsFalse)
	for name, scripts := range map[string][]script{
		"refused": {{head: notRunHead}},
		"resent":  {{sendErr: errNotRun}, {head: streamHead, events: []string{"1"}}},
		"stalled": {{head: streamHead, events: []string{"1"}, stall: true}, {head: streamHead, events: []string{"2"}}},
		"cut off": {{head: streamHead, events: []string{"1"}, broken: errMayHaveRun}},
	} {
		s.serve("/stream/a", scripts...)
		qt.Check(t, s.lastLog.loggedInFull, qt.IsTrue, qt.Commentf(name))
	}
	s.serve("/again/a", script{silent: true}, script{head: okHead})
	qt.Check(t, s.lastLog.loggedInFull, qt.IsTrue, qt.Commentf("sent twice"))
}

// Guards against retries that are counted although no place was found for them: the requests after it were refused theirs.
func TestRetryWithoutAPlaceIsNotCounted(t *testing.T) {
	s := newTestGateway()
	x := s.serve("/again/x", script{head: gateway.Head{Status: 503, NotRun: true}})
	qt.Check(t, x.attempts, qt.HasLen, 3, qt.Commentf("the service has three endpoints"))
	qt.Assert(t, x.refusal, qt.IsNotNil)
	qt.Check(t, s.gateway.RetryBudgets(clock.Now())["plain"].Retries, qt.Equals, 2)
}
