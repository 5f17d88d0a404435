package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"

	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/gateway"
	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/picker"
	"moorrun.dev/moorrun/internal/quarantine"
	"moorrun.dev/moorrun/internal/retry"
	"moorrun.dev/moorrun/internal/route"
	"moorrun.dev/moorrun/internal/verdict"
)

// script is what one sending leads to.
type script struct {
	sendErr error
	head    gateway.Head
	headErr error // when the head is waited for
	mute    bool  // nothing ever comes
	events  []string
	stall   bool  // after the events nothing comes
	broken  error // after the events
	body    string
}

// exchange plays scripts, one a sending, and keeps what the caller gets.
type exchange struct {
	scripts  []script
	attempts []gateway.Attempt
	status   int
	body     string
	events   []string
	refusal  *gateway.Refusal
	aborted  bool
}

type reply struct {
	play script
	next int
}

func (x *exchange) Send(_ context.Context, a gateway.Attempt) (gateway.Reply, error) {
	s := x.scripts[min(len(x.attempts), len(x.scripts)-1)]
	x.attempts = append(x.attempts, a)
	if s.sendErr != nil {
		return nil, s.sendErr
	}
	return &reply{play: s}, nil
}

func (x *exchange) Whole(r gateway.Reply, body []byte) error {
	x.status, x.body = r.(*reply).play.head.Status, string(body)
	return nil
}
func (x *exchange) Begin(r gateway.Reply) error { x.status = r.(*reply).play.head.Status; return nil }
func (x *exchange) Event(e gateway.Event) error { x.events = append(x.events, e.ID); return nil }
func (x *exchange) Refuse(r gateway.Refusal)    { x.refusal = &r }
func (x *exchange) Abort()                      { x.aborted = true }

// wait sleeps until then and says that nothing has come.
func wait(until time.Time) error {
	time.Sleep(time.Until(until))
	return gateway.ErrNotYet
}

func (r *reply) Head(until time.Time) (gateway.Head, error) {
	if r.play.mute {
		return gateway.Head{}, wait(until)
	}
	return r.play.head, r.play.headErr
}
func (r *reply) Body(time.Time) ([]byte, error) { return []byte(r.play.body), r.play.broken }
func (r *reply) Next(until time.Time) (gateway.Event, error) {
	if r.next < len(r.play.events) {
		r.next++
		return gateway.Event{ID: r.play.events[r.next-1]}, nil
	}
	switch {
	case r.play.stall:
		return gateway.Event{}, wait(until)
	case r.play.broken != nil:
		return gateway.Event{}, r.play.broken
	}
	return gateway.Event{}, io.EOF
}
func (r *reply) Close() {}

// story is what was told of one request.
type story struct {
	events     []string
	remarkable bool
}

func (s *story) Decision(event string, _ bool, _ ...any) { s.events = append(s.events, event) }
func (s *story) End(remarkable bool)                     { s.remarkable = remarkable }

// site is a gateway before two groups and two endpoints that serve alone.
type site struct {
	lost    bool // the leader has found every group to have lost a member
	gateway *gateway.Gateway
	proof   time.Time
	table   *route.Table
	story   *story // of the last request

	quarantine *quarantine.Table
	finding    quarantine.Finding // of every endpoint that is asked
}

// inquiry asks endpoints, of which all but those that have failed a request live.
func (s *site) inquiry(d *endpoint.Directory) *quarantine.Inquiry {
	return &quarantine.Inquiry{
		Table: s.quarantine, Directory: d, Noted: func(bool) {}, Logger: log.NewNopLogger(),
		Ask: func(context.Context, *endpoint.Endpoint) quarantine.Finding { return s.finding },
	}
}

func (s *site) begin(string) gateway.Story {
	s.story = &story{}
	return s.story
}

