package cli

import (
	"context"

	"github.com/urfave/cli/v3"

	"redwingspread/internal/settings"
	"redwingspread/internal/standin/instance"
)

// newStandinEndpoint returns the command that runs a stand-in for one instance of a database.
func newStandinEndpoint() *cli.Command {
	return &cli.Command{
		Name:   "endpoint",
		Usage:  "run a stand-in for one instance of a database",
		Flags:  settings.EndpointFlags(),
		Action: runStandinEndpoint,
	}
}

// runStandinEndpoint runs the instance described by the settings.
func runStandinEndpoint(ctx context.Context, command *cli.Command) error {
	loaded, err := settings.LoadEndpoint(command)
	if err != nil {
		return err
	}
	standIn := instance.New()
	standIn.ID = loaded.Instance
	standIn.Database = loaded.Database
	standIn.Primary = loaded.Primary
	standIn.Slots = loaded.Slots
	standIn.Connections = loaded.Connections
	standIn.ConnectionCost = loaded.ConnectionCost
	standIn.ServiceTime = loaded.ServiceTime
	standIn.Lag = loaded.Lag
	return serveStandin(ctx, loaded.Address, standIn)
}
