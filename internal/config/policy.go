package config

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"redwingspread/internal/model"
)

// Scope is the place a setting is looked up for.
type Scope struct {
	Database   model.DatabaseID   `json:"database,omitempty"`
	Kind       model.KindID       `json:"kind,omitempty"`
	DataCentre model.DataCentreID `json:"dataCentre,omitempty"`
	Region     model.RegionID     `json:"region,omitempty"`
}

// EffectiveSettings is every setting in force for one scope.
type EffectiveSettings struct {
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
	RankFloors [model.RankCount]model.Percent
	Document   Document // as accepted; not to be changed

	kinds map[model.KindID]*compiledKind
}

// compiledKind is one kind of work with its exceptions worked out: a cell for each combination of named places.
type compiledKind struct {
	base        EffectiveSettings // in force where no exception names the place
	databases   map[model.DatabaseID]int
	dataCentres map[model.DataCentreID]int
	regions     map[model.RegionID]int
	cells       []EffectiveSettings // by database, data centre, region; empty without exceptions
}

// Compile checks the document and works out the settings in force for every scope.
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

// Ready reports whether there is a configuration; a host without one serves nothing.
func (p *Policy) Ready() bool {
	return p != nil && p.kinds != nil
}

// Lookup returns the settings in force for the scope, and whether its kind of work is known.
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

// compile works out every combination of places that exceptions of the kind name.
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
	plain := EffectiveSettings{
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
		plain.MaxAge = &age
	}
	return plain
}

// exceptionsFor returns the exceptions that can apply to the kind, the least specific first.
func (d Document) exceptionsFor(kind Kind) []Exception {
	covering := slices.DeleteFunc(slices.Clone(d.Exceptions), func(e Exception) bool { return !e.appliesToKind(kind) })
	slices.SortStableFunc(covering, func(e, f Exception) int { return cmp.Compare(e.specificity(), f.specificity()) })
	return covering
}

// withExceptions returns the settings after the exceptions that contain the place, of which later ones win.
func withExceptions(plain EffectiveSettings, exceptions []Exception, at Scope) EffectiveSettings {
	for _, e := range exceptions {
		if e.appliesAt(at) {
			rules[e.Setting].apply(e.Value, &plain)
		}
	}
	return plain
}

// assignIndex gives a named place the next number from 1; 0 is every place that is not named.
func assignIndex[T comparable](numbers map[T]int, name T) {
	var none T
	if _, found := numbers[name]; !found && name != none {
		numbers[name] = len(numbers) + 1
	}
}

// namesByIndex returns the names by their numbers, after the empty name for 0.
func namesByIndex[T comparable](numbers map[T]int) []T {
	names := make([]T, len(numbers)+1)
	for name, number := range numbers {
		names[number] = name
	}
	return names
}
