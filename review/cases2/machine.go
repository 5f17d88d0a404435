package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// machine is one entry VM with a moorrund process.
type machine struct {
	name    string
	host    string // its loopback host
	front   string // for clients
	ready   string // for the readiness check
	dir     string
	program string
	command *exec.Cmd
	exited  chan error
}

// hosts numbers the loopback hosts of this run.
var hosts atomic.Int32

// newHost returns a loopback host that nothing else of this run uses.
func newHost() string { return fmt.Sprintf("127.%d.%d.1", 20+os.Getpid()%200, hosts.Add(1)) }

// freePort returns an address on a host with a port that is free.
func freePort(host string) (string, error) {
	lis, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer lis.Close() //nolint:errcheck // only its port is needed
	return lis.Addr().String(), nil
}

// newMachine writes the settings of a machine as deploy/gateway.json.tmpl lays them out.
func newMachine(program, dir, name, store string, first bool, change map[string]any) (*machine, error) {
	host := newHost()
	var free [5]string
	for i := range free {
		address, err := freePort(host)
		if err != nil {
			return nil, err
		}
		free[i] = address
	}
	settings := map[string]any{
		"vm": name, "data_centre": "z1", "region": "r1", "caller_address": free[0], "readiness_address": free[1], "registry_address": free[2],
		"peer_address": free[3], "metrics_address": free[4], "store_address": store, "capacity": 0.4, "first_start": first,
		"endpoint_beat_ms": 1200, "credential_proof_ms": 5000, "stall_ms": 6000, "memory_mb": 284, "grace_ms": 8e3, "address_lifetime_ms": 1000,
		"repeat_ratio": 0.2, "repeat_slack": 103, "repeat_window_ms": 10e3,
	}
	for key, value := range change {
		settings[key] = value
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	m := &machine{name: name, host: host, front: free[0], ready: free[1], dir: dir, program: program}
	return m, os.WriteFile(m.file("json"), text, 0o600)
}

func (m *machine) file(ending string) string { return filepath.Join(m.dir, m.name+"."+ending) }

// start starts the process with the command and the environment of the deploy file.
func (m *machine) start() error {
	log, err := os.OpenFile(m.file("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() //nolint:errcheck // the process has its own descriptor
	m.command = exec.Command(m.program, "gateway")
	m.command.Env = []string{"MOORRUN_CONFIG=" + m.file("json"), "GOGC=60", "PATH=" + os.Getenv("PATH"), "HOME=" + m.dir}
	m.command.Stdout, m.command.Stderr = log, log
	if err := m.command.Start(); err != nil {
		return err
	}
	m.exited = make(chan error, 1)
	go func() { m.exited <- m.command.Wait() }()
	return nil
}

// kill ends the process at once.
func (m *machine) kill() {
	if m.command == nil || m.command.Process == nil || m.exited == nil {
		return
	}
	_ = m.command.Process.Signal(syscall.SIGCONT)
	_ = m.command.Process.Kill()
	<-m.exited //nolint:errcheck // it was killed
	m.exited = nil
}

// isReady asks the readiness check.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + m.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	defer r.Body.Close() //nolint:errcheck // it is empty
	return r.StatusCode == http.StatusOK
}
