package settings

import (
	"fmt"
	"strings"

	"redwingspread/internal/model"
)

// ParseRegions returns the region of each data centre, given as strings of the form centre=region.
func ParseRegions(entries []string) (regions map[model.DataCentreID]model.RegionID, err error) {
	regions = make(map[model.DataCentreID]model.RegionID, len(entries))
	for _, entry := range entries {
		if entry == "" {
			continue
		}
		centre, region, found := strings.Cut(entry, "=")
		if !found || centre == "" || region == "" {
			return nil, fmt.Errorf("settings: data-centres: %q is not centre=region", entry)
		}
		regions[model.DataCentreID(centre)] = model.RegionID(region)
	}
	return regions, nil
}
