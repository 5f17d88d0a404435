package cmd

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/pflag"

	"moorrun.dev/moorrun/internal/adminapi"
)

const (
	ownerFileMode = 0o600
	ownerDirMode  = 0o700
)

var cmdGet = &Command{
	Name: "get", Desc: "print the accepted configuration, or write it to a directory", NArgs: 0,
	Flags: func(f *pflag.FlagSet) { f.String("into", "", "directory to write one file a part to") },
	Action: func(e *Env, _ []string) error {
		var c adminapi.Configuration
		if err := e.Client.get(adminapi.PathConfiguration, &c); err != nil {
			return err
		}
		into := e.stringFlag("into")
		if into == "" {
			return e.printJSON(c)
		}
		if err := os.MkdirAll(into, ownerDirMode); err != nil {
			return err
		}
		for name, content := range c.Parts {
			var pretty bytes.Buffer
			if err := json.Indent(&pretty, content, "", "  "); err != nil {
				return err
			}
			file := filepath.Join(into, strings.ReplaceAll(name, "/", "-")+".json")
			if err := os.WriteFile(file, append(pretty.Bytes(), '\n'), ownerFileMode); err != nil {
				return err
			}
		}
		e.printf("%d parts of revision %d\n", len(c.Parts), c.Revision)
		return nil
	},
}

func (e *Env) printJSON(v any) error {
	enc := json.NewEncoder(e.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
