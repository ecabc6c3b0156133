package config

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"redwingspread/internal/model"
)

// Setting is the name of a setting that an exception can change.
type Setting string

// The settings that exceptions can change.
const (
	SettingDeadline         Setting = "deadlineMs"
	SettingQueueLimit       Setting = "queueLimit"
	SettingTransactionIdle  Setting = "transactionIdleMs"
	SettingTransactionLimit Setting = "transactionLimitMs"
	SettingRank             Setting = "rank"
	SettingMaxAge           Setting = "maxAgeMs"
	SettingDurability       Setting = "durability"
	SettingFloor            Setting = "floor"
)

// readYourWritesValue is the value of SettingMaxAge that requires read-your-writes.
const readYourWritesValue = "none"

// The upper limits of values and list lengths.
const (
	maxTimeMs      = 600_000
	maxQueueLimit  = 100_000
	maxPercent     = 100
	maxNameBytes   = 64
	maxReasonBytes = 1024
	maxKinds       = 256
	maxExceptions  = 1024
	maxTokens      = 256
	maxLocations   = 64 // distinct data centres, and distinct regions, in exceptions
)

// rule defines the allowed values of a setting, the access that it applies to and how a value is applied.
type rule struct {
	allowed string       // description of the allowed values
	access  model.Access // empty for reads and writes
	apply   func(value string, to *EffectiveSettings) bool
}

// Settings returns every setting that an exception can change, in the order in which they are listed to operators.
func Settings() []Setting {
	return []Setting{
		SettingDeadline, SettingQueueLimit, SettingTransactionIdle, SettingTransactionLimit,
		SettingRank, SettingMaxAge, SettingDurability, SettingFloor,
	}
}

// rules holds the rule of each setting.
var rules = map[Setting]rule{
	SettingDeadline: numberRule(1, maxTimeMs, func(n int64, to *EffectiveSettings) {
		to.Deadline = Milliseconds(n).Duration()
	}),
	SettingQueueLimit: numberRule(1, maxQueueLimit, func(n int64, to *EffectiveSettings) {
		to.QueueLimit = int(n)
	}),
	SettingTransactionIdle: numberRule(1, maxTimeMs, func(n int64, to *EffectiveSettings) {
		to.TransactionIdle = Milliseconds(n).Duration()
	}),
	SettingTransactionLimit: numberRule(1, maxTimeMs, func(n int64, to *EffectiveSettings) {
		to.TransactionLimit = Milliseconds(n).Duration()
	}),
	SettingRank: numberRule(1, model.RankCount, func(n int64, to *EffectiveSettings) {
		to.Rank = model.Rank(n)
	}),
	SettingFloor: numberRule(0, maxPercent, func(n int64, to *EffectiveSettings) {
		to.Floor = model.Percent(n)
	}),
	SettingMaxAge: {
		allowed: fmt.Sprintf("a whole number from 0 to %d, or %s for read-your-writes", maxTimeMs, readYourWritesValue),
		access:  model.Read,
		apply:   applyAge,
	},
	SettingDurability: {
		allowed: "one of none, primary, replica",
		access:  model.Write,
		apply:   applyDurability,
	},
}

// numberRule returns the rule of a whole number in a range; both limits are inclusive.
func numberRule(low, high int64, set func(n int64, to *EffectiveSettings)) rule {
	return rule{
		allowed: fmt.Sprintf("a whole number from %d to %d", low, high),
		apply: func(value string, to *EffectiveSettings) bool {
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil || n < low || n > high {
				return false
			}
			set(n, to)
			return true
		},
	}
}

// applyAge sets the maximum age of data that a read accepts.
func applyAge(value string, to *EffectiveSettings) bool {
	if value == readYourWritesValue {
		to.MaxAge = nil
		return true
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 || n > maxTimeMs {
		return false
	}
	age := model.Age(time.Duration(n) * time.Millisecond)
	to.MaxAge = &age
	return true
}

// applyDurability sets the durability of an acknowledged write.
func applyDurability(value string, to *EffectiveSettings) bool {
	durability := model.Durability(value)
	if !slices.Contains(durabilities, durability) {
		return false
	}
	to.Durability = durability
	return true
}

// durabilities lists the levels of durability, the weakest first.
var durabilities = []model.Durability{model.DurabilityNone, model.DurabilityPrimary, model.DurabilityReplica}

// appliesTo reports whether the setting has an effect on work with this access.
func (r rule) appliesTo(access model.Access) bool {
	return r.access == "" || r.access == access
}
