package client

import "redwingspread/internal/model"

// Address is the address of a host's caller interface: an IP address and a port.
type Address = model.Address

// DatabaseID identifies a database, which is a group of instances.
type DatabaseID = model.DatabaseID

// KindID identifies a kind of work, such as a registration; operators configure the kinds.
type KindID = model.KindID

// RequestID identifies a request and makes it idempotent: a repeated request gets the recorded outcome.
type RequestID = model.RequestID

// InstanceID identifies an instance of a database.
type InstanceID = model.InstanceID

// HostID identifies a host of the system.
type HostID = model.HostID

// Role is the role of an instance: primary or replica.
type Role = model.Role

// Durability is the degree to which an acknowledged write survives failures.
type Durability = model.Durability

// Row is one row of a result, by column name.
type Row = model.Row

// Code is the machine-readable reason of an error.
type Code = model.Code
