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
	// rolloutInterval is the time between two changes.
	rolloutInterval = 20 * time.Millisecond
	// rolloutTimeout is the timeout of one change.
	rolloutTimeout       = 30 * time.Second
	rolloutConfiguration = `{"pools": {"pool": {"vms": 1}}}`
)

// runRollout measures the time from an operator's request until its response, and until
// every member has applied the new generation.
func runRollout(ctx context.Context, o *options, out io.Writer) error {
	fleet, err := startLocalFleet(o.members, 1)
	defer fleet.close()
	if err != nil {
		return err
	}
	accepted := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)
	applied := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits)
	for i := range o.changes {
		if o.faults && i > 0 {
			fleet.platform.Faults().Set(faultForChange(i))
		}
		start := time.Now()
		if err := fleet.applyChange(ctx); err != nil {
			return err
		}
		_ = accepted.RecordValue(time.Since(start).Microseconds())
		fleet.awaitGeneration(ctx, int64(i+1))
		_ = applied.RecordValue(time.Since(start).Microseconds())
		if i == 0 {
			if err := fleet.awaitWorkers(ctx); err != nil {
				return err
			}
		}
		time.Sleep(rolloutInterval)
	}
	printRollout(out, "accepted", accepted)
	printRollout(out, "applied by every member", applied)
	return nil
}

// faultForChange cycles through the faults: none, a lost response, delayed calls.
func faultForChange(change int) fulmarstandin.FaultTable {
	switch change % 3 {
	case 1:
		return fulmarstandin.FaultTable{LoseResponses: 1}
	case 2:
		return fulmarstandin.FaultTable{DelayMillis: 50}
	}
	return fulmarstandin.FaultTable{}
}

func (f *localFleet) applyChange(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	_, err := f.apply(ctx, rolloutConfiguration, "measurement")
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
