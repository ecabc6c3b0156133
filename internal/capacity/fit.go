package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is a straight line fitted to measured points.
type Fit struct {
	Intercept float64 `json:"intercept"` // value at size 0
	Slope     float64 `json:"slope"`     // increase of the value per unit of size
	Residual  float64 `json:"residual"`  // root mean square error, in the unit of the values
	R2        float64 `json:"r2"`        // coefficient of determination
}

// NewFit fits a line to the values at the sizes by least squares.
func NewFit(sizes, values []float64) Fit {
	intercept, slope := stat.LinearRegression(sizes, values, nil, false)
	fit := Fit{Intercept: intercept, Slope: slope}
	var squares float64
	for i, size := range sizes {
		deviation := values[i] - fit.At(size)
		squares += deviation * deviation
	}
	fit.Residual = math.Sqrt(squares / float64(len(sizes)))
	fit.R2 = stat.RSquared(sizes, values, nil, intercept, slope)
	if math.IsNaN(fit.R2) {
		fit.R2 = 1 // all values are equal and on the line
	}
	return fit
}

// At returns the value of the line at a size.
func (f Fit) At(size float64) float64 {
	return f.Intercept + f.Slope*size
}
