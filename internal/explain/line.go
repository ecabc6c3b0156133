package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"redwingspread/internal/event"
	"redwingspread/internal/failover"
	"redwingspread/internal/model"
)

// maxLineBytes is the limit on the length of a line; hosts write far shorter ones.
const maxLineBytes = 1 << 20

// Line is one log line of a host, with the fields from which a cause can be derived.
type Line struct {
	Source   string           `json:"-"` // host that logged the line
	Raw      string           `json:"-"` // line as JSON, as it was logged
	Time     time.Time        `json:"time"`
	Event    event.Number     `json:"event"`
	Message  string           `json:"message"`
	Request  model.RequestID  `json:"request"`
	Kind     model.KindID     `json:"kind"`
	Code     model.Code       `json:"code"`
	Reason   string           `json:"reason"`
	Instance model.InstanceID `json:"instance"`
	Database model.DatabaseID `json:"database"`
	State    failover.State   `json:"state"`
	Version  model.Version    `json:"version"`
}

// Read returns the log lines in one log and the number of lines that were skipped because they are no log lines.
//
// Log collectors write a prefix before the JSON of a line; its last word is the source of the line. Without a prefix, the source is
// the given name.
func Read(source string, log io.Reader) (lines []Line, skipped int, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("explain: log %s: %w", source, err)
		}
	}()
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		prefix, body, found := bytes.Cut(scanner.Bytes(), []byte("{"))
		line := Line{Source: source, Raw: "{" + string(body)}
		if !found || json.Unmarshal([]byte(line.Raw), &line) != nil || line.Event == 0 {
			skipped++
			continue
		}
		if words := strings.Fields(string(prefix)); len(words) > 0 {
			line.Source = words[len(words)-1]
		}
		lines = append(lines, line)
	}
	return lines, skipped, scanner.Err()
}
