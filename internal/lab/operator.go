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

// Output is how a run of the command line ended.
type Output struct {
	Stdout, Stderr string
	Code           int
}

// CLI runs moorrun as the pool's operator against the running nodes.
func (l *Lab) CLI(args ...string) Output { return l.CLIAs(OperatorToken, args...) }

// CLIAs runs moorrun with a credential.
func (l *Lab) CLIAs(token string, args ...string) Output {
	var addresses []string
	for _, n := range l.Nodes() {
		addresses = append(addresses, n.Settings.AdminAddress)
	}
	return l.CLIAt(token, addresses, args...)
}

// CLIAt runs moorrun with a credential against certain administration addresses.
func (l *Lab) CLIAt(token string, addresses []string, args ...string) Output {
	file, err := l.tokenFile(token)
	if err != nil {
		return Output{Stderr: err.Error(), Code: -1}
	}
	k := exec.Command(filepath.Join(l.BinDir, "moorrun"), args...) //nolint:gosec // our own program
	k.Env = append(os.Environ(), "MOORRUN_NODES="+strings.Join(addresses, ","), "MOORRUN_TOKEN_FILE="+file)
	var stdout, stderr bytes.Buffer
	k.Stdout, k.Stderr = &stdout, &stderr
	err = k.Run()
	out := Output{Stdout: stdout.String(), Stderr: stderr.String()}
	var exited *exec.ExitError
	if errors.As(err, &exited) {
		out.Code = exited.ExitCode()
	} else if err != nil {
		out.Code, out.Stderr = -1, err.Error()
	}
	return out
}

// tokenFile writes a credential's file and returns its path. Another program may be reading it, so it is renamed into its place.
func (l *Lab) tokenFile(token string) (string, error) {
	file := filepath.Join(l.Dir, token+".token")
	whole, err := os.CreateTemp(l.Dir, "token")
	if err != nil {
		return "", err
	}
	_, err = whole.WriteString(token + "\n")
	if err := errors.Join(err, whole.Close()); err != nil {
		return "", err
	}
	return file, os.Rename(whole.Name(), file)
}

// Status returns what the nodes say, asking one after the other.
func (l *Lab) Status() (adminapi.Status, error) {
	var s adminapi.Status
	out := l.CLI("status", "--output", "json")
	if out.Code != 0 {
		return s, errors.New(out.Stderr)
	}
	return s, json.Unmarshal([]byte(out.Stdout), &s)
}

// WaitUntil waits until ok returns true.
func WaitUntil(limit time.Duration, what string, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("not within %s: %s", limit, what)
}

// WaitForUsableGroups waits until that many replica groups may be used.
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
