package config

import (
	"time"

	"redwingspread/internal/model"
)

// Scope is the place a setting is looked up for.
type Scope struct {
	Database   model.DatabaseID
	Kind       model.KindID
	DataCentre model.DataCentreID
	Region     model.RegionID
}

// Effective is every setting in force for one scope.
type Effective struct {
	Rank             model.Rank
	Access           model.Access
	MaxAge           *model.Age // age a read accepts by default; nil for read-your-writes
	Repeatable       bool
	Durability       model.Durability
	Floor            model.Percent // guaranteed share of the rank
	Deadline         time.Duration
	QueueLimit       int
	TransactionIdle  time.Duration
	TransactionLimit time.Duration
}

// Policy is one checked configuration, made for quick look-ups; it never changes.
type Policy struct {
	Version    model.Version
	RankFloors [model.Ranks]model.Percent

	kinds map[model.KindID]Effective
}

// Lookup returns the settings in force for the scope, and whether its kind of work is known.
func (p *Policy) Lookup(scope Scope) (Effective, bool) {
	effective, found := p.kinds[scope.Kind]
	return effective, found
}
