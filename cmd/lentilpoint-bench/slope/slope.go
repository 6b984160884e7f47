// Package slope measures the cost of each role of an entry host at several sizes of
// its driver, the quantity that the cost depends on, and fits a line through the
// results.
package slope

import (
	"context"
	"math"
	"runtime"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("slope")

// Point holds the figures that were measured at one size of the driver.
type Point struct {
	Driver  float64            `json:"driver"`
	Figures map[string]float64 `json:"figures"`
}

// Fit is the least squares line through the points of one figure.
type Fit struct {
	// Slope is the cost per unit of the driver, Intercept the cost at a driver of 0.
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"base"`
	// ResidualRMS is the root mean square of the residuals.
	ResidualRMS float64 `json:"spread"`
}

// Report is the result of one measurement. Fits has a line for each figure, and
// Duration is in seconds.
type Report struct {
	Name     string         `json:"name"`
	Seed     uint64         `json:"seed"`
	Driver   string         `json:"driver"`
	Excluded string         `json:"left_out"`
	Points   []Point        `json:"points"`
	Fits     map[string]Fit `json:"fits"`
	Duration float64        `json:"duration_s"`
}

// Measurement measures one role at several sizes of its driver.
type Measurement struct {
	Name        string
	Description string
	// Driver names the quantity that grows.
	Driver string
	// Excluded names costs that the measurement does not contain.
	Excluded string
	Sizes    []int
	// Measure returns the figures at one size by name.
	Measure func(ctx context.Context, size int, seed uint64) (map[string]float64, error)
}

// Run measures all sizes, one after another, and fits a line for each figure.
func Run(ctx context.Context, measurement Measurement, seed uint64) (Report, error) {
	started := time.Now()
	report := Report{
		Name: measurement.Name, Seed: seed, Driver: measurement.Driver, Excluded: measurement.Excluded, Fits: map[string]Fit{},
	}
	for _, size := range measurement.Sizes {
		figures, err := measurement.Measure(ctx, size, seed)
		if err != nil {
			return report, err
		}
		report.Points = append(report.Points, Point{Driver: float64(size), Figures: figures})
	}
	for name := range report.Points[0].Figures {
		report.Fits[name] = fitLine(report.Points, name)
	}
	report.Duration = time.Since(started).Seconds()
	return report, nil
}

// fitLine returns the least squares line of the figure with the name.
func fitLine(points []Point, name string) Fit {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, point := range points {
		x, y := point.Driver, point.Figures[name]
		n++
		sumX += x
		sumY += y
		sumXX += x * x
		sumXY += x * y
	}
	var line Fit
	if determinant := n*sumXX - sumX*sumX; determinant != 0 {
		line.Slope = (n*sumXY - sumX*sumY) / determinant
	}
	line.Intercept = (sumY - line.Slope*sumX) / n
	var squares float64
	for _, point := range points {
		distance := point.Figures[name] - line.Intercept - line.Slope*point.Driver
		squares += distance * distance
	}
	line.ResidualRMS = math.Sqrt(squares / n)
	return line
}

// cpuTime returns the user and system CPU time that this process has used, or 0 if it
// cannot be read.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
