package cli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"redwingspread/internal/model"
	"redwingspread/internal/standin"
)

// newStandin returns the command that runs a stand-in, with its subcommands.
func newStandin() *cli.Command {
	return &cli.Command{
		Name:     "standin",
		Usage:    "run a stand-in for an external system",
		Commands: []*cli.Command{newStandinEndpoint(), newStandinPlatform()},
	}
}

// standinServer is a stand-in with an HTTP handler and background work. Run does the work until the context ends, then sends the
// reason on done.
type standinServer interface {
	Handler() http.Handler
	Run(ctx context.Context, done chan<- error)
}

// serveStandin serves a stand-in on its address until the context ends or the process receives a signal to stop.
func serveStandin(ctx context.Context, address model.Address, server standinServer) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("stand-in on %s: %w", address, err)
		}
	}()
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	served := make(chan error, 1)
	finished := make(chan error, 1)
	go server.Run(background, finished)
	go standin.Serve(ctx, listener, server.Handler(), served)
	err = <-served
	cancel()
	<-finished
	return err
}
