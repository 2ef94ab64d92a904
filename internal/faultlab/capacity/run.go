package capacity

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

const smokeParallelJobs = 4 // jobs that a smoke run has running at a time

// Options select the jobs to run and name the programs to measure.
type Options struct {
	Only  []string // names of the jobs to run; empty for all
	Sizes []int    // sizes for all jobs; empty for each job's own sizes
	Plays int      // repetitions at each size, at least 1
	Smoke bool     // runs small sizes once and briefly, to test that the jobs work; the figures mean nothing
	// Relay, Registry and Controller are the paths of the programs that jobs start.
	Relay      string
	Registry   string
	Controller string
	Out        string // directory in which each run creates its temporary directory
	Printf     func(format string, args ...any)
}

// job measures some quantities at several sizes: each call of run returns one value for
// each quantity.
type job struct {
	name       string
	sizes      []int
	smoke      []int
	quantities []Quantity
	run        func(ctx context.Context, e *environment, size int) ([]float64, error)
}

// environment is what one run of a job gets from its caller.
type environment struct {
	Options
	dir string // directory of this run, removed when the run has ended
}

// scaled returns smoke in a smoke run and full in any other.
func scaled[T any](e *environment, smoke, full T) T {
	if e.Smoke {
		return smoke
	}
	return full
}

// jobs returns all jobs, grouped by the role that they measure.
func jobs() []job {
	return slices.Concat(listJobs(), policyJobs(), relayJobs(), registryJobs(), agentJobs(), controllerJobs())
}

// Names returns the names of all jobs.
func Names() (names []string) {
	for _, j := range jobs() {
		names = append(names, j.name)
	}
	return names
}

// Run runs the selected jobs. A job that fails, or whose measurements do not pass Check,
// is listed with its error in the result's Notes, and the other jobs still run; the
// returned error joins those of all such jobs. Jobs run one after another, so that none
// affects the figures of another; only a smoke run, whose figures are not kept, runs
// several at a time.
func Run(ctx context.Context, o Options) (*Result, error) {
	selected, err := selectJobs(o.Only)
	if err != nil {
		return nil, err
	}
	measured, errs := make([][]Measurement, len(selected)), make([]error, len(selected))
	var group errgroup.Group
	group.SetLimit(1)
	if o.Smoke {
		group.SetLimit(smokeParallelJobs)
	}
	for i, j := range selected {
		group.Go(func() error {
			began := time.Now()
			measured[i], errs[i] = j.measure(ctx, o)
			for k := range measured[i] {
				errs[i] = errors.Join(errs[i], measured[i][k].Check())
			}
			if errs[i] != nil {
				errs[i] = fmt.Errorf("capacity: %s: %w", j.name, errs[i])
			}
			o.Printf("# %s took %.0f s", j.name, time.Since(began).Seconds())
			return nil
		})
	}
	group.Wait()
	result := &Result{}
	for i := range selected {
		result.Capacity = append(result.Capacity, measured[i]...)
		if errs[i] != nil {
			result.Notes = append(result.Notes, errs[i].Error())
		}
	}
	return result, errors.Join(errs...)
}

// selectJobs returns the jobs with the given names, or all jobs if there are no names. An
// unknown name is an error.
func selectJobs(names []string) (selected []job, err error) {
	for _, name := range names {
		if !slices.Contains(Names(), name) {
			return nil, fmt.Errorf("capacity: no job %q; there are %s", name, strings.Join(Names(), ", "))
		}
	}
	for _, j := range jobs() {
		if len(names) == 0 || slices.Contains(names, j.name) {
			selected = append(selected, j)
		}
	}
	return selected, nil
}

// measure runs a job at its sizes, in order, until one fails. It returns the measurements
// of the sizes before that one, if there are at least two, together with the error.
func (j *job) measure(ctx context.Context, o Options) ([]Measurement, error) {
	sizes, plays := j.sizes, max(o.Plays, 1)
	if o.Smoke {
		sizes, plays = j.smoke, 1
	}
	if len(o.Sizes) > 0 {
		sizes = o.Sizes
	}
	measurements := make([]Measurement, len(j.quantities))
	for i, q := range j.quantities {
		measurements[i] = Measurement{Job: j.name, Quantity: q}
	}
	var failure error
	for _, size := range sizes {
		values, err := j.measureSize(ctx, o, size, plays)
		if err != nil {
			failure = fmt.Errorf("at %d: %w", size, err)
			break
		}
		for i := range measurements {
			measurements[i].Sizes = append(measurements[i].Sizes, float64(size))
			measurements[i].Values = append(measurements[i].Values, values[i])
		}
	}
	if len(measurements[0].Sizes) < 2 {
		return nil, failure
	}
	for i := range measurements {
		measurements[i].fit()
	}
	return measurements, failure
}

// measureSize runs a job plays times at one size and returns the values of each quantity.
func (j *job) measureSize(ctx context.Context, o Options, size, plays int) ([][]float64, error) {
	values := make([][]float64, len(j.quantities))
	for range plays {
		runValues, err := j.runOnce(ctx, o, size)
		if err != nil {
			return nil, err
		}
		for i, v := range runValues {
			values[i] = append(values[i], v)
		}
	}
	for i, q := range j.quantities {
		o.Printf("%-16s %-52s %9d  %s %s", j.name, q.Name, size, formatValues(values[i]), q.Unit)
	}
	return values, nil
}

// runOnce runs a job once at one size, with a new directory, and returns one value for
// each quantity.
func (j *job) runOnce(ctx context.Context, o Options, size int) ([]float64, error) {
	if err := os.MkdirAll(o.Out, 0o755); err != nil {
		return nil, fmt.Errorf("folder: %w", err)
	}
	dir, err := os.MkdirTemp(o.Out, j.name+"-")
	if err != nil {
		return nil, fmt.Errorf("folder: %w", err)
	}
	defer os.RemoveAll(dir)
	if dir, err = filepath.Abs(dir); err != nil {
		return nil, fmt.Errorf("folder: %w", err)
	}
	values, err := j.run(ctx, &environment{Options: o, dir: dir}, size)
	if err == nil && len(values) != len(j.quantities) {
		err = fmt.Errorf("%d values of %d quantities", len(values), len(j.quantities))
	}
	return values, err
}

func formatValues(values []float64) string {
	var texts []string
	for _, v := range values {
		texts = append(texts, fmt.Sprintf("%.5g", v))
	}
	return strings.Join(texts, " ")
}
