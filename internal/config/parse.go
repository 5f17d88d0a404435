package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

//go:embed schema.json
var schemaJSON []byte

const schemaName = "moorrun.json"

var schema = sync.OnceValue(func() *jsonschema.Schema {
	return CompileSchema(schemaName, schemaJSON)
})

// CompileSchema compiles an embedded JSON schema. It panics if the schema is invalid.
func CompileSchema(name string, source []byte) *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(source))
	if err != nil {
		panic("config: schema is not JSON: " + err.Error())
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, doc); err != nil {
		panic("config: schema: " + err.Error())
	}
	return c.MustCompile(name)
}

// ParsePart validates one file against the schema and decodes it.
func ParsePart(file string, content []byte) (Part, Problems) {
	if problems := CheckSchema(schema(), file, content); problems != nil {
		return Part{}, problems
	}
	var head struct{ Kind Kind }
	_ = json.Unmarshal(content, &head) // valid, since the schema was checked
	p := Part{File: file}
	var into any
	switch head.Kind {
	case KindPool:
		p.Pool = &Pool{}
		into = p.Pool
	case KindDataCentre:
		p.DataCentre = &DataCentre{}
		into = p.DataCentre
	default:
		p.Workspace = &Workspace{}
		into = p.Workspace
	}
	if err := json.Unmarshal(content, into); err != nil {
		return Part{}, Problems{{file, "/", err.Error()}}
	}
	return p, nil
}

// CheckSchema returns all violations of the schema in content.
func CheckSchema(s *jsonschema.Schema, file string, content []byte) Problems {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(content))
	if err != nil {
		return Problems{{file, "/", "not JSON: " + err.Error() + "; mend the syntax"}}
	}
	err = s.Validate(doc)
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return nil
	}
	var out Problems
	collectProblems(&out, file, invalid)
	return out
}

func collectProblems(out *Problems, file string, e *jsonschema.ValidationError) {
	if len(e.Causes) == 0 {
		text := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		*out = append(*out, Problem{file, "/" + strings.Join(e.InstanceLocation, "/"), text})
		return
	}
	for _, cause := range e.Causes {
		collectProblems(out, file, cause)
	}
}

// ParseSet parses all files. It returns the problems of all files together, including parts that two files declare.
func ParseSet(files map[string][]byte) (Set, Problems) {
	set := make(Set, len(files))
	var problems Problems
	for _, name := range sortedKeys(files) {
		part, partProblems := ParsePart(name, files[name])
		if partProblems != nil {
			problems = append(problems, partProblems...)
			continue
		}
		if other, taken := set[part.Name()]; taken {
			problems = append(problems, Problem{name, "/", fmt.Sprintf("%s is declared in %s too; keep one", part.Name(), other.File)})
			continue
		}
		set[part.Name()] = part
	}
	if problems != nil {
		return nil, problems
	}
	return set, nil
}
