package config

import (
	"encoding/json"
	"fmt"

	"redwingspread/internal/model"
)

// Difference is one place in which two documents differ; a missing side is empty.
type Difference struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// Effect is one setting in force that differs between two documents.
type Effect struct {
	Scope   Scope   `json:"scope"` // parts that are empty mean every other place
	Setting Setting `json:"setting"`
	Old     string  `json:"old,omitempty"`
	New     string  `json:"new,omitempty"`
}

// Diff returns the places in which the documents differ, entries matched by their names.
func Diff(before, after Document) []Difference {
	var found []Difference
	appendDifference(&found, "defaults", before.Defaults, after.Defaults)
	diffEntries(&found, "kinds", before.Kinds, after.Kinds, func(k Kind) model.KindID { return k.Name })
	diffEntries(&found, "exceptions", before.Exceptions, after.Exceptions, func(e Exception) Name { return e.Name })
	diffEntries(&found, "tokens", before.Tokens, after.Tokens, func(t Token) Name { return t.Name })
	return found
}

// diffEntries compares two lists of named entries.
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

// appendDifference records two values that differ in their texts.
func appendDifference[T any](found *[]Difference, path string, before, after T) {
	older, newer := jsonText(before), jsonText(after)
	if older != newer {
		*found = append(*found, Difference{Path: path, Old: older, New: newer})
	}
}

// jsonText returns a value as one line of JSON; the types of a document always have one.
func jsonText[T any](value T) string {
	text, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// Effects returns every setting in force that changes from one document to the other, at each place that an exception names.
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

// effectsAt compares the settings in force at one place.
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

// scopesOf returns the place without a name and each place that an exception of either document names.
func scopesOf(documents ...Document) []Scope {
	listed := []Scope{{}}
	seen := map[Scope]bool{{}: true}
	for _, d := range documents {
		for _, e := range d.Exceptions {
			at := Scope{Database: e.Database, DataCentre: e.DataCentre, Region: e.Region}
			if !seen[at] {
				seen[at] = true
				listed = append(listed, at)
			}
		}
	}
	return listed
}

// kindsOf returns the kinds of work of either document.
func kindsOf(documents ...Document) []model.KindID {
	var listed []model.KindID
	seen := map[model.KindID]bool{}
	for _, d := range documents {
		for _, kind := range d.Kinds {
			if !seen[kind.Name] {
				seen[kind.Name] = true
				listed = append(listed, kind.Name)
			}
		}
	}
	return listed
}