func newSite() *site {
	s := &site{proof: time.Now(), quarantine: quarantine.NewTable(), finding: quarantine.Alive}
	second := time.Second
	s.table = route.NewTable(1, 1, []*route.Route{
		{Name: "once", Host: "h", Prefix: "/once/", Kind: route.Once, Timeout: second, Objective: 100 * time.Millisecond, MaxAttempts: 1, Targets: to("plain")},
		{Name: "again", Host: "h", Prefix: "/again/", Kind: route.Repeatable, Timeout: second, Objective: 100 * time.Millisecond, MaxAttempts: 2, Targets: to("plain")},
		{Name: "stream", Host: "h", Prefix: "/stream/", Kind: route.Streaming, Resumable: true, Timeout: 4 * second, Objective: 200 * time.Millisecond, GapObjective: 200 * time.Millisecond, MaxAttempts: 2, Targets: to("lm")},
		{Name: "lost", Host: "h", Prefix: "/lost/", Kind: route.Streaming, Timeout: 2 * second, Objective: 200 * time.Millisecond, MaxAttempts: 2, Targets: to("lm")},
		{Name: "public", Host: "h", Prefix: "/public/", Kind: route.Once, Timeout: second, Public: true, Targets: to("plain")},
	}, []*route.Service{
		{Name: "plain"}, {Name: "lm", Engine: &route.Engine{Slots: 4, Models: []route.Model{{Name: "m", Size: 1}}}},
	})
	s.table.AddWorkspace(&route.Workspace{Name: "w", Priority: 3, HasPriority: true}, []string{"key"})
	d := endpoint.NewDirectory(time.Second)
	var list []*endpoint.Endpoint
	for i := range 3 {
		id := fmt.Sprintf("g%d", i)
		list = append(list, &endpoint.Endpoint{ID: id, Service: "lm", Models: []string{"m"}, Membership: &endpoint.Membership{Group: id, Epoch: 1, State: endpoint.Open}})
		list = append(list, &endpoint.Endpoint{ID: fmt.Sprintf("p%d", i), Service: "plain"})
	}
	d.Apply(list, nil, time.Now())
	nobody := func(time.Time) *gossip.Totals { return gossip.NewTotals() }
	s.gateway = gateway.New(gateway.Options{
		Table: func() *route.Table { return s.table }, Proof: func() time.Time { return s.proof }, ProofLimit: 5 * time.Second,
		Picker:     picker.New(picker.Options{Directory: d, Others: nobody, Retiring: func(time.Time) map[string]bool { return nil }, Lost: func(string, time.Time) bool { return s.lost }}),
		Quarantine: s.quarantine, Inquiry: s.inquiry(d),
		Limits: retry.Limits{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}, Nodes: func() retry.Nodes { return retry.Nodes{All: 1, Busy: 1} }, Story: s.begin, Scope: tally.NoopScope,
	})
	return s
}

func to(service string) []route.Target { return []route.Target{{Service: service, Weight: 1}} }

func (s *site) serve(path string, scripts ...script) *exchange {
	x := &exchange{scripts: scripts}
	s.gateway.Serve(context.Background(), &gateway.Request{ID: "r", Host: "h", Path: path, Credential: "key", Model: "m", Received: time.Now()}, x)
	return x
}

var (
	fine     = gateway.Head{Status: 200}
	events   = gateway.Head{Status: 200, Events: true}
	shed     = gateway.Head{Status: 503, NotRun: true}
	mayRun   = verdict.New(verdict.MayHaveRun, errors.New("reset"))
	notRun   = verdict.New(verdict.NotRun, errors.New("refused"))
	reasonOf = func(x *exchange) gateway.Reason {
		if x.refusal == nil {
			return 0
		}
		return x.refusal.Reason
	}
)

func TestWholeAnswerIsPassedOn(t *testing.T) {
	x := newSite().serve("/once/a", script{head: fine, body: "answer"})
	qt.Check(t, x.status, qt.Equals, 200)
	qt.Check(t, x.body, qt.Equals, "answer")
	a := x.attempts[0]
	qt.Check(t, a.Once, qt.IsTrue)
	qt.Check(t, a.Workspace.Name, qt.Equals, "w")
	qt.Check(t, a.Priority, qt.Equals, 3, qt.Commentf("the workspace's priority goes first"))
	qt.Check(t, a.Remaining <= time.Second && a.Remaining > 900*time.Millisecond, qt.IsTrue)
}

