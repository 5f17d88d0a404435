package cmd

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/spf13/pflag"
)

func TestEmptyTokenFileIsNamed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "token")
	flags := pflag.NewFlagSet("test", pflag.ContinueOnError)
	flags.String("token-file", file, "")
	client := func(content string) (*Client, error) {
		qt.Assert(t, os.WriteFile(file, []byte(content), 0o600), qt.IsNil)
		return newClient(flags)
	}
	_, err := client("\n")
	qt.Assert(t, err, qt.ErrorMatches, ".*"+file+" is empty; write the operator's credential into it.*")
	c, err := client("secret\n")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, c.token, qt.Equals, "secret")
}
