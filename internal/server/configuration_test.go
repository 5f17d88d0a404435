package server

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"moorrun.dev/moorrun/internal/clock"
	"moorrun.dev/moorrun/internal/endpoint"
	"moorrun.dev/moorrun/internal/follow"
	"moorrun.dev/moorrun/internal/gateway"
	"moorrun.dev/moorrun/internal/gossip"
	"moorrun.dev/moorrun/internal/httpcall"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/keys"
	"moorrun.dev/moorrun/internal/route"
	"moorrun.dev/moorrun/internal/settings"
)

const (
	testProofLimit = 1500 * time.Millisecond
	// unreadableValue is a configuration that cannot be decoded. Any other value is the only credential of its workspace.
	unreadableValue = "-"
)

// configurationSource is both a store and another node, of which one can be reached.
type configurationSource struct {
	infra.ObjectStore
	mu          sync.Mutex
	storeAnswer bool
	revision    int64
	value       string
}

func (c *configurationSource) set(value string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision++
	c.value = value
}

func (c *configurationSource) setStoreAnswers(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeAnswer = on
}

func (c *configurationSource) List(_ context.Context, prefix string) (infra.Listing, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.storeAnswer {
		return infra.Listing{}, errors.New("store unavailable")
	}
	l := infra.Listing{Version: c.revision}
	if prefix == keys.Accepted {
		l.Objects = []infra.Object{{Key: keys.Accepted + "main", Version: c.revision, Value: []byte(c.value)}}
	}
	return l, nil
}

func (c *configurationSource) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (infra.Listing, error) {
	for end := time.Now().Add(wait); ; time.Sleep(2 * time.Millisecond) {
		l, err := c.List(ctx, prefix)
		switch {
		case err != nil:
			return infra.Listing{}, err
		case l.Version > after:
			return l, nil
		case time.Now().After(end):
			l.Objects = nil
			return l, ctx.Err()
		}
	}
}

// Pull implements follow.Puller.
func (c *configurationSource) Pull(context.Context, string, string, uint64, bool) (uint64, []infra.Object, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return uint64(c.revision), []infra.Object{{Key: keys.Accepted + "main", Version: 2 * c.revision, Value: []byte(c.value)}}, nil
}

// beat returns a heartbeat of the other node, which proves what it has.
func (c *configurationSource) beat() *gossip.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	return &gossip.Peer{
		Identity: gossip.Identity{VM: "other", Incarnation: "o"}, Heard: now,
		Status: gossip.Status{Watching: true, LeaderEpoch: 1, Full: true, Sequence: uint64(c.revision), Routing: uint64(c.revision), ProofAt: now},
	}
}

// configurationNode is a node that puts configurations in force.
type configurationNode struct {
	*Server
	source *configurationSource
	decode sync.Mutex // held while configurations cannot be decoded yet
}

func startConfigurationNode(t *testing.T) *configurationNode {
	t.Helper()
	c := &configurationNode{source: &configurationSource{storeAnswer: true}}
	c.source.set("first")
	newPlatform := func(*settings.Gateway, *httpcall.Client) *Platform {
		return &Platform{Objects: c.source, Era: func() int64 { return 0 }, Table: c.table}
	}
	s := &settings.Gateway{VM: "vm", DataCentre: "z", CredentialProofMS: int(testProofLimit.Milliseconds()), CredentialProofRequired: true, EndpointBeatMS: 1200, RepeatWindowMS: 1000, SampleOneIn: 1}
	c.Server = NewWithTransport(Transport{}, s, newPlatform, log.NewNopLogger())
	live := func(time.Time) []*gossip.Peer { return nil }
	c.follower = follow.NewFollower(c.source, c.source, "vm", func() bool { return false }, live, log.NewNopLogger())
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = c.follower.Run(ctx) })
	running.Go(func() { _ = c.applyChanges(ctx) })
	t.Cleanup(func() { cancel(); running.Wait(); _ = c.closeScope.Close() })
	c.await(t, "the first configuration is in force", func() bool { return c.answer("first") == admitted })
	return c
}

func (c *configurationNode) table(revision int64, value []byte) (*route.Table, error) {
	if string(value) == unreadableValue {
		return nil, errors.New("no configuration")
	}
	if string(value) != "first" {
		c.decode.Lock()
		defer c.decode.Unlock()
	}
	t := route.NewTable(revision, revision, []*route.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Targets: []route.Target{{Service: "s", Weight: 1}}}},
		[]*route.Service{{Name: "s"}})
	t.AddWorkspace(&route.Workspace{Name: "w"}, []string{string(value)})
	return t, nil
}

func (c *configurationNode) await(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", description)
		}
	}
}

