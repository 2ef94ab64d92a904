package command

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"plovershore/internal/faultlab/capacity"
)

// benchScale returns the command that measures what each role costs at several sizes.
func benchScale() *cobra.Command {
	o := capacity.Options{}
	var file string
	c := &cobra.Command{Use: "scale", Short: "What each role costs at several sizes, as slopes up to the target size", Args: exactArgs(0),
		Long: "What each role costs at several sizes, as slopes up to the target size.\n\nJobs: " + strings.Join(capacity.Names(), ", "),
		RunE: func(c *cobra.Command, _ []string) (err error) {
			if err := resolveBenchPrograms(&o); err != nil {
				return err
			}
			o.Out, o.Printf = benchOutput(c, o.Out, "scale")
			result, err := capacity.Run(c.Context(), o)
			if result == nil {
				return usageError{err}
			}
			if file == "" {
				file = filepath.Join(o.Out, "bench.json")
			}
			return errors.Join(result.Table(c.OutOrStdout()), result.Save(file), err)
		}}
	c.Flags().StringSliceVar(&o.Only, "only", nil, "these jobs alone")
	c.Flags().IntSliceVar(&o.Sizes, "sizes", nil, "in place of each job's own")
	c.Flags().IntVar(&o.Plays, "plays", 3, "runs of each size")
	c.Flags().BoolVar(&o.Smoke, "smoke", false, "small sizes, one play: whether it works, not what it costs")
	c.Flags().StringVar(&file, "json", "", "file of the measurements, for compare (default: bench.json in the folder)")
	c.Flags().StringVar(&o.Out, "out", "", "folder, on the disk that is measured (default: lab-out/bench-scale-TIME)")
	c.Flags().StringVar(&o.Relay, "relay", "", "the relay's program (default: relay beside this one)")
	c.Flags().StringVar(&o.Registry, "registry", "", "the list service's program (default: registry beside this one)")
	addControllerFlags(c, &o.Controller)
	return c
}

// resolveBenchPrograms resolves the paths of the programs, with defaults for those that no flag
// names.
func resolveBenchPrograms(o *capacity.Options) error {
	for _, program := range []struct {
		path        *string
		defaultName string
		flag        string
	}{{&o.Relay, "relay", "relay"}, {&o.Registry, "registry", "registry"}, {&o.Controller, "controller", "controller"}} {
		path, err := findProgram(*program.path, program.defaultName, program.flag)
		if err != nil {
			return err
		}
		*program.path = path
	}
	return nil
}

// compareScale sets the slopes of two files of benchScale side by side; isCapacity is
// false if either file is not one of benchScale.
func compareScale(w io.Writer, pathA, pathB string) (isCapacity bool, err error) {
	a, errA := capacity.Load(pathA)
	b, errB := capacity.Load(pathB)
	if errA != nil || errB != nil {
		return false, nil
	}
	byKey := map[string]*capacity.Measurement{}
	for i := range b.Capacity {
		byKey[b.Capacity[i].Key()] = &b.Capacity[i]
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "quantity\tunit\tslope in %s\tslope in %s\tB/A\tat the target\tB\n", pathA, pathB)
	for i := range a.Capacity {
		measurement := &a.Capacity[i]
		other, ok := byKey[measurement.Key()]
		if !ok {
			continue
		}
		ratio := "-"
		if measurement.Slope != 0 {
			ratio = fmt.Sprintf("%.3f", other.Slope/measurement.Slope)
		}
		fmt.Fprintf(table, "%s\t%s\t%.4g (%.4g to %.4g)\t%.4g (%.4g to %.4g)\t%s\t%.4g\t%.4g\n", measurement.Key(), measurement.Unit,
			measurement.Slope, measurement.SlopeMin, measurement.SlopeMax, other.Slope, other.SlopeMin, other.SlopeMax, ratio, measurement.WithBase, other.WithBase)
	}
	return true, table.Flush()
}
