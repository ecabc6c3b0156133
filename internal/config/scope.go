package config

import (
	"strings"

	"redwingspread/internal/model"
)

// specificity counts the parts of its scope that the exception names; the more specific exception wins.
func (e Exception) specificity() int {
	count := 0
	for _, named := range []bool{e.Database != "", e.Kind != "", e.Rank != 0, e.DataCentre != "", e.Region != ""} {
		if named {
			count++
		}
	}
	return count
}

// appliesToKind reports whether the exception can apply to the kind of work.
func (e Exception) appliesToKind(kind Kind) bool {
	return matches(e.Kind, kind.Name) && matches(e.Rank, kind.Rank) && rules[e.Setting].appliesTo(kind.Access)
}

// appliesAt reports whether the exception applies at the place; kind and rank are left to covers.
func (e Exception) appliesAt(at Scope) bool {
	return matches(e.Database, at.Database) && matches(e.DataCentre, at.DataCentre) && matches(e.Region, at.Region)
}

// overlaps reports whether some place lies in the scopes of both exceptions; kind and rank are left to covers.
func (e Exception) overlaps(f Exception) bool {
	return mayBothMatch(e.Database, f.Database) && mayBothMatch(e.DataCentre, f.DataCentre) && mayBothMatch(e.Region, f.Region)
}

// matches reports whether a part of a scope names the value, or nothing.
func matches[T comparable](part, value T) bool {
	var all T
	return part == all || part == value
}

// mayBothMatch reports whether two parts of scopes may name the same value.
func mayBothMatch[T comparable](a, b T) bool {
	var all T
	return a == all || b == all || a == b
}

// ScopeText returns the exception's scope in words.
func (e Exception) ScopeText() string {
	parts := make([]string, 0, 5)
	add := func(label, name string) {
		if name != "" {
			parts = append(parts, label+" "+name)
		}
	}
	add("database", string(e.Database))
	add("kind", string(e.Kind))
	add("rank", rankText(e.Rank))
	add("data centre", string(e.DataCentre))
	add("region", string(e.Region))
	return strings.Join(parts, ", ")
}

// rankText returns a rank's number, or nothing for none.
func rankText(rank model.Rank) string {
	if rank == 0 {
		return ""
	}
	return string('0' + rune(rank))
}
