package client

import "redwingspread/internal/model"

// Address is the IP number and port of a host's caller interface.
type Address = model.Address

// DatabaseID names one database.
type DatabaseID = model.DatabaseID

// KindID names one kind of work.
type KindID = model.KindID

// RequestID names one request; repeating it returns the recorded outcome.
type RequestID = model.RequestID

// InstanceID names one instance of a database.
type InstanceID = model.InstanceID

// HostID names one host of the system.
type HostID = model.HostID

// Role tells whether a primary or a replica answered.
type Role = model.Role

// Durability tells what an acknowledged write survives.
type Durability = model.Durability

// Row is one row of an answer, by column.
type Row = model.Row

// Code is the reason of a refusal.
type Code = model.Code
