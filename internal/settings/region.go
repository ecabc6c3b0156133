package settings

import (
	"fmt"
	"strings"

	"redwingspread/internal/model"
)

// ParseRegions reads the regions of data centres from texts of the form centre=region.
func ParseRegions(texts []string) (regions map[model.DataCentreID]model.RegionID, err error) {
	regions = make(map[model.DataCentreID]model.RegionID, len(texts))
	for _, text := range texts {
		if text == "" {
			continue
		}
		centre, region, found := strings.Cut(text, "=")
		if !found || centre == "" || region == "" {
			return nil, fmt.Errorf("settings: data-centres: %q is not centre=region", text)
		}
		regions[model.DataCentreID(centre)] = model.RegionID(region)
	}
	return regions, nil
}