func TestRequestThatMayRunOnceIsNeverSentAgainOnceItMayHaveRun(t *testing.T) {
	for name, s := range map[string]script{
		"sending broke off": {sendErr: mayRun}, "no head": {headErr: mayRun}, "body broke off": {head: fine, broken: mayRun},
	} {
		x := newSite().serve("/once/a", s, script{head: fine})
		qt.Check(t, x.attempts, qt.HasLen, 1, qt.Commentf(name))
		qt.Check(t, reasonOf(x), qt.Equals, gateway.Failed, qt.Commentf(name))
	}
}

func TestRequestThatDidNotRunGoesElsewhere(t *testing.T) {
	for _, s := range []script{{sendErr: notRun}, {head: shed}} {
		x := newSite().serve("/once/a", s, script{head: fine, body: "b"})
		qt.Assert(t, x.attempts, qt.HasLen, 2)
		qt.Check(t, x.attempts[0].Endpoint.ID != x.attempts[1].Endpoint.ID, qt.IsTrue)
		qt.Check(t, x.body, qt.Equals, "b")
	}
}

func TestNotRunIsSaidOnlyOfWhatDidNotRun(t *testing.T) {
	x := newSite().serve("/once/a", script{head: shed})
	qt.Check(t, reasonOf(x), qt.Equals, gateway.NotRun)
	qt.Check(t, x.refusal.RetryAfter > 0, qt.IsTrue, qt.Commentf("it says when to come back"))
	x = newSite().serve("/again/a", script{headErr: mayRun}, script{head: shed})
	qt.Check(t, reasonOf(x), qt.Equals, gateway.Failed, qt.Commentf("the first sending may have run"))
}

func TestRepeatableRequestIsSentAgainWithinItsAttempts(t *testing.T) {
	x := newSite().serve("/again/a", script{headErr: mayRun}, script{head: fine, body: "b"})
	qt.Check(t, x.body, qt.Equals, "b")
	x = newSite().serve("/again/a", script{headErr: mayRun})
	qt.Check(t, x.attempts, qt.HasLen, 2)
	qt.Check(t, reasonOf(x), qt.Equals, gateway.Failed)
}

func TestRepeatableRequestAsksElsewhereWhenNoAnswerComes(t *testing.T) {
	x := newSite().serve("/again/a", script{mute: true}, script{head: fine, body: "b"})
	qt.Check(t, x.attempts, qt.HasLen, 2)
	qt.Check(t, x.body, qt.Equals, "b")
}

func TestFailureOfTheEndpointIsPassedOnAsItIs(t *testing.T) {
	x := newSite().serve("/once/a", script{head: gateway.Head{Status: 500}, body: "mine"})
	qt.Check(t, x.status, qt.Equals, 500)
	qt.Check(t, x.body, qt.Equals, "mine")
	qt.Check(t, x.attempts, qt.HasLen, 1)
}

func TestRouteTimeoutIsAnsweredAsTimedOut(t *testing.T) {
	x := newSite().serve("/once/a", script{mute: true})
	qt.Check(t, reasonOf(x), qt.Equals, gateway.TimedOut)
}

func TestWithoutProofNoCredentialCounts(t *testing.T) {
	s := newSite()
	s.proof = time.Now().Add(-5 * time.Second)
	x := s.serve("/once/a", script{head: fine})
	qt.Check(t, reasonOf(x), qt.Equals, gateway.NotRun)
	qt.Check(t, x.attempts, qt.HasLen, 0)
	qt.Check(t, s.serve("/public/a", script{head: fine}).status, qt.Equals, 200)
	qt.Check(t, reasonOf(s.serve("/none/a", script{head: fine})), qt.Equals, gateway.NotRun, qt.Commentf("the route may be there by now"))
}

func TestWithoutProofCredentialsCountWhereItIsOptional(t *testing.T) {
	s := newSite()
	s.gateway.ProofOptional = true
	s.proof = time.Now().Add(-time.Hour)
	qt.Check(t, s.serve("/once/a", script{head: fine}).status, qt.Equals, 200)
	qt.Check(t, reasonOf(s.serve("/none/a", script{head: fine})), qt.Equals, gateway.NotRun, qt.Commentf("the route may be there by now"))
	x := &exchange{scripts: []script{{head: fine}}}
	s.gateway.Serve(context.Background(), &gateway.Request{Host: "h", Path: "/once/a", Credential: "new", Received: time.Now()}, x)
	qt.Check(t, reasonOf(x), qt.Equals, gateway.NotRun, qt.Commentf("the credential may have been added by now"))
	s.table = nil
	qt.Check(t, reasonOf(s.serve("/once/a", script{head: fine})), qt.Equals, gateway.NotRun, qt.Commentf("no configuration is known"))
}

