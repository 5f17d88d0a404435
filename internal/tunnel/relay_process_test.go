package tunnel_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/tunnel"
)

// relayEnv makes the test program run as a node that carries tunnels for others, in a process of its own.
const relayEnv = "MOORRUN_TEST_RELAY"

func TestMain(m *testing.M) {
	if os.Getenv(relayEnv) != "" {
		runRelay()
		return
	}
	os.Exit(m.Run())
}

// runRelay prints the address at which the node listens, and serves until SIGTERM. It then exits without waiting for its tunnels.
func runRelay() {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	tunnels, _, run := tunnel.Split(lis, func(net.Addr, error) {})
	s := &tunnel.Server{Dial: dialTCP, ReachesOthers: func(context.Context, string) bool { return true }, OnTunnel: func() {}, OnEnd: func(tunnel.End) {}, OnRejected: func(net.Addr, error) {}}
	go func() { _ = run(ctx) }()
	go func() { _ = s.Serve(ctx, tunnels) }()
	fmt.Println(lis.Addr())
	<-ctx.Done()
}

// startRelay starts a node in a process of its own and returns its address.
func startRelay(t *testing.T) (address string, process *exec.Cmd) {
	t.Helper()
	self, err := os.Executable()
	qt.Assert(t, err, qt.IsNil)
	process = exec.Command(self) //nolint:gosec // this program itself
	process.Env = append(os.Environ(), relayEnv+"=1")
	out, err := process.StdoutPipe()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, process.Start(), qt.IsNil)
	t.Cleanup(func() { _ = process.Process.Kill(); _ = process.Wait() })
	line, err := bufio.NewReader(out).ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	return strings.TrimSpace(line), process
}

// openRaw opens a tunnel as nodes of earlier versions do.
func openRaw(t testing.TB, node, endpoint string) net.Conn {
	t.Helper()
	c, err := dialTCP(context.Background(), node)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "%s{\"address\":%q,\"timeout_ns\":1000000000}\n", tunnel.Prefix, endpoint)
	qt.Assert(t, err, qt.IsNil)
	const want = `{"result":"connected"}` + "\n"
	got := make([]byte, len(want))
	_, err = io.ReadFull(c, got)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got), qt.Equals, want)
	return c
}

// relayDeaths are the ways in which the process of a relaying node ends within an answer.
var relayDeaths = []struct {
	name string
	end  func(p *os.Process)
}{
	{"killed", func(p *os.Process) { _ = p.Kill() }},
	{"grace period over", func(p *os.Process) { _ = p.Signal(syscall.SIGTERM) }},
	{"frozen, then killed", func(p *os.Process) {
		_ = p.Signal(syscall.SIGSTOP)
		time.Sleep(50 * time.Millisecond)
		_ = p.Kill()
	}},
}

// Guards against a part of an answer without a length that is taken for the whole of it, because the process of the node that
// relays it has ended: its kernel then ends the connection between the nodes.
func TestAnswerIsNotCompleteWhenTheRelayingProcessEnds(t *testing.T) {
	const part = "half of an ans"
	for _, death := range relayDeaths {
		for _, version := range []string{"this", "earlier"} {
			t.Run(death.name+", dialed by "+version+" version", func(t *testing.T) {
				endpoint := endpointThat(t, func(c *net.TCPConn) {
					_, _ = c.Write([]byte(part))
					_, _ = c.Read(make([]byte, 1)) // until the relay is gone
				})
				address, process := startRelay(t)
				var c net.Conn
				if version == "this" {
					through, err := open(t, address, endpoint)
					qt.Assert(t, err, qt.IsNil)
					defer through.Close() //nolint:errcheck // the test ends
					c = through
				} else {
					c = openRaw(t, address, endpoint)
				}
				got := make([]byte, len(part))
				_, err := io.ReadFull(c, got)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, string(got), qt.Equals, part)
				death.end(process.Process)
				_ = c.SetReadDeadline(time.Now().Add(waitLimit))
				rest, err := io.ReadAll(c)
				qt.Check(t, rest, qt.HasLen, 0)
				qt.Check(t, err, qt.IsNotNil, qt.Commentf("the part looks complete"))
				qt.Check(t, errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse)
			})
		}
	}
}

// Guards against cutting nodes of an earlier version off from endpoints that they reach through this one only.
func TestNodeOfAnEarlierVersionGetsWholeAnswers(t *testing.T) {
	const answer = "a whole answer"
	endpoint := endpointThat(t, func(c *net.TCPConn) {
		_, _ = c.Write([]byte(answer))
		_ = c.Close()
	})
	node, _ := serve(t, dialTCP, true)
	got, err := io.ReadAll(openRaw(t, node, endpoint))
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(got), qt.Equals, answer)
}
