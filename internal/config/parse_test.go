package config_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"moorrun.dev/moorrun/internal/config"
)

func exampleFiles(t testing.TB, name string) map[string][]byte {
	files := make(map[string][]byte)
	paths, err := filepath.Glob(filepath.Join("..", "..", "examples", name, "*.json"))
	qt.Assert(t, err, qt.IsNil)
	for _, p := range paths {
		files[filepath.Base(p)], err = os.ReadFile(p)
		qt.Assert(t, err, qt.IsNil)
	}
	return files
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"gjafabru", "ikenga"} {
		set, problems := config.ParseSet(exampleFiles(t, name))
		qt.Assert(t, problems, qt.HasLen, 0)
		qt.Assert(t, set.Validate(), qt.HasLen, 0)
	}
}

func TestEveryProblemNamesFileFieldAndRemedy(t *testing.T) {
	cases := []struct{ name, content, field, message string }{
		{"no JSON", `{"kind": `, "/", "mend the syntax"},
		{"unknown field", `{"kind":"workspace","name":"w","modles":[]}`, "/", "additional properties 'modles' not allowed"},
		{"wrong type", `{"kind":"workspace","name":3}`, "/name", "got number, want string"},
		{"too few VMs", `{"kind":"workspace","name":"w","models":[{"name":"m","version":"1","vms_per_replica":2,"places_per_replica":1,"replicas":{"min":0,"max":1}}]}`, "/models/0/vms_per_replica", "minimum"},
		{"unknown kind", `{"kind":"team"}`, "/kind", "one of"},
		{"token in clear", `{"kind":"workspace","name":"w","callers":[{"name":"c","token_sha256":"secret"}]}`, "/callers/0/token_sha256", "does not match pattern"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, problems := config.ParsePart("w.json", []byte(c.content))
			qt.Assert(t, problems, qt.HasLen, 1)
			qt.Check(t, problems[0].File, qt.Equals, "w.json")
			qt.Check(t, problems[0].Field, qt.Equals, c.field)
			qt.Check(t, problems[0].Message, qt.Contains, c.message)
		})
	}
}

func TestReferencesBetweenFilesAreChecked(t *testing.T) {
	files := exampleFiles(t, "gjafabru")
	delete(files, "workspace-gifts.json")
	files["twice.json"] = []byte(`{"kind":"workspace","name":"extra","models":[{"name":"letters-70b","version":"1","vms_per_replica":4,"places_per_replica":1,"replicas":{"min":2,"max":1}}]}`)
	set, problems := config.ParseSet(files)
	qt.Assert(t, problems, qt.HasLen, 0)
	text := set.Validate().Error()
	qt.Check(t, text, qt.Contains, `/shares/2/workspace: workspace "gifts" is not declared`)
	qt.Check(t, text, qt.Contains, `workspace "extra" has no share`)
	qt.Check(t, text, qt.Contains, `model "letters-70b" is declared already`)
	qt.Check(t, text, qt.Contains, "min 2 is above max 1")
}

func TestDiffNamesWhatChanged(t *testing.T) {
	from, _ := config.ParseSet(exampleFiles(t, "gjafabru"))
	part := from["workspace/pledges"]
	changed := *part.Workspace
	changed.Models = append([]config.Model{}, changed.Models...)
	changed.Models[0].Version = "2"
	to := from.Merge(config.Set{"workspace/pledges": {Workspace: &changed}}, []string{"workspace/gifts"})
	changes := config.Diff(from, to)
	qt.Assert(t, changes, qt.HasLen, 2)
	qt.Check(t, changes[0].Part, qt.Equals, "workspace/gifts")
	qt.Check(t, changes[1].String(), qt.Equals, `~ workspace/pledges/models/0/version "1" -> "2"`)
}

func FuzzParsePart(f *testing.F) {
	for _, content := range exampleFiles(f, "gjafabru") {
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		part, problems := config.ParsePart("f.json", content)
		if problems != nil {
			return
		}
		again, problems := config.ParsePart("f.json", part.Content())
		if problems != nil || again.Hash() != part.Hash() {
			t.Fatalf("%s differs after parsing its canonical form: %v", content, problems)
		}
		if !json.Valid(part.Content()) {
			t.Fatal("the canonical form is not valid JSON")
		}
	})
}