func TestRefusalsOfTheGatewayItself(t *testing.T) {
	s := newSite()
	qt.Check(t, reasonOf(s.serve("/none/a", script{head: fine})), qt.Equals, gateway.NoRoute)
	x := &exchange{scripts: []script{{head: fine}}}
	s.gateway.Serve(context.Background(), &gateway.Request{Host: "h", Path: "/once/a", Credential: "stolen", Received: time.Now()}, x)
	qt.Check(t, reasonOf(x), qt.Equals, gateway.NoCredential)
	s.table = nil
	qt.Check(t, reasonOf(s.serve("/once/a", script{head: fine})), qt.Equals, gateway.NotRun)
}

func TestStreamGoesOnElsewhereAfterItsLastWholeEvent(t *testing.T) {
	for name, s := range map[string]script{
		"broke off":   {head: events, events: []string{"1", "2"}, broken: mayRun},
		"stood still": {head: events, events: []string{"1", "2"}, stall: true},
	} {
		x := newSite().serve("/stream/a", s, script{head: events, events: []string{"3", "4"}})
		qt.Check(t, x.events, qt.DeepEquals, []string{"1", "2", "3", "4"}, qt.Commentf(name))
		qt.Assert(t, x.attempts, qt.HasLen, 2, qt.Commentf(name))
		qt.Check(t, x.attempts[1].ResumeAfter, qt.Equals, "2", qt.Commentf(name))
		qt.Check(t, x.aborted, qt.IsFalse, qt.Commentf(name))
	}
}

func TestStreamThatNobodyBeginsIsSentElsewhere(t *testing.T) {
	x := newSite().serve("/stream/a", script{mute: true}, script{head: events, events: []string{"1"}})
	qt.Check(t, x.events, qt.DeepEquals, []string{"1"})
}

func TestStreamThatCannotBeResumedIsBrokenOff(t *testing.T) {
	x := newSite().serve("/lost/a", script{head: events, events: []string{"1"}, broken: mayRun}, script{head: events})
	qt.Check(t, x.attempts, qt.HasLen, 1)
	qt.Check(t, x.aborted, qt.IsTrue, qt.Commentf("a cut stream must not look whole"))
	x = newSite().serve("/stream/a", script{head: events, events: []string{"1"}, broken: mayRun})
	qt.Check(t, x.attempts, qt.HasLen, 2)
	qt.Check(t, x.aborted, qt.IsTrue)
}

func TestStreamOfAGroupThatIsKnownToBeLostIsSentElsewhereSooner(t *testing.T) {
	s := newSite()
	serve := func() *exchange {
		x := &exchange{scripts: []script{{mute: true}, {head: events, events: []string{"1"}}}}
		// Shorter than the wait for a first event when nothing is known of the group.
		r := &gateway.Request{ID: "r", Host: "h", Path: "/stream/a", Credential: "key", Model: "m", Received: time.Now(), Patience: 1400 * time.Millisecond}
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

func TestRequestsThatACallerMayComplainOfAreToldWhole(t *testing.T) {
	s := newSite()
	s.serve("/stream/a", script{head: events, events: []string{"1", "2"}})
	qt.Check(t, s.story.remarkable, qt.IsFalse)
	for name, scripts := range map[string][]script{
		"refused":     {{head: shed}},
		"sent again":  {{sendErr: notRun}, {head: events, events: []string{"1"}}},
		"stood still": {{head: events, events: []string{"1"}, stall: true}, {head: events, events: []string{"2"}}},
		"cut":         {{head: events, events: []string{"1"}, broken: mayRun}},
	} {
		s.serve("/stream/a", scripts...)
		qt.Check(t, s.story.remarkable, qt.IsTrue, qt.Commentf(name))
	}
	s.serve("/again/a", script{mute: true}, script{head: fine})
	qt.Check(t, s.story.remarkable, qt.IsTrue, qt.Commentf("a call that was sent twice"))
}
