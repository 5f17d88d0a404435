package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Change is one difference between two sets.
type Change struct {
	Part  string `json:"part"`
	Field string `json:"field"`
	From  string `json:"from,omitempty"` // JSON; empty if the field is added
	To    string `json:"to,omitempty"`   // JSON; empty if the field is removed
}

// String returns the change on one line.
func (c Change) String() string {
	switch {
	case c.From == "":
		return fmt.Sprintf("+ %s%s %s", c.Part, c.Field, c.To)
	case c.To == "":
		return fmt.Sprintf("- %s%s %s", c.Part, c.Field, c.From)
	default:
		return fmt.Sprintf("~ %s%s %s -> %s", c.Part, c.Field, c.From, c.To)
	}
}

// Diff returns the changes from one set to another, ordered by part name.
func Diff(from, to Set) []Change {
	names := make(map[string]bool)
	for n := range from {
		names[n] = true
	}
	for n := range to {
		names[n] = true
	}
	var out []Change
	for _, n := range slices.Sorted(maps.Keys(names)) {
		a, inFrom := from[n]
		b, inTo := to[n]
		switch {
		case !inFrom:
			out = append(out, Change{Part: n, To: string(b.Content())})
		case !inTo:
			out = append(out, Change{Part: n, From: string(a.Content())})
		default:
			diffValue(&out, n, "", decode(a.Content()), decode(b.Content()))
		}
	}
	return out
}

func decode(raw json.RawMessage) any {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		return nil
	}
	return v
}

func encode(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(b)
}

func diffValue(out *[]Change, part, field string, a, b any) {
	if reflect.DeepEqual(a, b) {
		return
	}
	aMap, aIsMap := a.(map[string]any)
	bMap, bIsMap := b.(map[string]any)
	if aIsMap && bIsMap {
		diffMap(out, part, field, aMap, bMap)
		return
	}
	aList, aIsList := a.([]any)
	bList, bIsList := b.([]any)
	if aIsList && bIsList && len(aList) == len(bList) {
		for i := range aList {
			diffValue(out, part, fmt.Sprintf("%s/%d", field, i), aList[i], bList[i])
		}
		return
	}
	*out = append(*out, Change{part, field, encode(a), encode(b)})
}

func diffMap(out *[]Change, part, field string, a, b map[string]any) {
	for _, k := range sortedKeys(a) {
		if _, ok := b[k]; !ok {
			*out = append(*out, Change{Part: part, Field: field + "/" + k, From: encode(a[k])})
			continue
		}
		diffValue(out, part, field+"/"+k, a[k], b[k])
	}
	for _, k := range sortedKeys(b) {
		if _, ok := a[k]; !ok {
			*out = append(*out, Change{Part: part, Field: field + "/" + k, To: encode(b[k])})
		}
	}
}
