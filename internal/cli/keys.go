package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"redwingspread/internal/auth"
	"redwingspread/internal/config"
	"redwingspread/internal/model"
)

// File modes of key material, which only its owner may read.
const (
	keysDirectoryMode = 0o700
	keysFileMode      = 0o600
)

// trialCertificateLifetime is the default lifetime of the certificates for a trial.
const trialCertificateLifetime = 30 * 24 * time.Hour

// newKeys returns the command that manages certificates and tokens, with its subcommands.
func newKeys() *cli.Command {
	return &cli.Command{
		Name:  "keys",
		Usage: "generate certificates for a trial, and grant or revoke tokens",
		Description: `Examples:
  redwingspread keys make --hosts h1,h2,h3,h4 --directory keys
  redwingspread keys grant --name counter-app --role caller --reason "Counter application" --author Dana
  redwingspread keys revoke counter-app --author Dana
  redwingspread keys first`,
		Commands: []*cli.Command{newKeysMake(), newKeysGrant(), newKeysRevoke(), newKeysFirst()},
	}
}

// newKeysMake returns the command that generates certificates for a trial.
func newKeysMake() *cli.Command {
	return &cli.Command{
		Name:  "make",
		Usage: "generate a certificate authority and a certificate for each host of a trial on 127.0.0.1",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "hosts", Required: true, Usage: "names of the hosts, separated by commas"},
			&cli.StringFlag{Name: "directory", Value: "keys", Usage: "directory for the files"},
			&cli.DurationFlag{Name: "lasts", Value: trialCertificateLifetime, Usage: "lifetime of the certificates"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			return writeKeys(command.Root().Writer, command.String("directory"), command.String("hosts"), command.Duration("lasts"))
		},
	}
}

// writeKeys generates the key material of each host, writes it to files and prints their names.
func writeKeys(w io.Writer, directory, hostList string, lifetime time.Duration) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("generate keys: %w", err)
		}
	}()
	var hosts []model.HostID
	for _, name := range strings.Split(hostList, ",") {
		hosts = append(hosts, model.HostID(strings.TrimSpace(name)))
	}
	materials, err := auth.Generate(hosts, time.Now(), lifetime)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(directory, keysDirectoryMode); err != nil {
		return err
	}
	for _, host := range hosts {
		if err := writeKeyMaterial(w, filepath.Join(directory, filepath.Base(string(host))), materials[host]); err != nil {
			return err
		}
	}
	return nil
}

// writeKeyMaterial writes the key material of one host to files that begin with the prefix.
func writeKeyMaterial(w io.Writer, prefix string, material auth.KeyMaterial) error {
	files := []struct{ suffix, text string }{
		{"-certificate.pem", material.Certificate}, {"-key.pem", material.Key}, {"-authorities.pem", material.Authorities},
	}
	for _, file := range files {
		if err := os.WriteFile(prefix+file.suffix, []byte(file.text), keysFileMode); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(w, prefix+file.suffix); err != nil {
			return err
		}
	}
	return nil
}

// newKeysGrant returns the command that generates a token.
func newKeysGrant() *cli.Command {
	return &cli.Command{
		Name:  "grant",
		Usage: "generate a token, print it once and store its hash in the configuration",
		Flags: changeFlags(
			&cli.StringFlag{Name: "name", Required: true, Usage: "name of the holder"},
			&cli.StringFlag{Name: "role", Required: true, Usage: "caller, reader or operator"},
			&cli.StringFlag{Name: "reason", Required: true, Usage: "why the holder needs it"},
		),
		Action: operatorAction(func(ctx context.Context, o *operatorClient, command *cli.Command) error {
			current, err := o.inForce(ctx)
			if err != nil {
				return err
			}
			text := auth.NewToken()
			token := config.Token{
				Name:   config.Name(command.String("name")),
				Role:   config.Role(command.String("role")),
				Hash:   auth.Hash(text),
				Reason: command.String("reason"),
				Author: config.Author(o.settings.Author),
				Date:   today(),
			}
			if err := o.submit(ctx, command, current, current.document.AddToken(token)); err != nil || command.Bool("dry-run") {
				return err
			}
			_, err = fmt.Fprintf(o.out, "token of %s, shown this once: %s\n", token.Name, text)
			return err
		}),
	}
}

// newKeysRevoke returns the command that revokes a token.
func newKeysRevoke() *cli.Command {
	return &cli.Command{
		Name:      "revoke",
		Usage:     "remove a token from the configuration",
		ArgsUsage: "NAME",
		Flags:     changeFlags(),
		Action:    removeAction("token", config.Document.RemoveToken),
	}
}

// newKeysFirst returns the command that generates the token of the first operator.
func newKeysFirst() *cli.Command {
	return &cli.Command{
		Name:  "first",
		Usage: "generate the token of the first operator, and its hash for the settings of the hosts",
		Action: func(_ context.Context, command *cli.Command) error {
			token := auth.NewToken()
			_, err := fmt.Fprintf(command.Root().Writer, "token %s\nhash  %s\n", token, auth.Hash(token))
			return err
		},
	}
}
