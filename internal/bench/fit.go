package bench

// Fit is a least-squares regression line.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// R2 is the coefficient of determination. It is 1 if y is constant.
	R2 float64 `json:"r2"`
}

// At returns the value of the line at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// FitLine fits a line to the points. At least two of them must differ in x.
func FitLine(x, y []float64) Fit {
	n := float64(len(x))
	var meanX, meanY float64
	for i := range x {
		meanX += x[i] / n
		meanY += y[i] / n
	}
	var xx, xy, yy float64
	for i := range x {
		dx, dy := x[i]-meanX, y[i]-meanY
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	f := Fit{Slope: xy / xx, R2: 1}
	f.Intercept = meanY - f.Slope*meanX
	if yy > 0 {
		f.R2 = xy * xy / (xx * yy)
	}
	return f
}
