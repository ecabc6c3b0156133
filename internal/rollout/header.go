package rollout

import (
	"time"

	"redwingspread/internal/config"
	"redwingspread/internal/model"
)

// Header describes an accepted configuration; the configuration itself is the document in its object.
type Header struct {
	Version model.Version    // grows with each accepted configuration
	Nonce   model.Nonce      // of the attempt that was accepted
	Object  model.ObjectName // that holds the document
	Author  config.Author    // who made the change
	Time    time.Time        // of the change
}
