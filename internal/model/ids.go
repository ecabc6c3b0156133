package model

// HostID names one host of the system.
type HostID string

// InstanceID names one database instance, the endpoint of a connection.
type InstanceID string

// DatabaseID names one database, a group of instances.
type DatabaseID string

// DataCentreID names one data centre.
type DataCentreID string

// RegionID names one region, a group of data centres.
type RegionID string

// KindID names one kind of work, such as a registration.
type KindID string

// RequestID names one request; repeating it returns the recorded outcome.
type RequestID string

// SessionID names one caller's session for fairness.
type SessionID string

// TransactionID names one open transaction and the host that holds it.
type TransactionID string

// ConnectionID names one open connection of an instance.
type ConnectionID string

// Address is an IP number and a port.
type Address string

// Nonce marks one attempt to change a row, so that a lost answer can be settled by reading.
type Nonce string

// RowKey names one row of the table service.
type RowKey string

// ObjectName names one object of the object store.
type ObjectName string

// HostHeader is the HTTP header in which a host names itself to endpoints, to the platform and to its peers.
const HostHeader = "Redwingspread-Host"
