package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/standin/estate"
)

const (
	soakTime = 20 * time.Second
	// soakTimeout is the routes' timeout during a soak, within which a stream may be cut off by none of its faults.
	soakTimeout = 20 * time.Second
)

// soak is a random walk of pauses of engines and nodes beside changes of the configuration, reloads and restarts. Callers keep their
// connections and judge what they get.
type soak struct {
	*fleet
	random   *rand.Rand // of the faults
	stopping atomic.Bool
	version  int

	nodeLocks [3]sync.RWMutex // held for writing while a node is started again

	mu                      sync.Mutex
	whole, refused, unread  int
	violations              []string
	requests                atomic.Int64
	pauses, changes, signal int
}

// Guards against answers that are cut off, lost or mixed while endpoints and nodes are silent, one, most or all at a time, beside changes of
// the configuration, reloads and restarts. MOORRUN_SOAK_SEEDS names other seeds, separated by commas.
func TestSoakOfSilences(t *testing.T) {
	for _, seed := range soakSeeds(t, 1, 2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

// soakSeeds returns the seeds in the environment variable MOORRUN_SOAK_SEEDS, separated by commas, or the given ones if it is not set.
func soakSeeds(t *testing.T, usual ...uint64) []uint64 {
	t.Helper()
	list := os.Getenv("MOORRUN_SOAK_SEEDS")
	if list == "" {
		return usual
	}
	var out []uint64
	for text := range strings.SplitSeq(list, ",") {
		seed, err := strconv.ParseUint(text, 10, 64)
		qt.Assert(t, err, qt.IsNil)
		out = append(out, seed)
	}
	return out
}

func runSoak(t *testing.T, seed uint64) {
	s := &soak{fleet: newFleet(t), random: rand.New(rand.NewPCG(seed, 1)), version: 1} //nolint:gosec // a seeded test
	s.configure()
	s.await("the routes' timeout is in force", func() bool {
		for _, n := range s.nodes {
			if n.countLogged(fmt.Sprintf(`"version":%d}`, s.version)) == 0 && n.countLogged(fmt.Sprintf(`"version":%d,`, s.version)) == 0 {
				return false
			}
		}
		return true
	})
	var callers sync.WaitGroup
	for i := range 12 {
		callers.Go(func() { s.call(i) })
	}
	for end := time.Now().Add(soakTime); time.Now().Before(end); {
		s.injectFault()
	}
	s.stopping.Store(true)
	callers.Wait()
	t.Logf("seed %d: %d whole, %d refused, %d not read; %d pauses, %d changes, %d signals", seed, s.whole, s.refused, s.unread, s.pauses, s.changes, s.signal)
	for _, v := range s.violations {
		t.Error(v)
	}
	qt.Check(t, s.whole > 0, qt.IsTrue)
}

// configure puts another version of the configuration in force.
func (s *soak) configure() {
	s.version++
	s.changes++
	s.platform.Configure(s.version, int(soakTimeout.Milliseconds()), "key-1", fmt.Sprint("key-", s.version))
}

// injectFault injects one or two overlapping faults.
func (s *soak) injectFault() {
	pause := time.Duration(500+s.random.IntN(1500)) * time.Millisecond
	switch s.random.IntN(6) {
	case 0, 1:
		s.freezeEngines(pause)
		s.configure()
	case 2:
		s.stopNodes(pause)
		s.configure()
	case 3:
		s.freezeEngines(pause)
		s.stopNodes(pause / 2)
	case 4:
		s.freezeEngines(pause)
		s.signal++
		s.nodes[s.random.IntN(len(s.nodes))].signal(syscall.SIGHUP)
	default:
		s.freezeEngines(pause)
		s.restart(s.random.IntN(len(s.nodes)))
	}
	time.Sleep(time.Duration(s.random.IntN(int(pause))))
}

// some returns one, most or all of n things.
func (s *soak) some(n int) []int {
	return s.random.Perm(n)[:[]int{1, n - 1, n}[s.random.IntN(3)]]
}

func (s *soak) freezeEngines(d time.Duration) {
	engines := s.engineWorkers()
	for _, i := range s.some(len(engines)) {
		s.pauses++
		engines[i].Freeze(d)
	}
}

func (s *soak) stopNodes(d time.Duration) {
	stopped := s.some(len(s.nodes))
	for _, i := range stopped {
		s.pauses++
		s.nodes[i].signal(syscall.SIGSTOP)
	}
	time.Sleep(d)
	for _, i := range stopped {
		s.nodes[i].signal(syscall.SIGCONT)
	}
}

// restart stops a node by SIGTERM and starts it again. Callers leave it once it has ended.
func (s *soak) restart(i int) {
	n := s.nodes[i]
	s.signal++
	n.signal(syscall.SIGTERM)
	<-n.exited
	s.nodeLocks[i].Lock()
	defer s.nodeLocks[i].Unlock()
	s.start(n)
	s.awaitReady(n)
}

// call sends requests to one node after the other, over connections that are kept.
func (s *soak) call(caller int) {
	client := &http.Client{Transport: &http.Transport{}}
	for n := caller; !s.stopping.Load(); n++ {
		s.requestStream(client, n%len(s.nodes))
		time.Sleep(20 * time.Millisecond)
	}
}

// requestStream sends a request and judges what the caller gets.
func (s *soak) requestStream(client *http.Client, node int) {
	id := fmt.Sprint("soak-", s.requests.Add(1))
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+s.nodes[node].settings.CallerAddress+"/lm/x", strings.NewReader("body"))
	if err != nil {
		s.violate("%s: %v", id, err)
		return
	}
	r.Host = "h.example"
	r.Header.Set("X-Moorrun-Attempt-Id", id)
	r.Header.Set("X-Moorrun-Model", "m")
	r.Header.Set("Authorization", "Bearer key-1")
	s.nodeLocks[node].RLock()
	s.nodeLocks[node].RUnlock() //nolint:staticcheck // waits until the node has been started again
	answer, err := client.Do(r)
	if err != nil {
		s.judgeUnanswered(id, err)
		return
	}
	defer answer.Body.Close() //nolint:errcheck // the body is read to its end
	body, err := io.ReadAll(bufio.NewReader(answer.Body))
	switch {
	case err != nil:
		s.violate("%s: %d bytes, then %v", id, len(body), err)
	case answer.StatusCode == http.StatusOK:
		s.judgeWhole(id, string(body))
	case answer.StatusCode == http.StatusServiceUnavailable:
		s.judgeRefused(id, answer.Header)
	default:
		s.violate("%s: status %d: %s", id, answer.StatusCode, body)
	}
}

// judgeUnanswered judges a request whose connection ended without an answer: no endpoint may have run it.
func (s *soak) judgeUnanswered(id string, err error) {
	if runs := len(s.platform.Runs(id)); runs > 0 {
		s.violate("%s: ran %d times and got no answer: %v", id, runs, err)
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		s.violate("%s: %v", id, err)
		return
	}
	s.count(&s.unread)
}

func (s *soak) judgeWhole(id, body string) {
	var want strings.Builder
	for i := range estate.EventsPerStream {
		fmt.Fprintf(&want, "id: %d\ndata: %s\n\n", i+1, id)
	}
	if body != want.String() {
		s.violate("%s: not the whole answer: %q", id, body)
		return
	}
	s.count(&s.whole)
}

func (s *soak) judgeRefused(id string, h http.Header) {
	if runs := len(s.platform.Runs(id)); runs > 0 {
		s.violate("%s: refused as not run, but ran %d times", id, runs)
		return
	}
	if h.Get("Retry-After") == "" {
		s.violate("%s: refused without word when to come back", id)
		return
	}
	s.count(&s.refused)
}

func (s *soak) count(n *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n++
}

func (s *soak) violate(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}
