package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"redwingspread/internal/model"
	"redwingspread/internal/upperbound"
)

// sizesFile is the file of sizes. Times are written with their units, such as 6.8ms.
type sizesFile struct {
	Databases   int         `yaml:"databases"`
	Instances   int         `yaml:"instances"`
	Slots       int         `yaml:"slots"`
	Connections int         `yaml:"connections"`
	Trip        span        `yaml:"trip"`
	Kinds       []sizeKind  `yaml:"kinds"`
	Phases      []sizePhase `yaml:"phases"`
}

// sizeKind is a kind of work in the file.
type sizeKind struct {
	Name     string  `yaml:"name"`
	Rate     float64 `yaml:"rate"`
	Work     span    `yaml:"work"`
	Writes   float64 `yaml:"writes"`
	Goal     span    `yaml:"goal"`
	Deadline span    `yaml:"deadline"`
	Value    float64 `yaml:"value"`
	Late     float64 `yaml:"late"`
}

// sizePhase is a phase in the file.
type sizePhase struct {
	Name   string             `yaml:"name"`
	Start  span               `yaml:"start"`
	Length span               `yaml:"length"`
	Factor map[string]float64 `yaml:"factor"`
	Lost   int                `yaml:"lost"`
	Slow   int                `yaml:"slow"`
	Times  float64            `yaml:"times"` // how many times longer the work of a slow instance takes
}

// span is a time with its unit.
type span time.Duration

// UnmarshalText reads a time.
func (s *span) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*s = span(parsed)
	return err
}

// readSizes reads and checks a file of sizes.
func readSizes(path string) (sizes upperbound.Sizes, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("sizes %s: %w", path, err)
		}
	}()
	text, err := os.ReadFile(path)
	if err != nil {
		return sizes, err
	}
	var file sizesFile
	if err := yaml.UnmarshalWithOptions(text, &file, yaml.Strict()); err != nil {
		return sizes, errors.New(yaml.FormatError(err, false, false))
	}
	sizes = file.sizes()
	return sizes, sizes.Check()
}

// sizes returns the sizes in the file.
func (f sizesFile) sizes() upperbound.Sizes {
	sizes := upperbound.Sizes{
		Databases: f.Databases, Instances: f.Instances, Slots: model.Slots(f.Slots), Connections: model.Connections(f.Connections),
		Trip: time.Duration(f.Trip),
	}
	for _, k := range f.Kinds {
		sizes.Kinds = append(sizes.Kinds, upperbound.Kind{
			Name: model.KindID(k.Name), Rate: model.Rate(k.Rate), Work: time.Duration(k.Work), Writes: k.Writes,
			Goal: time.Duration(k.Goal), Deadline: time.Duration(k.Deadline), Value: k.Value, Late: k.Late,
		})
	}
	for _, p := range f.Phases {
		phase := upperbound.Phase{
			Name: p.Name, Start: time.Duration(p.Start), Length: time.Duration(p.Length), Factor: make(map[model.KindID]float64, len(p.Factor)),
			Lost: p.Lost, Slow: p.Slow, Slowness: p.Times,
		}
		for kind, factor := range p.Factor {
			phase.Factor[model.KindID(kind)] = factor
		}
		sizes.Phases = append(sizes.Phases, phase)
	}
	return sizes
}

// printBounds prints the upper bounds of sizes.
func printBounds(w io.Writer, sizes upperbound.Sizes, output string) error {
	report := sizes.Calculate()
	if output == formatJSON {
		return printJSON(w, report)
	}
	t := newTable(w, "PHASE", "BEGINS", "LENGTH", "SLOTS", "PRIMARIES' SLOTS", "CONNECTIONS", "BOTTLENECK", "VALUE")
	shares := newTable(w, "PHASE", "KIND", "ARRIVED", "IN TIME", "LATE", "NEITHER")
	for _, result := range append(report.Phases, report.Total) {
		row := []string{result.Name, fmt.Sprintf("%g s", result.Start), fmt.Sprintf("%g s", result.Length)}
		for _, use := range result.Uses {
			row = append(row, fmt.Sprintf("%.1f of %.1f", use.Demand, use.Capacity))
		}
		t.add(append(row, string(result.Bottleneck), percent(result.Value))...)
		for _, share := range result.Shares {
			shares.add(result.Name, string(share.Kind), fmt.Sprintf("%.0f", share.Arrived), percent(share.InTime), percent(share.Late),
				percent(max(1-share.InTime-share.Late, 0)))
		}
	}
	if err := t.print(); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(w); err != nil {
		return err
	}
	return shares.print()
}

// percent returns a share as text.
func percent(share float64) string { return fmt.Sprintf("%.1f %%", 100*share) }
