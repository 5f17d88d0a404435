package cmd

import (
	"encoding/json"
	"os"
	"path/filepath"

	"moorrun.dev/moorrun/internal/config"
	"moorrun.dev/moorrun/internal/exitcode"
)

// readFiles reads one file, or the .json files of a directory, checks each against the schema and parses them as a set.
func readFiles(path string) (map[string]json.RawMessage, config.Set, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, nil, exitcode.New(exitcode.Usage, "%w", err)
	}
	names := []string{path}
	if info.IsDir() {
		if names, err = filepath.Glob(filepath.Join(path, "*.json")); err != nil {
			return nil, nil, err
		}
	}
	if len(names) == 0 {
		return nil, nil, exitcode.New(exitcode.Usage, "%s holds no .json file", path)
	}
	raw := make(map[string][]byte, len(names))
	files := make(map[string]json.RawMessage, len(names))
	for _, name := range names {
		content, err := os.ReadFile(name) //nolint:gosec // the operator names the file
		if err != nil {
			return nil, nil, err
		}
		raw[name], files[name] = content, content
	}
	set, problems := config.ParseSet(raw)
	if problems != nil {
		return nil, nil, problems
	}
	return files, set, nil
}
