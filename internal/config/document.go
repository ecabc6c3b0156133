package config

import (
	"time"

	"redwingspread/internal/model"
)

// Milliseconds is a duration in whole milliseconds, as operators write it.
type Milliseconds int64

// Duration returns m as a time.Duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Date is a day as YYYY-MM-DD.
type Date string

// Name is the name of an exception or a token.
type Name string

// Author is the name of the person who wrote an exception or a version.
type Author string

// Document is the complete configuration as operators write it.
type Document struct {
	Defaults   Defaults    `json:"defaults"`
	Kinds      []Kind      `json:"kinds"`
	Exceptions []Exception `json:"exceptions"`
	Tokens     []Token     `json:"tokens,omitempty"`
}

// Defaults holds the settings that apply to every kind of work unless an exception changes them.
type Defaults struct {
	Deadline         Milliseconds    `json:"deadlineMs"`
	QueueLimit       int             `json:"queueLimit"` // requests that may wait for one instance
	TransactionIdle  Milliseconds    `json:"transactionIdleMs"`
	TransactionLimit Milliseconds    `json:"transactionLimitMs"`
	RankFloors       []model.Percent `json:"rankFloors"` // guaranteed share of capacity, by rank
}

// Kind is one kind of work, with its settings.
type Kind struct {
	Name       model.KindID     `json:"name"`
	Rank       model.Rank       `json:"rank"`
	Access     model.Access     `json:"access"`
	MaxAge     *Milliseconds    `json:"maxAgeMs,omitempty"` // nil for read-your-writes
	Repeatable bool             `json:"repeatable"`
	Durability model.Durability `json:"durability"`
	Floor      model.Percent    `json:"floor,omitempty"` // guaranteed share of its rank
}

// Exception changes one setting within a scope, with the reason for it.
type Exception struct {
	Name       Name               `json:"name"`
	Database   model.DatabaseID   `json:"database,omitempty"`
	Kind       model.KindID       `json:"kind,omitempty"`
	Rank       model.Rank         `json:"rank,omitempty"`
	DataCentre model.DataCentreID `json:"dataCentre,omitempty"`
	Region     model.RegionID     `json:"region,omitempty"`
	Setting    Setting            `json:"setting"`
	Value      string             `json:"value"`
	Reason     string             `json:"reason"`
	Author     Author             `json:"author"`
	Date       Date               `json:"date"`
	Review     Date               `json:"review,omitempty"` // day on which to check whether the exception is still needed
}

// Role is what the holder of a token may do; each role includes those before it.
type Role string

// The roles.
const (
	RoleCaller   Role = "caller"
	RoleReader   Role = "reader"
	RoleOperator Role = "operator"
)

// Token is one bearer token, stored as a hash.
type Token struct {
	Name   Name   `json:"name"`
	Role   Role   `json:"role"`
	Hash   string `json:"hash"` // SHA-256 of the token in hexadecimal
	Reason string `json:"reason"`
	Author Author `json:"author"`
	Date   Date   `json:"date"`
}

// kind returns the kind of work with the name, or nil.
func (d Document) kind(name model.KindID) *Kind {
	for i := range d.Kinds {
		if d.Kinds[i].Name == name {
			return &d.Kinds[i]
		}
	}
	return nil
}
