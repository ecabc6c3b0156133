package directory

import (
	"time"

	"redwingspread/internal/model"
)

// Directory is an immutable snapshot of the configuration and the instances.
type Directory struct {
	Version              model.Version       // version of the configuration
	Position             model.StorePosition // of the newest change of an instance's entry
	TransactionIdleLimit time.Duration       // how long a transaction may be idle; zero for no limit
	Kinds                map[model.KindID]model.Kind
	Databases            map[model.DatabaseID]model.Database
	Keyed                bool // callers need an API key, and connections to instances belong to tenants
	Tenants              map[model.TenantID]model.Tenant
	Weights              *model.TenantWeights               // nil where keys are not needed
	Keys                 map[model.KeyDigest]model.TenantID // of the API keys in force
	Instances            map[model.InstanceID]Instance
	Missing              map[model.InstanceID]bool // instances that are still in use though their entries have disappeared
}

// Instance is an instance as its entry in the store describes it.
type Instance struct {
	model.Instance
	Slots       model.Slots
	Role        model.Role          // role that the instance reports
	Incarnation int64               // identifies a start of the instance; changes when it restarts under the same name
	Cold        bool                // still slow after a start
	Position    model.StorePosition // of the entry
}

// Entry is one change of an instance's entry; a removed entry has only its name and revision.
type Entry struct {
	Instance
	Removed bool
}

// Configuration is the configuration written by the operators.
type Configuration struct {
	Version              model.Version
	TransactionIdleLimit time.Duration
	Kinds                []model.Kind
	Databases            []model.Database
	Keyed                bool // callers need an API key
	Tenants              []model.Tenant
}

// Usable reports whether the directory has a configuration and an instance, so that sessions can be served.
func (d *Directory) Usable() bool {
	return d.Version > 0 && len(d.Instances) > 0
}

// KeyedOnly reports whether no kind of work may be used without an API key in force.
func (d *Directory) KeyedOnly() bool {
	for _, kind := range d.Kinds {
		if kind.Public {
			return false
		}
	}
	return d.Keyed
}

// Authorize returns the tenant of a caller that uses a kind of work with an API key, and whether the caller may use it. The tenant is
// empty where keys are not needed, and for a public kind of work whose caller has no key in force.
func (d *Directory) Authorize(kind model.Kind, key model.KeyDigest) (tenant model.TenantID, allowed bool) {
	if !d.Keyed {
		return "", true
	}
	tenant, found := d.Keys[key]
	return tenant, found || kind.Public
}
