package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is a straight line through measured points.
type Fit struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	Residual  float64 `json:"residual"` // root mean square of the distances, in the unit of the figure
	R2        float64 `json:"r2"`
}

// NewFit returns the line with the least squares of the distances.
func NewFit(sizes, figures []float64) Fit {
	intercept, slope := stat.LinearRegression(sizes, figures, nil, false)
	fit := Fit{Intercept: intercept, Slope: slope}
	var squares float64
	for i, size := range sizes {
		distance := figures[i] - fit.At(size)
		squares += distance * distance
	}
	fit.Residual = math.Sqrt(squares / float64(len(sizes)))
	fit.R2 = stat.RSquared(sizes, figures, nil, intercept, slope)
	if math.IsNaN(fit.R2) {
		fit.R2 = 1 // all figures are equal and on the line
	}
	return fit
}

// At returns the line's figure at a size.
func (f Fit) At(size float64) float64 {
	return f.Intercept + f.Slope*size
}
