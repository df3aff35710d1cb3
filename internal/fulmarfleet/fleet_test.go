package fulmarfleet_test

import (
	"context"
	"io"
	"testing"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarassign"
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarconfig"
	"github.com/fulmardrum/fulmardrum/internal/fulmarfleet"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
)

// scriptedPlatform returns the queued responses to watches in order and then blocks.
type scriptedPlatform struct {
	responses chan fulmarplatform.Changes
	// watchStarted receives at the start of each watch.
	watchStarted chan struct{}
}

func (p *scriptedPlatform) Watch(ctx context.Context, _ string, _ fulmarplatform.Revision, _ fulmarclock.Millis) (fulmarplatform.Changes, error) {
	select {
	case p.watchStarted <- struct{}{}:
	case <-ctx.Done():
	}
	select {
	case changes := <-p.responses:
		return changes, nil
	case <-ctx.Done():
		return fulmarplatform.Changes{}, ctx.Err()
	}
}

func (p *scriptedPlatform) VMs(context.Context, int64) (fulmarplatform.VMList, bool, error) {
	return fulmarplatform.VMList{}, false, nil
}

type discardFailures struct{}

func (discardFailures) PlatformFailure(string) {}

func recordEntry(c *qt.C, generation int64) fulmarplatform.Entry {
	value, err := fulmarconfig.Record{Generation: generation}.Encode()
	c.Assert(err, qt.IsNil)
	return fulmarplatform.Entry{Key: fulmarconfig.RecordKey, Value: value, Revision: fulmarplatform.Revision(generation)}
}

func tableEntry(c *qt.C, revision fulmarplatform.Revision, pool string) fulmarplatform.Entry {
	value, err := fulmarassign.Table{VMs: map[string]fulmarassign.Assignment{"vm": {Pool: pool}}}.Encode()
	c.Assert(err, qt.IsNil)
	return fulmarplatform.Entry{Key: fulmarassign.TableKey, Value: value, Revision: revision}
}

// TestViewNeverGoesBack delivers stale and malformed updates in different orders
// and checks that the view keeps the newest configuration and assignments.
func TestViewNeverGoesBack(t *testing.T) {
	cases := []struct {
		name    string
		merged  int64
		watched []int64
		want    int64
	}{
		{"older record from the watch", 5, []int64{4}, 5},
		{"two records out of order", 0, []int64{6, 5}, 6},
		{"newer record from the watch", 5, []int64{7}, 7},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			platform := &scriptedPlatform{responses: make(chan fulmarplatform.Changes), watchStarted: make(chan struct{})}
			fleet := fulmarfleet.New(platform, fulmarclock.NewSystem(), log.New(io.Discard), discardFailures{}, 1000, 1000)
			c.Assert(fleet.MergeRecord(fulmarconfig.Record{Generation: tc.merged}), qt.Equals, tc.merged > 0)
			c.Assert(fleet.MergeRecord(fulmarconfig.Record{Generation: tc.merged - 1}), qt.IsFalse)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				fleet.Watch(ctx)
			}()
			<-platform.watchStarted
			for _, generation := range tc.watched {
				platform.responses <- fulmarplatform.Changes{Entries: []fulmarplatform.Entry{recordEntry(c, generation)}}
				<-platform.watchStarted
			}
			broken := fulmarplatform.Entry{Key: fulmarconfig.RecordKey, Value: []byte("{"), Revision: 99}
			platform.responses <- fulmarplatform.Changes{Entries: []fulmarplatform.Entry{broken, tableEntry(c, 8, "new")}}
			<-platform.watchStarted
			platform.responses <- fulmarplatform.Changes{Entries: []fulmarplatform.Entry{tableEntry(c, 7, "old")}}
			<-platform.watchStarted
			cancel()
			<-done
			c.Assert(fleet.View().Record().Generation, qt.Equals, tc.want)
			table, _ := fleet.View().Table()
			c.Assert(table.VMs["vm"].Pool, qt.Equals, "new")
		})
	}
}

// olderList responds to each poll of the VM list with version 3, as a response that was on its
// way while a peer sent a newer list.
type olderList struct {
	scriptedPlatform
	polled chan struct{}
}

func (l *olderList) VMs(ctx context.Context, _ int64) (fulmarplatform.VMList, bool, error) {
	select {
	case l.polled <- struct{}{}:
	case <-ctx.Done():
	}
	return fulmarplatform.VMList{Version: 3}, true, nil
}

// TestPolledVMListDoesNotReplaceNewerOne polls an older list than the one that a peer has sent.
func TestPolledVMListDoesNotReplaceNewerOne(t *testing.T) {
	c := qt.New(t)
	platform := &olderList{polled: make(chan struct{})}
	clock := fulmarclock.NewManual(0)
	fleet := fulmarfleet.New(platform, clock, log.New(io.Discard), discardFailures{}, 1000, 1000)
	fleet.MergeVMs(fulmarplatform.VMList{Version: 4, VMs: []fulmarplatform.VM{{ID: "vm"}}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		fleet.PollVMs(ctx)
	}()
	<-platform.polled
	cancel()
	<-done
	c.Assert(fleet.View().VMs().Version, qt.Equals, int64(4))
	c.Assert(fleet.View().VMs().VMs, qt.HasLen, 1)
}
