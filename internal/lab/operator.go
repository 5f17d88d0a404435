package lab

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"moorrun.dev/moorrun/internal/adminapi"
)

// Output is the result of a run of moorrun. Code is -1 if moorrun could not be run.
type Output struct {
	Stdout, Stderr string
	Code           int
}

// CLI runs moorrun with the credential of the pool operator against the running nodes.
func (l *Lab) CLI(args ...string) Output { return l.CLIAs(OperatorToken, args...) }

// CLIAs runs moorrun with the given credential against the running nodes.
func (l *Lab) CLIAs(token string, args ...string) Output {
	var addresses []string
	for _, n := range l.Nodes() {
		addresses = append(addresses, n.Settings.AdminAddress)
	}
	return l.CLIAt(token, addresses, args...)
}

// CLIAt runs moorrun with the given credential against the given administration addresses.
func (l *Lab) CLIAt(token string, addresses []string, args ...string) Output {
	file, err := l.tokenFile(token)
	if err != nil {
		return Output{Stderr: err.Error(), Code: -1}
	}
	cmd := exec.Command(filepath.Join(l.BinDir, "moorrun"), args...) //nolint:gosec // our own program
	cmd.Env = append(os.Environ(), "MOORRUN_NODES="+strings.Join(addresses, ","), "MOORRUN_TOKEN_FILE="+file)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err = cmd.Run()
	out := Output{Stdout: stdout.String(), Stderr: stderr.String()}
	var exited *exec.ExitError
	if errors.As(err, &exited) {
		out.Code = exited.ExitCode()
	} else if err != nil {
		out.Code, out.Stderr = -1, err.Error()
	}
	return out
}

// tokenFile writes a credential to a file and returns its path. It renames a temporary file, because another program may
// be reading the file.
func (l *Lab) tokenFile(token string) (string, error) {
	file := filepath.Join(l.Dir, token+".token")
	temporary, err := os.CreateTemp(l.Dir, "token")
	if err != nil {
		return "", err
	}
	_, err = temporary.WriteString(token + "\n")
	if err := errors.Join(err, temporary.Close()); err != nil {
		return "", err
	}
	return file, os.Rename(temporary.Name(), file)
}

// Status returns the status reported by the first node that answers.
func (l *Lab) Status() (adminapi.Status, error) {
	var s adminapi.Status
	out := l.CLI("status", "--output", "json")
	if out.Code != 0 {
		return s, errors.New(out.Stderr)
	}
	return s, json.Unmarshal([]byte(out.Stdout), &s)
}

// WaitUntil polls ok until it returns true or the limit has passed.
func WaitUntil(limit time.Duration, what string, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("timed out after %s waiting for %s", limit, what)
}

// WaitForUsableGroups waits until at least n replica groups are usable.
func (l *Lab) WaitForUsableGroups(n int, limit time.Duration) error {
	return WaitUntil(limit, fmt.Sprintf("%d usable replica groups", n), func() bool {
		s, err := l.Status()
		if err != nil {
			return false
		}
		usable := 0
		for _, g := range s.Groups {
			if g.Usable {
				usable++
			}
		}
		return usable >= n
	})
}
