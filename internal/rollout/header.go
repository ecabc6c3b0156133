package rollout

import (
	"time"

	"redwingspread/internal/config"
	"redwingspread/internal/model"
)

// Header is one accepted configuration: its version, which only grows, who wrote it and where its document is.
type Header struct {
	Version model.Version
	Nonce   model.Nonce
	Object  model.ObjectName
	Author  config.Author
	Time    time.Time
}
