package gateway

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// startingDaemon is a process that has not read its settings yet: their file is a pipe.
type startingDaemon struct {
	t              *testing.T
	file           string   // path of the pipe
	settings       *os.File // the pipe, once the process has opened it too
	command        *exec.Cmd
	stdout, stderr *bufio.Reader
}

// Guards against a SIGHUP that ends a process which has not read its settings yet.
func TestReloadDuringTheStartKeepsTheProcess(t *testing.T) {
	for _, c := range []struct {
		name  string
		await func(d *startingDaemon)
	}{
		{"before main", func(d *startingDaemon) { d.awaitLine(d.stderr, "init net/http @") }},
		{"before the settings are read", func(d *startingDaemon) { d.openSettings() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := startDaemon(t, startWithDefaults)
			c.await(d)
			qt.Assert(t, d.command.Process.Signal(syscall.SIGHUP), qt.IsNil)
			d.writeSettings()
			d.awaitLine(d.stdout, `"msg":"settings reloaded"`)
			qt.Assert(t, d.command.Process.Signal(syscall.SIGTERM), qt.IsNil)
			qt.Check(t, d.command.Wait(), qt.IsNil)
		})
	}
}

// Guards against a SIGHUP that ends a process before the program has begun, where the parent ignores the signal, and against a process that
// goes on ignoring it.
func TestReloadAsSoonAsTheProcessIsStarted(t *testing.T) {
	d := startDaemon(t, startIgnoringHangups)
	qt.Assert(t, d.command.Process.Signal(syscall.SIGHUP), qt.IsNil)
	d.writeSettings()
	d.awaitLine(d.stdout, `"msg":"started"`)
	qt.Assert(t, d.command.Process.Signal(syscall.SIGHUP), qt.IsNil)
	d.awaitLine(d.stdout, `"msg":"settings reloaded"`)
	qt.Assert(t, d.command.Process.Signal(syscall.SIGTERM), qt.IsNil)
	qt.Check(t, d.command.Wait(), qt.IsNil)
}

func startDaemon(t *testing.T, start func(*exec.Cmd) error) *startingDaemon {
	t.Helper()
	d := &startingDaemon{t: t, file: filepath.Join(t.TempDir(), "settings.json")}
	qt.Assert(t, syscall.Mkfifo(d.file, 0o600), qt.IsNil)
	d.command = exec.Command(daemonPath, "gateway", "--settings", d.file)
	d.command.Env = append(os.Environ(), "GODEBUG=inittrace=1") // writes a line to stderr for each initialized package
	d.stdout, d.stderr = d.pipe(d.command.StdoutPipe()), d.pipe(d.command.StderrPipe())
	qt.Assert(t, start(d.command), qt.IsNil)
	t.Cleanup(func() { _ = d.command.Process.Kill(); _ = d.command.Wait() })
	return d
}

func (d *startingDaemon) pipe(r io.ReadCloser, err error) *bufio.Reader {
	qt.Assert(d.t, err, qt.IsNil)
	return bufio.NewReader(r)
}

// awaitLine reads lines up to one that contains the text.
func (d *startingDaemon) awaitLine(r *bufio.Reader, text string) {
	d.t.Helper()
	timeout := time.AfterFunc(waitTimeout, func() { _ = d.command.Process.Kill() })
	defer timeout.Stop()
	for {
		line, err := r.ReadString('\n')
		qt.Assert(d.t, err, qt.IsNil, qt.Commentf("no line with %s", text))
		if strings.Contains(line, text) {
			return
		}
	}
}

// openSettings opens the pipe, which works once the process reads it.
func (d *startingDaemon) openSettings() {
	d.t.Helper()
	for deadline := time.Now().Add(waitTimeout); d.settings == nil; time.Sleep(time.Millisecond) {
		pipe, err := os.OpenFile(d.file, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err == nil {
			d.settings = pipe
			return
		}
		qt.Assert(d.t, errors.Is(err, syscall.ENXIO), qt.IsTrue, qt.Commentf("%v", err))
		qt.Assert(d.t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the process does not read its settings"))
	}
}

// writeSettings writes the settings to the pipe, and to a file in its place for the reload.
func (d *startingDaemon) writeSettings() {
	d.t.Helper()
	d.openSettings()
	raw, err := json.Marshal(newSettings(d.t, "vm-0", freeAddresses(d.t, 1)[0]))
	qt.Assert(d.t, err, qt.IsNil)
	qt.Assert(d.t, os.WriteFile(d.file+".new", raw, 0o600), qt.IsNil)
	qt.Assert(d.t, os.Rename(d.file+".new", d.file), qt.IsNil)
	_, err = d.settings.Write(raw)
	qt.Assert(d.t, err, qt.IsNil)
	qt.Assert(d.t, d.settings.Close(), qt.IsNil)
}
