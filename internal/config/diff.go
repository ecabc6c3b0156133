package config

import (
	"encoding/json"
	"fmt"

	"redwingspread/internal/model"
)

// Difference is one entry that differs between two documents; Old or New is empty when the entry is missing there.
type Difference struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// Effect is one effective setting that differs between two documents.
type Effect struct {
	Scope   Scope   `json:"scope"` // an empty field stands for every name that no exception mentions
	Setting Setting `json:"setting"`
	Old     string  `json:"old,omitempty"`
	New     string  `json:"new,omitempty"`
}

// Diff returns the differences between the documents; entries are matched by name.
func Diff(before, after Document) []Difference {
	var found []Difference
	appendDifference(&found, "defaults", before.Defaults, after.Defaults)
	diffEntries(&found, "kinds", before.Kinds, after.Kinds, func(k Kind) model.KindID { return k.Name })
	diffEntries(&found, "exceptions", before.Exceptions, after.Exceptions, func(e Exception) Name { return e.Name })
	diffEntries(&found, "tokens", before.Tokens, after.Tokens, func(t Token) Name { return t.Name })
	return found
}

// diffEntries appends the differences between two lists of named entries.
func diffEntries[T any, N ~string](found *[]Difference, path string, before, after []T, name func(T) N) {
	newer := make(map[N]T, len(after))
	for _, entry := range after {
		newer[name(entry)] = entry
	}
	older := make(map[N]bool, len(before))
	for _, entry := range before {
		id := name(entry)
		older[id] = true
		at := fmt.Sprintf("%s.%s", path, id)
		if counterpart, kept := newer[id]; kept {
			appendDifference(found, at, entry, counterpart)
		} else {
			*found = append(*found, Difference{Path: at, Old: jsonText(entry)})
		}
	}
	for _, entry := range after {
		if id := name(entry); !older[id] {
			*found = append(*found, Difference{Path: fmt.Sprintf("%s.%s", path, id), New: jsonText(entry)})
		}
	}
}

// appendDifference appends a difference when the JSON of the two values differs.
func appendDifference[T any](found *[]Difference, path string, before, after T) {
	older, newer := jsonText(before), jsonText(after)
	if older != newer {
		*found = append(*found, Difference{Path: path, Old: older, New: newer})
	}
}

// jsonText returns a value as one line of JSON; the types of a document can always be encoded.
func jsonText[T any](value T) string {
	text, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// Effects returns every effective setting that differs between the documents, in each scope that an exception names.
func Effects(before, after Document) []Effect {
	var found []Effect
	for _, at := range scopesOf(before, after) {
		for _, kind := range kindsOf(before, after) {
			at.Kind = kind
			found = append(found, effectsAt(before, after, at)...)
		}
	}
	return found
}

// effectsAt returns the effective settings that differ in one scope.
func effectsAt(before, after Document, at Scope) []Effect {
	var found []Effect
	older, _ := before.Explain(at)
	newer, _ := after.Explain(at)
	for i, setting := range Settings() {
		effect := Effect{Scope: at, Setting: setting}
		if older != nil {
			effect.Old = older[i].Value
		}
		if newer != nil {
			effect.New = newer[i].Value
		}
		if effect.Old != effect.New {
			found = append(found, effect)
		}
	}
	return found
}

// scopesOf returns the empty scope and each combination of database, data centre and region that an exception of the documents names.
func scopesOf(documents ...Document) []Scope {
	scopes := []Scope{{}}
	seen := map[Scope]bool{{}: true}
	for _, d := range documents {
		for _, e := range d.Exceptions {
			at := Scope{Database: e.Database, DataCentre: e.DataCentre, Region: e.Region}
			if !seen[at] {
				seen[at] = true
				scopes = append(scopes, at)
			}
		}
	}
	return scopes
}

// kindsOf returns the names of the kinds of work in any of the documents.
func kindsOf(documents ...Document) []model.KindID {
	var names []model.KindID
	seen := map[model.KindID]bool{}
	for _, d := range documents {
		for _, kind := range d.Kinds {
			if !seen[kind.Name] {
				seen[kind.Name] = true
				names = append(names, kind.Name)
			}
		}
	}
	return names
}
