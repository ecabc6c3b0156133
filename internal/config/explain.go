package config

import (
	"fmt"
	"strconv"
	"time"

	"redwingspread/internal/model"
)

// Source tells where an effective value comes from.
type Source string

// The sources of effective values.
const (
	SourceDefaults  Source = "defaults"
	SourceKind      Source = "kind"
	SourceException Source = "exception"
)

// ResolvedSetting is the effective value of one setting and where it comes from.
type ResolvedSetting struct {
	Setting    Setting     `json:"setting"`
	Value      string      `json:"value"`
	Source     Source      `json:"source"`
	Exception  *Exception  `json:"exception,omitempty"` // set with SourceException
	Overridden []Exception `json:"beaten,omitempty"`    // exceptions that a more specific one overrides, the least specific first
}

// Explain returns the effective value of every setting in the scope with its source, and whether the kind of work is known.
func (d Document) Explain(at Scope) ([]ResolvedSetting, bool) {
	kind := d.kind(at.Kind)
	if kind == nil {
		return nil, false
	}
	exceptions := d.exceptionsFor(*kind)
	effective := withExceptions(d.baseSettings(*kind), exceptions, at)
	resolved := make([]ResolvedSetting, 0, len(rules))
	for _, setting := range Settings() {
		entry := ResolvedSetting{Setting: setting, Value: effective.Text(setting), Source: defaultSource(setting)}
		for _, e := range exceptions {
			if e.Setting == setting && e.appliesAt(at) {
				entry.override(e)
			}
		}
		resolved = append(resolved, entry)
	}
	return resolved, true
}

// override replaces the exception that applied so far.
func (r *ResolvedSetting) override(e Exception) {
	if r.Exception != nil {
		r.Overridden = append(r.Overridden, *r.Exception)
	}
	r.Source = SourceException
	r.Exception = &e
}

// defaultSource returns the source of a setting that no exception changes.
func defaultSource(setting Setting) Source {
	switch setting {
	case SettingRank, SettingMaxAge, SettingDurability, SettingFloor:
		return SourceKind
	default:
		return SourceDefaults
	}
}

// Text returns the value of one setting in the form that an exception uses.
func (e EffectiveSettings) Text(setting Setting) string {
	switch setting {
	case SettingDeadline:
		return millisecondsText(e.Deadline)
	case SettingQueueLimit:
		return strconv.Itoa(e.QueueLimit)
	case SettingTransactionIdle:
		return millisecondsText(e.TransactionIdle)
	case SettingTransactionLimit:
		return millisecondsText(e.TransactionLimit)
	case SettingRank:
		return fmt.Sprint(e.Rank)
	case SettingMaxAge:
		return ageText(e.MaxAge)
	case SettingDurability:
		return string(e.Durability)
	case SettingFloor:
		return fmt.Sprint(e.Floor)
	}
	return ""
}

// ageText returns an age in milliseconds, or "none" for read-your-writes.
func ageText(age *model.Age) string {
	if age == nil {
		return readYourWritesValue
	}
	return millisecondsText(time.Duration(*age))
}

// millisecondsText returns a duration as a number of milliseconds.
func millisecondsText(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10)
}
