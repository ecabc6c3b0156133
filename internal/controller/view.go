package controller

import (
	"time"

	"redwingspread/internal/directory"
	"redwingspread/internal/failover"
	"redwingspread/internal/model"
)

// View is the immutable state that control publishes to traffic.
type View struct {
	Directory *directory.Directory
	Primaries map[model.DatabaseID]Primary
	Shares    map[model.InstanceID]Share
	LiveHosts int  // live ones, this one included
	Ready     bool // the host takes new sessions
}

// Primary is what the host believes of a database's primary.
type Primary struct {
	Instance     model.InstanceID
	State        failover.State
	ExpectedBack time.Time // when a lost primary is expected to be replaced; zero when none is lost
}

// Share is the part of an instance that this host may use.
type Share struct {
	Slots       model.Slots
	Connections model.Connections
	Scarce      bool // hosts are more than connections, so that none is to keep one without work
}
