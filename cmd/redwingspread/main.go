// Command redwingspread is a database proxy with session consistency.
package main

import (
	"context"
	"os"

	"redwingspread/internal/cli"
)

func main() {
	os.Exit(cli.Run(context.Background(), os.Args))
}
