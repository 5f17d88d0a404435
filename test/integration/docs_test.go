package integration

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/lab"
)

var documented = regexp.MustCompile("(?m)`moorrun ([^`]+)`|^(?:    |\\$ )moorrun ([a-z][^#\\n]*)")

// TestDocumentedCommandsRun runs every moorrun command that the pages show, with names that exist here.
func TestDocumentedCommandsRun(t *testing.T) {
	f := newFleet(t)
	const operation = "11111111-1111-1111-1111-111111111111"
	f.Assert(f.CLI("apply", f.edit("workspace-gifts.json", `"latency_ms": 1000`, `"latency_ms": 900`), "--operation", operation).Code, qt.Equals, 0)
	into := t.TempDir()
	names := strings.NewReplacer(
		"operation ID", "operation "+operation, "--operation ID", "", "PATH", f.ConfigDir, "my-files", f.ConfigDir, "examples/gjafabru", f.ConfigDir,
		"--remove workspace/NAME", "", "NAME", "rvk-1-a-9", "DIR", into, "< operator.token", "", "SHELL", "bash",
	)
	seen := 0
	for _, page := range []string{"README.md", "docs/OPERATIONS.md", "docs/INSTALL.md", "docs/API.md"} {
		content, err := os.ReadFile(filepath.Join("..", "..", page))
		f.Assert(err, qt.IsNil)
		for _, match := range documented.FindAllStringSubmatch(string(content), -1) {
			command := strings.TrimSpace(match[1] + match[2])
			seen++
			if strings.HasPrefix(command, "hash") {
				continue // it reads a token from standard input
			}
			out := f.CLIAs(lab.OperatorToken, strings.Fields(names.Replace(command))...)
			f.Check(out.Code, qt.Equals, 0, qt.Commentf("%s: moorrun %s\n%s%s", page, command, out.Stdout, out.Stderr))
		}
	}
	f.Check(seen > 10, qt.IsTrue, qt.Commentf("%d commands found", seen))
}
