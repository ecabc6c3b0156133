package cli

import (
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

// newLogger returns a logger that writes events of at least the given level to standard error, one JSON line each.
func newLogger(level string) log.Interface {
	return &log.Logger{Handler: json.New(os.Stderr), Level: log.MustParseLevel(level)}
}
