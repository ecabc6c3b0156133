package model

// HostID identifies a host of the system.
type HostID string

// InstanceID identifies a database instance, to which connections are opened.
type InstanceID string

// DatabaseID identifies a database, which is a group of instances.
type DatabaseID string

// DataCentreID identifies a data centre.
type DataCentreID string

// RegionID identifies a region, which is a group of data centres.
type RegionID string

// KindID identifies a kind of work, such as a registration.
type KindID string

// RequestID identifies a request and makes it idempotent: a repeated request gets the recorded outcome.
type RequestID string

// SessionID identifies a caller's session; capacity is shared fairly between sessions.
type SessionID string

// TransactionID identifies an open transaction and the host that holds it.
type TransactionID string

// ConnectionID identifies an open connection of an instance.
type ConnectionID string

// Address is an IP address and a port.
type Address string

// Nonce identifies one attempt to change a row. After a lost answer, reading the row shows whether the attempt took effect.
type Nonce string

// RowKey is the key of a row in the table service.
type RowKey string

// ObjectName is the name of an object in the object store.
type ObjectName string

// HostHeader is the HTTP header with the id of the calling host, sent to endpoints, to the platform and to peers.
const HostHeader = "Redwingspread-Host"
