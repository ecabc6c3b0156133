package cli

import (
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

// newLogger returns a logger that writes one JSON line for each event of the level or above.
func newLogger(level string) log.Interface {
	return &log.Logger{Handler: json.New(os.Stderr), Level: log.MustParseLevel(level)}
}
