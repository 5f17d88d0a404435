package tunnel_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
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

// The values of relayEnv: the version of the node.
const (
	thisVersion    = "this"
	earlierVersion = "earlier"
)

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
	fmt.Println(lis.Addr())
	if os.Getenv(relayEnv) == earlierVersion {
		go serveEarlierVersion(lis)
		<-ctx.Done()
		return
	}
	tunnels, _, run := tunnel.Split(lis, func(net.Addr, error) {})
	s := &tunnel.Server{Dial: dialTCP, ReachesOthers: func(context.Context, string) bool { return true }, OnTunnel: func() {}, OnEnd: func(tunnel.End) {}, OnRejected: func(net.Addr, error) {}}
	go func() { _ = run(ctx) }()
	go func() { _ = s.Serve(ctx, tunnels) }()
	<-ctx.Done()
}

// serveEarlierVersion carries tunnels as nodes of earlier versions do: bytes pass unchanged, and the end of the endpoint's connection
// arrives as the end of the tunnel.
func serveEarlierVersion(lis net.Listener) {
	for {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close() //nolint:errcheck // the tunnel is over
			in := bufio.NewReader(c)
			line, err := in.ReadBytes('\n')
			if err != nil {
				return
			}
			var r struct{ Address string }
			_ = json.Unmarshal(bytes.TrimPrefix(line, []byte(tunnel.Prefix)), &r)
			endpoint, err := dialTCP(context.Background(), r.Address)
			if err != nil {
				_, _ = io.WriteString(c, `{"result":"failed"}`+"\n")
				return
			}
			defer endpoint.Close() //nolint:errcheck // the tunnel is over
			_, _ = io.WriteString(c, `{"result":"connected"}`+"\n")
			go func() { _, _ = io.Copy(endpoint, in) }()
			_, _ = io.Copy(c, endpoint)
		}()
	}
}

// startRelay starts a node of a version in a process of its own and returns its address.
func startRelay(t *testing.T, version string) (address string, process *exec.Cmd) {
	t.Helper()
	self, err := os.Executable()
	qt.Assert(t, err, qt.IsNil)
	process = exec.Command(self) //nolint:gosec // this program itself
	process.Env = append(os.Environ(), relayEnv+"="+version)
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
	versions := []struct{ dials, carries string }{{thisVersion, thisVersion}, {thisVersion, earlierVersion}, {earlierVersion, thisVersion}}
	for _, death := range relayDeaths {
		for _, v := range versions {
			t.Run(fmt.Sprintf("%s, dialed by %s version, carried by %s version", death.name, v.dials, v.carries), func(t *testing.T) {
				endpoint := endpointThat(t, func(c *net.TCPConn) {
					_, _ = c.Write([]byte(part))
					_, _ = c.Read(make([]byte, 1)) // until the relay is gone
				})
				address, process := startRelay(t, v.carries)
				var c net.Conn
				if v.dials == thisVersion {
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

// Guards against cutting a node off from endpoints that it reaches through a node of another version only.
func TestWholeAnswersPassBetweenVersions(t *testing.T) {
	const answer = "a whole answer"
	endpoint := func() string {
		return endpointThat(t, func(c *net.TCPConn) {
			_, _ = c.Write([]byte(answer))
			_ = c.Close()
		})
	}
	t.Run("dialed by earlier version", func(t *testing.T) {
		node, _ := serve(t, dialTCP, true)
		got, err := io.ReadAll(openRaw(t, node, endpoint()))
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, string(got), qt.Equals, answer)
	})
	t.Run("carried by earlier version", func(t *testing.T) {
		node, _ := startRelay(t, earlierVersion)
		c, err := open(t, node, endpoint())
		qt.Assert(t, err, qt.IsNil)
		defer c.Close() //nolint:errcheck // the test ends
		got, err := io.ReadAll(c)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, string(got), qt.Equals, answer)
	})
}
