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

// GetStatus returns the state of the fleet as this host knows it.
func (s *Server) GetStatus(context.Context) (*operatorapi.Status, error) {
	return s.status(), nil
}

// status returns the newest view as a message.
func (s *Server) status() *operatorapi.Status {
	v := s.View()
	message := &operatorapi.Status{
		Host:      string(v.Self),
		Ready:     v.Policy.Ready() && !v.Stopping,
		Hosts:     []operatorapi.HostStatus{},
		Databases: []operatorapi.DatabaseStatus{},
		Queues:    []operatorapi.QueueStatus{},
		Refusals:  []operatorapi.RefusalStatus{},
		Spread:    []operatorapi.SpreadStatus{},
	}
	if v.Policy != nil {
		message.Configuration = uint64(v.Policy.Version)
	}
	for _, host := range valuesByKey(s.hosts(v)) {
		message.Hosts = append(message.Hosts, hostStatus(host))
	}
	for _, database := range valuesByKey(v.Databases) {
		message.Databases = append(message.Databases, databaseStatus(database, s.Now()))
	}
	s.addLocal(message)
	return message
}

// addLocal adds the state that only this host has: its queues, its refusals and its measurements of rollouts.
func (s *Server) addLocal(message *operatorapi.Status) {
	for _, queue := range s.Queues() {
		message.Queues = append(message.Queues, operatorapi.QueueStatus{
			Database: string(queue.Database), Instance: string(queue.Instance), Rank: int(queue.Rank), Waiting: queue.Waiting,
		})
	}
	for _, refusal := range s.Refusals() {
		message.Refusals = append(message.Refusals, operatorapi.RefusalStatus{
			Database: string(refusal.Database), Instance: string(refusal.Instance), Code: string(refusal.Code), Count: refusal.Count,
		})
	}
	for _, delay := range s.tracker.results() {
		message.Spread = append(message.Spread, operatorapi.SpreadStatus{
			Host: string(delay.host), Version: uint64(delay.version), DelayMs: delay.elapsed.Milliseconds(),
		})
	}
}

// hosts returns the hosts of a view, with this host added when it is missing.
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

// hostStatus returns a host as a message.
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

// databaseStatus returns a database as a message.
func databaseStatus(database *view.Database, now time.Time) operatorapi.DatabaseStatus {
	message := operatorapi.DatabaseStatus{
		Database:  string(database.ID),
		Owner:     string(database.Owner),
		Term:      uint64(database.Term),
		Primary:   string(database.Primary),
		Serving:   database.Serving,
		Instances: []operatorapi.InstanceStatus{},
	}
	for i := range database.Instances {
		message.Instances = append(message.Instances, instanceStatus(&database.Instances[i], now))
	}
	return message
}

// instanceStatus returns an instance as a message; the lag of a replica includes the time since its state was read.
func instanceStatus(instance *view.Instance, now time.Time) operatorapi.InstanceStatus {
	message := operatorapi.InstanceStatus{
		Instance:   string(instance.ID),
		Address:    string(instance.Address),
		DataCentre: string(instance.DataCentre),
		Role:       operatorapi.InstanceStatusRoleUnknown,
		Leaving:    instance.Leaving,
	}
	if instance.ObservedAt.IsZero() || !instance.Reachable {
		return message
	}
	message.Role = operatorapi.InstanceStatusRole(instance.State.Role)
	message.Term = uint64(instance.State.Term)
	message.Position = uint64(instance.State.Point.Position)
	if instance.State.Role != model.RolePrimary {
		message.AgeMs = (time.Duration(instance.State.Age) + now.Sub(instance.ObservedAt)).Milliseconds()
	}
	return message
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
