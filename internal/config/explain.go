package config

import (
	"fmt"
	"strconv"
	"time"

	"redwingspread/internal/model"
)

// Source tells where a value in force comes from.
type Source string

// The sources of values.
const (
	SourceDefaults  Source = "defaults"
	SourceKind      Source = "kind"
	SourceException Source = "exception"
)

// ResolvedSetting is one setting in force and where its value comes from.
type ResolvedSetting struct {
	Setting    Setting     `json:"setting"`
	Value      string      `json:"value"`
	Source     Source      `json:"source"`
	Exception  *Exception  `json:"exception,omitempty"` // set with SourceException
	Overridden []Exception `json:"beaten,omitempty"`    // exceptions that a more specific one beats, the least specific first
}

// Explain returns every setting in force for the scope with its origin, and whether the kind of work is known.
func (d Document) Explain(at Scope) ([]ResolvedSetting, bool) {
	kind := d.kind(at.Kind)
	if kind == nil {
		return nil, false
	}
	covering := d.exceptionsFor(*kind)
	effective := withExceptions(d.baseSettings(*kind), covering, at)
	origins := make([]ResolvedSetting, 0, len(rules))
	for _, setting := range Settings() {
		origin := ResolvedSetting{Setting: setting, Value: effective.Text(setting), Source: defaultSource(setting)}
		for _, e := range covering {
			if e.Setting == setting && e.appliesAt(at) {
				origin.override(e)
			}
		}
		origins = append(origins, origin)
	}
	return origins, true
}

// override puts an exception in the place of the one that held so far.
func (o *ResolvedSetting) override(e Exception) {
	if o.Exception != nil {
		o.Overridden = append(o.Overridden, *o.Exception)
	}
	o.Source = SourceException
	o.Exception = &e
}

// defaultSource tells where a setting stands when no exception changes it.
func defaultSource(setting Setting) Source {
	switch setting {
	case SettingRank, SettingMaxAge, SettingDurability, SettingFloor:
		return SourceKind
	default:
		return SourceDefaults
	}
}

// Text returns the value of one setting as an exception would write it.
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

// ageText returns an age in milliseconds, or none.
func ageText(age *model.Age) string {
	if age == nil {
		return readYourWritesValue
	}
	return millisecondsText(time.Duration(*age))
}

// millisecondsText returns a duration as operators write it.
func millisecondsText(d time.Duration) string {
	return strconv.FormatInt(d.Milliseconds(), 10)
}
