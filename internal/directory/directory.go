package directory

import (
	"time"

	"redwingspread/internal/model"
)

// Directory is an immutable state of all that is known.
type Directory struct {
	Version              model.Version  // of the configuration
	Revision             model.Revision // newest change of an instance's entry
	TransactionIdleLimit time.Duration  // that a transaction may rest; zero for no limit
	Kinds                map[model.KindID]model.Kind
	Databases            map[model.DatabaseID]model.Database
	Instances            map[model.InstanceID]Instance
}

// Instance is one instance as its entry describes it.
type Instance struct {
	model.Instance
	Slots       model.Slots
	Role        model.Role     // as the instance sees itself
	Incarnation int64          // start of the instance, which changes when it starts anew under its name
	Cold        bool           // runs slowly for a while after its start
	Revision    model.Revision // of the entry
}

// Entry is one change of an instance's entry; one that is gone has only its name and revision.
type Entry struct {
	Instance
	Removed bool
}

// Configuration is what the operators wrote.
type Configuration struct {
	Version              model.Version
	TransactionIdleLimit time.Duration
	Kinds                []model.Kind
	Databases            []model.Database
}

// Usable reports whether the directory can serve sessions.
func (d *Directory) Usable() bool {
	return d.Version > 0 && len(d.Instances) > 0
}
