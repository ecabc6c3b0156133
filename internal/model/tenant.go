package model

// TenantID is the name of a tenant: a customer whose callers share API keys and an allowance.
type TenantID string

// KeyDigest is the SHA-256 digest of an API key. Keys themselves stay in the adapter that reads them.
type KeyDigest [32]byte

// Rate is a number of operations a second.
type Rate float64

// Operations is a number of operations; each is a transaction or a statement outside any transaction.
type Operations float64

// Tenant is the configuration of a tenant.
type Tenant struct {
	ID      TenantID
	Keys    []KeyDigest
	Limited bool // Rate and Burst apply
	Rate    Rate
	Burst   Operations // that may come at once after a pause
}
