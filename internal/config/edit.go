package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"redwingspread/internal/model"
)

// The first elements of the paths that Set accepts.
const (
	pathDefaults = "defaults"
	pathKinds    = "kinds"
)

// Set returns a copy of the document with one value changed; the path is such as defaults.queueLimit or kinds.roster.maxAgeMs.
func (d Document) Set(path, value string) (changed Document, err error) {
	parts := strings.Split(path, ".")
	switch {
	case len(parts) == 2 && parts[0] == pathDefaults:
		d.Defaults, err = setField(d.Defaults, parts[1], value)
		return d, err
	case len(parts) == 3 && parts[0] == pathKinds:
		d.Kinds = slices.Clone(d.Kinds)
		kind := d.kind(model.KindID(parts[1]))
		if kind == nil {
			return Document{}, fmt.Errorf("set %s: kind is %q, allowed: one of %s", path, parts[1], d.kindNames())
		}
		*kind, err = setField(*kind, parts[2], value)
		return d, err
	default:
		return Document{}, fmt.Errorf("set %q, allowed: defaults.SETTING or kinds.KIND.SETTING", path)
	}
}

// AddException returns a copy of the document with the exception added.
func (d Document) AddException(e Exception) Document {
	d.Exceptions = append(slices.Clone(d.Exceptions), e)
	return d
}

// RemoveException returns a copy of the document without the named exception, and whether there was one.
func (d Document) RemoveException(name Name) (Document, bool) {
	kept := slices.DeleteFunc(slices.Clone(d.Exceptions), func(e Exception) bool { return e.Name == name })
	found := len(kept) < len(d.Exceptions)
	d.Exceptions = kept
	return d, found
}

// AddToken returns a copy of the document with the token added.
func (d Document) AddToken(t Token) Document {
	d.Tokens = append(slices.Clone(d.Tokens), t)
	return d
}

// RemoveToken returns a copy of the document without the named token, and whether there was one.
func (d Document) RemoveToken(name Name) (Document, bool) {
	kept := slices.DeleteFunc(slices.Clone(d.Tokens), func(t Token) bool { return t.Name == name })
	found := len(kept) < len(d.Tokens)
	d.Tokens = kept
	return d, found
}

// setField returns a copy of an entry with one field changed, given by its JSON name; a value that is not valid JSON is taken as a string.
func setField[T any](entry T, field, value string) (changed T, err error) {
	if value == readYourWritesValue && field == string(SettingMaxAge) {
		value = "null"
	}
	raw := json.RawMessage(value)
	if !json.Valid(raw) {
		raw, err = json.Marshal(value)
		if err != nil {
			return entry, err
		}
	}
	patch, err := json.Marshal(map[string]json.RawMessage{field: raw})
	if err != nil {
		return entry, err
	}
	changed, err = clone(entry)
	if err != nil {
		return entry, err
	}
	decoder := json.NewDecoder(bytes.NewReader(patch))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&changed); err != nil {
		return entry, fmt.Errorf("set %s to %s: %w", field, value, err)
	}
	return changed, nil
}

// clone returns a deep copy of an entry.
func clone[T any](entry T) (copied T, err error) {
	text, err := json.Marshal(entry)
	if err != nil {
		return copied, err
	}
	err = json.Unmarshal(text, &copied)
	return copied, err
}

// DueForReview returns the exceptions whose review date has been reached.
func (d Document) DueForReview(today Date) []Exception {
	return slices.DeleteFunc(slices.Clone(d.Exceptions), func(e Exception) bool { return e.Review == "" || e.Review > today })
}
