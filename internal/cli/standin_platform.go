package cli

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"redwingspread/internal/settings"
	"redwingspread/internal/standin/platform"
)

// newStandinPlatform returns the command that runs the stand-in for the platform service.
func newStandinPlatform() *cli.Command {
	return &cli.Command{
		Name:   "platform",
		Usage:  "run the stand-in for the platform service",
		Flags:  settings.PlatformFlags(),
		Action: runStandinPlatform,
	}
}

// runStandinPlatform runs the service described by the settings.
func runStandinPlatform(ctx context.Context, command *cli.Command) error {
	loaded, err := settings.LoadPlatform(command)
	if err != nil {
		return err
	}
	standIn := platform.New()
	standIn.ListLag = loaded.ListLag
	standIn.Members, err = parseMembers(loaded.Members)
	if err != nil {
		return err
	}
	return serveStandin(ctx, loaded.Address, standIn)
}

// parseMembers parses the members and joins the errors of all invalid ones.
func parseMembers(texts []string) (members []platform.Member, err error) {
	for _, text := range texts {
		member, problem := platform.ParseMember(text)
		err = errors.Join(err, problem)
		members = append(members, member)
	}
	return members, err
}
