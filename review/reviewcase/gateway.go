package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

const (
	callerHost     = "h.example"
	apiKey         = "key-1"
	callerDeadline = 8 * time.Second
	// stopTimeout is how long a gateway may take to end at a signal before it is killed.
	stopTimeout = time.Second
)

// gateway is one machine of the product.
type gateway struct {
	name      string
	caller    string // address for callers
	peer      string // address for other gateways
	registry  string
	readiness string
	settings  map[string]any
	file      string // of the settings
	daemon    string
	maxFiles  int

	command *exec.Cmd
	ended   chan struct{} // closed when the process has ended
}

// newGateway chooses addresses for a gateway. Its settings are those that the template in deploy/ gives on a small deployment.
func newGateway(daemon, dir string, number int, store string, p plan) (*gateway, error) {
	name := fmt.Sprintf("edge-%d", number)
	free, err := freeAddresses(number, 5)
	if err != nil {
		return nil, err
	}
	settings := map[string]any{
		"vm": name, "data_centre": "z1", "region": "r1", "caller_address": free[0], "readiness_address": free[1], "registry_address": free[2],
		"peer_address": free[3], "metrics_address": free[4], "store_address": store, "capacity": 0.4, "endpoint_beat_ms": 1200,
		"credential_proof_ms": 5000, "memory_mb": 284, "grace_ms": 8000, "address_lifetime_ms": 1000, "repeat_ratio": 0.2, "repeat_window_ms": 10000,
	}
	maps.Copy(settings, p.settings)
	return &gateway{
		name: name, caller: free[0], peer: free[3], registry: free[2], readiness: free[1], settings: settings, file: filepath.Join(dir, name+".json"), daemon: daemon, maxFiles: p.maxFiles,
	}, nil
}

// start starts the process; first tells whether the whole system starts for the first time.
func (g *gateway) start(first bool) error {
	g.settings["first_start"] = first
	raw, err := json.Marshal(g.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(g.file, raw, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(g.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()                             //nolint:errcheck // the process has its own descriptor
	g.command = exec.Command(g.daemon, "gateway") //nolint:gosec // the program that is shown
	if g.maxFiles > 0 {
		g.command = exec.Command("/bin/sh", "-c", `ulimit -n "$1" && exec "$0" gateway`, g.daemon, strconv.Itoa(g.maxFiles)) //nolint:gosec // as above
	}
	g.command.Env = []string{"MOORRUN_CONFIG=" + g.file, "GOGC=60", "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	g.command.Stdout, g.command.Stderr = log, log
	if err := g.command.Start(); err != nil {
		return err
	}
	command, ended := g.command, make(chan struct{})
	g.ended = ended
	go func() { _ = command.Wait(); close(ended) }()
	return nil
}

// kill ends the process at once.
func (g *gateway) kill() {
	if g.command != nil && g.command.Process != nil {
		_ = g.command.Process.Kill()
	}
}

// stop ends the process and waits until it has ended.
func (g *gateway) stop() {
	if g.ended == nil {
		return // it has not been started
	}
	_ = g.command.Process.Signal(os.Interrupt)
	select {
	case <-g.ended:
	case <-time.After(stopTimeout):
		g.kill()
		<-g.ended
	}
}

func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + g.readiness + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// answer is what a caller received.
type answer struct {
	attempt string
	status  int
	seal    string
	events  []int // their ids
	err     error // nil if the answer looked complete
}

// end tells how the answer ended.
func (a *answer) end() string {
	if a.err != nil {
		return a.err.Error()
	}
	return "as a complete answer"
}

// isPartAsComplete reports whether a success ended as complete before its last event.
func (a *answer) isPartAsComplete() bool {
	return a.status == http.StatusOK && a.err == nil && (len(a.events) == 0 || a.events[len(a.events)-1] < eventsPerStream)
}

// stream sends a request for a stream and reads the answer; began is called at the third event.
func (g *gateway) stream(attempt string, began func()) *answer {
	a := &answer{attempt: attempt}
	request, err := http.NewRequest(http.MethodPost, "http://"+g.caller+"/lm/2f", bytes.NewReader(make([]byte, 700)))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = callerHost
	for name, value := range map[string]string{
		"X-Moorrun-Attempt-Id": attempt, "X-Moorrun-Model": modelName, "X-Moorrun-Token-Usage": "714,180",
		"X-Moorrun-Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%x:674", attempt), "Authorization": "Bearer " + apiKey,
		"X-Moorrun-Deadline-Ms": strconv.FormatInt(callerDeadline.Milliseconds(), 10),
	} {
		request.Header.Set(name, value)
	}
	client := http.Client{Timeout: callerDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(request)
	if err != nil {
		a.err = err
		return a
	}
	defer res.Body.Close() //nolint:errcheck // only read
	a.status, a.seal = res.StatusCode, res.Header.Get("X-Moorrun-Server-Seal")
	a.read(res.Body, began)
	return a
}

// read reads the events of the answer.
func (a *answer) read(body io.Reader, began func()) {
	in := bufio.NewReader(body)
	for {
		line, err := in.ReadString('\n')
		if errors.Is(err, io.EOF) {
			return // after the last chunk; a broken answer ends with io.ErrUnexpectedEOF
		}
		if err != nil {
			a.err = err
			return
		}
		if id, found := strings.CutPrefix(line, "id: "); found {
			n, _ := strconv.Atoi(strings.TrimSpace(id))
			a.events = append(a.events, n)
			if len(a.events) == 3 {
				began()
			}
		}
	}
}
