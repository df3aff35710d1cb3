package fulmarbench

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fulmardrum/fulmardrum/internal/fulmarstandin"
)

const (
	// rolloutDistance is the time between two changes.
	rolloutDistance = 20 * time.Millisecond
	// rolloutLimit bounds one change.
	rolloutLimit    = 30 * time.Second
	rolloutDocument = `{"pools": {"pool": {"vms": 1}}}`
)

// runRollout measures the time from an operator's call to its answer, and to
// the moment at which every member follows the new generation.
func runRollout(ctx context.Context, o *options, out io.Writer) error {
	fleet, err := startLocalFleet(o.members, 1)
	defer fleet.close()
	if err != nil {
		return err
	}
	accepted := hdrhistogram.New(latencyLeast, latencyMost, latencyDigits)
	inForce := hdrhistogram.New(latencyLeast, latencyMost, latencyDigits)
	for i := range o.changes {
		if o.faults && i > 0 {
			fleet.platform.Faults().Set(faultOfRound(i))
		}
		start := time.Now()
		if err := fleet.change(ctx); err != nil {
			return err
		}
		_ = accepted.RecordValue(time.Since(start).Microseconds())
		fleet.awaitGeneration(ctx, int64(i+1))
		_ = inForce.RecordValue(time.Since(start).Microseconds())
		if i == 0 {
			if err := fleet.awaitWorkers(ctx); err != nil {
				return err
			}
		}
		time.Sleep(rolloutDistance)
	}
	printRollout(out, "accepted", accepted)
	printRollout(out, "in force", inForce)
	return nil
}

// faultOfRound takes the faults in turn: none, a lost answer, slow calls.
func faultOfRound(round int) fulmarstandin.FaultTable {
	switch round % 3 {
	case 1:
		return fulmarstandin.FaultTable{LoseAnswers: 1}
	case 2:
		return fulmarstandin.FaultTable{SlowMillis: 50}
	}
	return fulmarstandin.FaultTable{}
}

func (f *localFleet) change(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutLimit)
	defer cancel()
	_, err := f.apply(ctx, rolloutDocument, "measurement")
	return err
}

func (f *localFleet) awaitGeneration(ctx context.Context, generation int64) {
	for _, member := range f.members {
		for member.Record().Generation < generation && ctx.Err() == nil {
			time.Sleep(100 * time.Microsecond)
		}
	}
}

func printRollout(out io.Writer, name string, h *hdrhistogram.Histogram) {
	fmt.Fprintf(out, "%s: changes %d, p50 %.2f ms, p99 %.2f ms, longest %.2f ms\n", name, h.TotalCount(),
		float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000, float64(h.Max())/1000)
}