// What a node does with a request.
const (
	admitted = "admitted" // no endpoint serves it, which is of no interest here
	unproved = "unproved"
	unknown  = "credential not known"
)

// refusals records the refusal of a request.
type refusals struct {
	gateway.Exchange
	last gateway.Refusal
}

func (r *refusals) Refuse(refusal gateway.Refusal) { r.last = refusal }

// answer tells what the node does with a request with a credential.
func (c *configurationNode) answer(credential string) string {
	x := &refusals{}
	c.gateway.Serve(context.Background(), &gateway.Request{ID: "r", Host: "h", Path: "/x", Credential: credential, Received: clock.Now(), CallerTimeout: 20 * time.Millisecond}, x)
	switch {
	case x.last.Reason == gateway.NoCredential:
		return unknown
	case strings.Contains(x.last.Detail, "cannot be proved current"), strings.Contains(x.last.Detail, "no configuration"):
		return unproved
	}
	return admitted
}

// copied waits until the node's copy of the store is proved current by a query or heartbeat that begins now.
func (c *configurationNode) copied(t *testing.T, beat bool) {
	t.Helper()
	now := clock.Now()
	c.await(t, "the copy is current", func() bool {
		if beat {
			c.follower.EnqueueBeat(c.source.beat())
		}
		return c.follower.Current(keys.Accepted).After(now)
	})
}

// Guards against credentials that are accepted after they were taken away, because the copy of the store that takes them away is proved
// current before it is in force.
func TestProofOfACopyDoesNotCountBeforeTheCopyIsInForce(t *testing.T) {
	for name, beat := range map[string]bool{"from the store": false, "from another node": true} {
		t.Run(name, func(t *testing.T) {
			c := startConfigurationNode(t)
			c.source.setStoreAnswers(false)
			c.await(t, "the configuration is not proved any more", func() bool { return c.answer("first") == unproved })
			c.source.set("second")
			c.decode.Lock()
			c.source.setStoreAnswers(!beat)
			c.copied(t, beat)
			for range 5 {
				qt.Check(t, c.answer("first"), qt.Equals, unproved)
				qt.Check(t, c.answer("second"), qt.Equals, unproved)
				qt.Check(t, c.serving(clock.Now()), qt.IsFalse, qt.Commentf("readiness"))
				c.copied(t, beat)
			}
			c.decode.Unlock()
			c.await(t, "the second configuration is in force", func() bool {
				if beat {
					c.follower.EnqueueBeat(c.source.beat())
				}
				return c.answer("second") == admitted
			})
			qt.Check(t, c.answer("first"), qt.Equals, unknown)
			qt.Check(t, c.serving(clock.Now()), qt.IsTrue)
		})
	}
}

// Guards against credentials that are accepted for good although a later configuration, which cannot be read, may have taken them away.
func TestProofDoesNotCountForAConfigurationThatCannotBeRead(t *testing.T) {
	c := startConfigurationNode(t)
	c.source.set(unreadableValue)
	c.await(t, "the configuration in force is not proved any more", func() bool { return c.answer("first") == unproved })
	c.copied(t, false)
	qt.Check(t, c.answer("first"), qt.Equals, unproved)
	c.source.set("second")
	c.await(t, "the second configuration is in force", func() bool { return c.answer("second") == admitted })
	qt.Check(t, c.answer("first"), qt.Equals, unknown)
}

// Guards against a configuration that counts as unproved while other changes keep coming.
func TestConfigurationIsProvedWhileOtherChangesAreApplied(t *testing.T) {
	c := startConfigurationNode(t)
	c.platform.Endpoint = func(string, int64, []byte) (*endpoint.Endpoint, error) {
		time.Sleep(time.Millisecond) // the next change is there before this one is applied
		return nil, errors.New("no endpoint")
	}
	c.logger = log.NewNopLogger()
	var version int64 = 1 << 20
	for end := time.Now().Add(2 * testProofLimit); time.Now().Before(end); time.Sleep(200 * time.Microsecond) {
		version++
		c.follower.Mirror.Put(infra.Object{Key: keys.Endpoints + "e", Version: version, Value: []byte(`{}`)})
		if version%64 == 0 {
			qt.Assert(t, c.answer("first"), qt.Equals, admitted)
		}
	}
}

// What each request pays to learn the configuration in force and its proof.
func BenchmarkConfiguration(b *testing.B) {
	n := NewWithTransport(Transport{}, &settings.Gateway{VM: "vm", DataCentre: "z", RepeatWindowMS: 1000}, func(*settings.Gateway, *httpcall.Client) *Platform { return &Platform{} }, log.NewNopLogger())
	defer n.closeScope.Close() //nolint:errcheck // nothing is reported
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			n.configuration()
		}
	})
}
