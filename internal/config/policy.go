package config

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"redwingspread/internal/model"
)

// Scope is the database, kind of work, data centre and region for which settings are looked up.
type Scope struct {
	Database   model.DatabaseID   `json:"database,omitempty"`
	Kind       model.KindID       `json:"kind,omitempty"`
	DataCentre model.DataCentreID `json:"dataCentre,omitempty"`
	Region     model.RegionID     `json:"region,omitempty"`
}

// EffectiveSettings holds the value of every setting in one scope.
type EffectiveSettings struct {
	Rank             model.Rank
	Access           model.Access
	MaxAge           *model.Age // maximum age of data that a read accepts by default; nil for read-your-writes
	Repeatable       bool
	Durability       model.Durability
	Floor            model.Percent // guaranteed share of the rank
	Deadline         time.Duration
	QueueLimit       int
	TransactionIdle  time.Duration
	TransactionLimit time.Duration
}

// Policy is a checked configuration, compiled for fast lookups; it is immutable.
type Policy struct {
	Version    model.Version
	RankFloors [model.RankCount]model.Percent
	Document   Document // as accepted; must not be modified

	kinds map[model.KindID]*compiledKind
}

// compiledKind holds the precomputed settings of one kind of work: a cell for each combination of the names in its exceptions.
type compiledKind struct {
	base        EffectiveSettings          // settings without exceptions
	databases   map[model.DatabaseID]int   // index of each database in the exceptions, from 1
	dataCentres map[model.DataCentreID]int // index of each data centre in the exceptions, from 1
	regions     map[model.RegionID]int     // index of each region in the exceptions, from 1
	cells       []EffectiveSettings        // indexed by database, data centre and region; empty without exceptions
}

// Compile checks the document and computes the effective settings of every scope.
func Compile(version model.Version, d Document) (policy *Policy, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("compile configuration %d: %w", version, err)
		}
	}()
	if err := d.Check(); err != nil {
		return nil, err
	}
	policy = &Policy{Version: version, Document: d, kinds: make(map[model.KindID]*compiledKind, len(d.Kinds))}
	copy(policy.RankFloors[:], d.Defaults.RankFloors)
	for _, kind := range d.Kinds {
		policy.kinds[kind.Name] = d.compile(kind)
	}
	return policy, nil
}

// Ready reports whether there is a configuration; a host without one serves no requests.
func (p *Policy) Ready() bool {
	return p != nil && p.kinds != nil
}

// Lookup returns the effective settings for the scope, and whether its kind of work is known.
func (p *Policy) Lookup(scope Scope) (EffectiveSettings, bool) {
	if p == nil {
		return EffectiveSettings{}, false
	}
	kind, found := p.kinds[scope.Kind]
	if !found {
		return EffectiveSettings{}, false
	}
	if len(kind.cells) == 0 {
		return kind.base, true
	}
	cell := kind.databases[scope.Database]
	cell = cell*(len(kind.dataCentres)+1) + kind.dataCentres[scope.DataCentre]
	cell = cell*(len(kind.regions)+1) + kind.regions[scope.Region]
	return kind.cells[cell], true
}

// compile computes the settings for every combination of names in the exceptions of the kind.
func (d Document) compile(kind Kind) *compiledKind {
	c := &compiledKind{
		base:        d.baseSettings(kind),
		databases:   map[model.DatabaseID]int{},
		dataCentres: map[model.DataCentreID]int{},
		regions:     map[model.RegionID]int{},
	}
	exceptions := d.exceptionsFor(kind)
	if len(exceptions) == 0 {
		return c
	}
	for _, e := range exceptions {
		assignIndex(c.databases, e.Database)
		assignIndex(c.dataCentres, e.DataCentre)
		assignIndex(c.regions, e.Region)
	}
	for _, database := range namesByIndex(c.databases) {
		for _, dataCentre := range namesByIndex(c.dataCentres) {
			for _, region := range namesByIndex(c.regions) {
				at := Scope{Database: database, Kind: kind.Name, DataCentre: dataCentre, Region: region}
				c.cells = append(c.cells, withExceptions(c.base, exceptions, at))
			}
		}
	}
	return c
}

// baseSettings returns the kind's settings without exceptions.
func (d Document) baseSettings(kind Kind) EffectiveSettings {
	settings := EffectiveSettings{
		Rank:             kind.Rank,
		Access:           kind.Access,
		Repeatable:       kind.Repeatable,
		Durability:       kind.Durability,
		Floor:            kind.Floor,
		Deadline:         d.Defaults.Deadline.Duration(),
		QueueLimit:       d.Defaults.QueueLimit,
		TransactionIdle:  d.Defaults.TransactionIdle.Duration(),
		TransactionLimit: d.Defaults.TransactionLimit.Duration(),
	}
	if kind.MaxAge != nil {
		age := model.Age(kind.MaxAge.Duration())
		settings.MaxAge = &age
	}
	return settings
}

// exceptionsFor returns the exceptions that can apply to the kind, the least specific first.
func (d Document) exceptionsFor(kind Kind) []Exception {
	exceptions := slices.DeleteFunc(slices.Clone(d.Exceptions), func(e Exception) bool { return !e.appliesToKind(kind) })
	slices.SortStableFunc(exceptions, func(e, f Exception) int { return cmp.Compare(e.specificity(), f.specificity()) })
	return exceptions
}

// withExceptions returns the settings with the exceptions that match the scope applied in order.
func withExceptions(settings EffectiveSettings, exceptions []Exception, at Scope) EffectiveSettings {
	for _, e := range exceptions {
		if e.appliesAt(at) {
			rules[e.Setting].apply(e.Value, &settings)
		}
	}
	return settings
}

// assignIndex gives a new name the next index from 1; index 0 stands for every name without one.
func assignIndex[T comparable](indexes map[T]int, name T) {
	var none T
	if _, found := indexes[name]; !found && name != none {
		indexes[name] = len(indexes) + 1
	}
}

// namesByIndex returns the names in order of their indexes; the empty name is at index 0.
func namesByIndex[T comparable](indexes map[T]int) []T {
	names := make([]T, len(indexes)+1)
	for name, index := range indexes {
		names[index] = name
	}
	return names
}
