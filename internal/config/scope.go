package config

import (
	"strings"

	"redwingspread/internal/model"
)

// specificity returns the number of scope fields that the exception sets; the more specific exception wins.
func (e Exception) specificity() int {
	count := 0
	for _, named := range []bool{e.Database != "", e.Kind != "", e.Rank != 0, e.DataCentre != "", e.Region != ""} {
		if named {
			count++
		}
	}
	return count
}

// appliesToKind reports whether the exception applies to the kind of work in some scope.
func (e Exception) appliesToKind(kind Kind) bool {
	return matches(e.Kind, kind.Name) && matches(e.Rank, kind.Rank) && rules[e.Setting].appliesTo(kind.Access)
}

// appliesAt reports whether the exception's database, data centre and region match the scope; appliesToKind checks kind and rank.
func (e Exception) appliesAt(at Scope) bool {
	return matches(e.Database, at.Database) && matches(e.DataCentre, at.DataCentre) && matches(e.Region, at.Region)
}

// overlaps reports whether some database, data centre and region match both exceptions; appliesToKind checks kind and rank.
func (e Exception) overlaps(f Exception) bool {
	return mayBothMatch(e.Database, f.Database) && mayBothMatch(e.DataCentre, f.DataCentre) && mayBothMatch(e.Region, f.Region)
}

// matches reports whether a scope field is unset or equal to the value.
func matches[T comparable](field, value T) bool {
	var unset T
	return field == unset || field == value
}

// mayBothMatch reports whether some value matches both scope fields.
func mayBothMatch[T comparable](a, b T) bool {
	var unset T
	return a == unset || b == unset || a == b
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

// rankText returns a rank as a digit; empty when there is none.
func rankText(rank model.Rank) string {
	if rank == 0 {
		return ""
	}
	return string('0' + rune(rank))
}
