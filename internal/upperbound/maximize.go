package upperbound

// constraint is an upper limit on a weighted sum of the variables.
type constraint struct {
	weights []float64
	limit   float64 // not negative
}

// tolerance is the size below which a coefficient counts as zero, since floating-point operations leave rests.
const tolerance = 1e-9

// maximize returns values of the variables, none below zero, that meet the constraints and have the greatest sum weighted by gains.
//
// It is the simplex method. Bland's rule, the first variable that gains, keeps it from going round in circles. Each variable has to be
// limited by a constraint.
func maximize(gains []float64, constraints []constraint) []float64 {
	n, m := len(gains), len(constraints)
	rows := make([][]float64, m+1) // of the constraints, each with a slack variable and its limit; the last row has the gains
	basis := make([]int, m)        // variable that each row stands for
	for i, c := range constraints {
		rows[i] = make([]float64, n+m+1)
		copy(rows[i], c.weights)
		rows[i][n+i], rows[i][n+m] = 1, c.limit
		basis[i] = n + i
	}
	rows[m] = make([]float64, n+m+1)
	for j, gain := range gains {
		rows[m][j] = -gain
	}
	for {
		column := entering(rows[m][:n+m])
		if column < 0 {
			break
		}
		row := leaving(rows[:m], basis, column)
		if row < 0 {
			break // unlimited, which the caller excludes
		}
		pivot(rows, row, column)
		basis[row] = column
	}
	values := make([]float64, n)
	for i, variable := range basis {
		if variable < n {
			values[variable] = max(rows[i][n+m], 0) // rounding can leave a tiny negative rest
		}
	}
	return values
}

// entering returns the first variable that gains, or -1.
func entering(gains []float64) int {
	for j, gain := range gains {
		if gain < -tolerance {
			return j
		}
	}
	return -1
}

// leaving returns the row that limits the variable most, or -1.
func leaving(rows [][]float64, basis []int, column int) int {
	best, least := -1, 0.0
	for i, row := range rows {
		if row[column] <= tolerance {
			continue
		}
		ratio := row[len(row)-1] / row[column]
		if best < 0 || ratio < least || (ratio == least && basis[i] < basis[best]) {
			best, least = i, ratio
		}
	}
	return best
}

// pivot expresses the other rows by the variable of a column.
func pivot(rows [][]float64, row, column int) {
	divisor := rows[row][column]
	for j := range rows[row] {
		rows[row][j] /= divisor
	}
	for i := range rows {
		factor := rows[i][column]
		if i == row || factor == 0 {
			continue
		}
		for j := range rows[i] {
			rows[i][j] -= factor * rows[row][j]
		}
	}
}
