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

var commandPattern = regexp.MustCompile("(?m)`moorrun ([^`]+)`|^(?:    |\\$ )moorrun ([a-z][^#\\n]*)")

// Runs every moorrun command shown in the documentation, with its placeholders replaced by names that exist in
// the test fleet.
func TestDocumentedCommandsRun(t *testing.T) {
	f := newFleet(t)
	const operation = "11111111-1111-1111-1111-111111111111"
	f.Assert(f.CLI("apply", f.editedCopy("workspace-gifts.json", `"latency_ms": 1000`, `"latency_ms": 900`), "--operation", operation).Code, qt.Equals, 0)
	tempDir := t.TempDir()
	placeholders := strings.NewReplacer(
		"operation ID", "operation "+operation, "--operation ID", "", "PATH", f.ConfigDir, "my-files", f.ConfigDir, "examples/gjafabru", f.ConfigDir,
		"--remove workspace/NAME", "", "NAME", "rvk-1-a-9", "DIR", tempDir, "< operator.token", "", "SHELL", "bash",
	)
	found := 0
	for _, page := range []string{"README.md", "docs/OPERATIONS.md", "docs/INSTALL.md", "docs/API.md"} {
		content, err := os.ReadFile(filepath.Join("..", "..", page))
		f.Assert(err, qt.IsNil)
		for _, match := range commandPattern.FindAllStringSubmatch(string(content), -1) {
			command := strings.TrimSpace(match[1] + match[2])
			found++
			if strings.HasPrefix(command, "hash") {
				continue // reads a token from standard input
			}
			out := f.CLIAs(lab.OperatorToken, strings.Fields(placeholders.Replace(command))...)
			f.Check(out.Code, qt.Equals, 0, qt.Commentf("%s: moorrun %s\n%s%s", page, command, out.Stdout, out.Stderr))
		}
	}
	f.Check(found > 10, qt.IsTrue, qt.Commentf("found only %d commands", found))
}
