package config

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"redwingspread/internal/model"
)

// Setting names what an exception changes.
type Setting string

// The settings that exceptions may change.
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

// noAge is the value of SettingMaxAge that asks for read-your-writes.
const noAge = "none"

// The limits of values.
const (
	maxTime       = 600_000 // milliseconds
	maxQueue      = 100_000
	maxPercent    = 100
	maxName       = 64
	maxReason     = 1024
	maxKinds      = 256
	maxExceptions = 1024
	maxTokens     = 256
	maxPlaces     = 64 // data centres, or regions, that exceptions name
)

// rule tells which values a setting takes, which access it is for and how it changes the settings in force.
type rule struct {
	allows string
	access model.Access // empty for both
	apply  func(value string, to *Effective) bool
}

// Settings returns every setting that an exception may change, in the order of the pages.
func Settings() []Setting {
	return []Setting{
		SettingDeadline, SettingQueueLimit, SettingTransactionIdle, SettingTransactionLimit,
		SettingRank, SettingMaxAge, SettingDurability, SettingFloor,
	}
}

// rules holds the rule of each setting.
var rules = map[Setting]rule{
	SettingDeadline: number(1, maxTime, func(n int64, to *Effective) {
		to.Deadline = Milliseconds(n).Duration()
	}),
	SettingQueueLimit: number(1, maxQueue, func(n int64, to *Effective) {
		to.QueueLimit = int(n)
	}),
	SettingTransactionIdle: number(1, maxTime, func(n int64, to *Effective) {
		to.TransactionIdle = Milliseconds(n).Duration()
	}),
	SettingTransactionLimit: number(1, maxTime, func(n int64, to *Effective) {
		to.TransactionLimit = Milliseconds(n).Duration()
	}),
	SettingRank: number(1, model.RankCount, func(n int64, to *Effective) {
		to.Rank = model.Rank(n)
	}),
	SettingFloor: number(0, maxPercent, func(n int64, to *Effective) {
		to.Floor = model.Percent(n)
	}),
	SettingMaxAge: {
		allows: fmt.Sprintf("a whole number from 0 to %d, or %s for read-your-writes", maxTime, noAge),
		access: model.Read,
		apply:  applyAge,
	},
	SettingDurability: {
		allows: "one of none, primary, replica",
		access: model.Write,
		apply:  applyDurability,
	},
}

// number returns the rule of a whole number between two limits.
func number(low, high int64, set func(n int64, to *Effective)) rule {
	return rule{
		allows: fmt.Sprintf("a whole number from %d to %d", low, high),
		apply: func(value string, to *Effective) bool {
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil || n < low || n > high {
				return false
			}
			set(n, to)
			return true
		},
	}
}

// applyAge sets the age that a read accepts.
func applyAge(value string, to *Effective) bool {
	if value == noAge {
		to.MaxAge = nil
		return true
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 || n > maxTime {
		return false
	}
	age := model.Age(time.Duration(n) * time.Millisecond)
	to.MaxAge = &age
	return true
}

// applyDurability sets what an acknowledged write survives.
func applyDurability(value string, to *Effective) bool {
	durability := model.Durability(value)
	if !slices.Contains(durabilities, durability) {
		return false
	}
	to.Durability = durability
	return true
}

// durabilities are the levels in order.
var durabilities = []model.Durability{model.DurabilityNone, model.DurabilityPrimary, model.DurabilityReplica}

// matters reports whether the setting has an effect on work with the access.
func (r rule) matters(access model.Access) bool {
	return r.access == "" || r.access == access
}
