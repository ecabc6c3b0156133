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

// newStandin returns the command that runs one of the stand-ins.
func newStandin() *cli.Command {
	return &cli.Command{
		Name:     "standin",
		Usage:    "run a stand-in of the outside",
		Commands: []*cli.Command{newStandinEndpoint(), newStandinPlatform()},
	}
}

// standinServer is background work that ends with the context and reports its end on done.
type standinServer interface {
	Handler() http.Handler
	Run(ctx context.Context, done chan<- error)
}

// serveStandin runs a stand-in on its address until the context ends.
func serveStandin(ctx context.Context, address model.Address, standIn standinServer) (err error) {
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
	working, cancel := context.WithCancel(context.WithoutCancel(ctx))
	served := make(chan error, 1)
	worked := make(chan error, 1)
	go standIn.Run(working, worked)
	go standin.Serve(ctx, listener, standIn.Handler(), served)
	err = <-served
	cancel()
	<-worked
	return err
}
