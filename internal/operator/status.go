package operator

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"redwingspread/internal/model"
	"redwingspread/internal/view"
	"redwingspread/pkg/api/operatorapi"
)

// GetStatus returns what this host knows of the fleet.
func (s *Server) GetStatus(context.Context) (*operatorapi.Status, error) {
	return s.status(), nil
}

// status returns the message of the newest view.
func (s *Server) status() *operatorapi.Status {
	v := s.View()
	made := &operatorapi.Status{
		Host:      string(v.Self),
		Ready:     v.Policy.Ready() && !v.Stopping,
		Hosts:     []operatorapi.HostStatus{},
		Databases: []operatorapi.DatabaseStatus{},
		Queues:    []operatorapi.QueueStatus{},
		Refusals:  []operatorapi.RefusalStatus{},
		Spread:    []operatorapi.SpreadStatus{},
	}
	if v.Policy != nil {
		made.Configuration = uint64(v.Policy.Version)
	}
	for _, host := range valuesByKey(s.hosts(v)) {
		made.Hosts = append(made.Hosts, hostStatus(host))
	}
	for _, database := range valuesByKey(v.Databases) {
		made.Databases = append(made.Databases, databaseStatus(database, s.Now()))
	}
	s.addLocal(made)
	return made
}

// addLocal adds what only this host knows: its queues, its refusals and its measurements.
func (s *Server) addLocal(made *operatorapi.Status) {
	for _, queue := range s.Queues() {
		made.Queues = append(made.Queues, operatorapi.QueueStatus{
			Database: string(queue.Database), Instance: string(queue.Instance), Rank: int(queue.Rank), Waiting: queue.Waiting,
		})
	}
	for _, refusal := range s.Refusals() {
		made.Refusals = append(made.Refusals, operatorapi.RefusalStatus{
			Database: string(refusal.Database), Instance: string(refusal.Instance), Code: string(refusal.Code), Count: refusal.Count,
		})
	}
	for _, delay := range s.tracker.results() {
		made.Spread = append(made.Spread, operatorapi.SpreadStatus{
			Host: string(delay.host), Version: uint64(delay.version), DelayMs: delay.after.Milliseconds(),
		})
	}
}

// hosts returns the hosts of a view together with this one.
func (s *Server) hosts(v *view.View) map[model.HostID]view.Host {
	hosts := maps.Clone(v.Hosts)
	if _, listed := hosts[s.Self.ID]; listed || s.Self.ID == "" {
		return hosts
	}
	if hosts == nil {
		hosts = map[model.HostID]view.Host{}
	}
	self := view.Host{Host: s.Self, Liveness: view.Alive}
	if v.Stopping {
		self.Liveness = view.Leaving
	}
	if v.Policy != nil {
		self.Configuration = v.Policy.Version
	}
	hosts[s.Self.ID] = self
	return hosts
}

// hostStatus returns the message of one host.
func hostStatus(host view.Host) operatorapi.HostStatus {
	return operatorapi.HostStatus{
		Host:          string(host.ID),
		Address:       string(host.Address),
		DataCentre:    string(host.DataCentre),
		Region:        string(host.Region),
		State:         operatorapi.HostStatusState(host.Liveness),
		Configuration: uint64(host.Configuration),
	}
}

// databaseStatus returns the message of one database.
func databaseStatus(database *view.Database, now time.Time) operatorapi.DatabaseStatus {
	made := operatorapi.DatabaseStatus{
		Database:  string(database.ID),
		Owner:     string(database.Owner),
		Term:      uint64(database.Term),
		Primary:   string(database.Primary),
		Serving:   database.Serving,
		Instances: []operatorapi.InstanceStatus{},
	}
	for i := range database.Instances {
		made.Instances = append(made.Instances, instanceStatus(&database.Instances[i], now))
	}
	return made
}

// instanceStatus returns the message of one instance, whose lag grows since it was last read.
func instanceStatus(instance *view.Instance, now time.Time) operatorapi.InstanceStatus {
	made := operatorapi.InstanceStatus{
		Instance:   string(instance.ID),
		Address:    string(instance.Address),
		DataCentre: string(instance.DataCentre),
		Role:       operatorapi.InstanceStatusRoleUnknown,
		Leaving:    instance.Leaving,
	}
	if instance.ObservedAt.IsZero() || !instance.Reachable {
		return made
	}
	made.Role = operatorapi.InstanceStatusRole(instance.State.Role)
	made.Term = uint64(instance.State.Term)
	made.Position = uint64(instance.State.Point.Position)
	if instance.State.Role != model.RolePrimary {
		made.AgeMs = (time.Duration(instance.State.Age) + now.Sub(instance.ObservedAt)).Milliseconds()
	}
	return made
}

// valuesByKey returns the values of a map in the order of its keys.
func valuesByKey[K cmp.Ordered, V any](values map[K]V) []V {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	ordered := make([]V, 0, len(keys))
	for _, key := range keys {
		ordered = append(ordered, values[key])
	}
	return ordered
}
