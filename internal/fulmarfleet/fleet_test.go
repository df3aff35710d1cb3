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

// scriptedPlatform gives its watch answers in turn and then waits.
type scriptedPlatform struct {
	answers chan fulmarplatform.Changes
	taken   chan struct{}
}

func (p *scriptedPlatform) Watch(ctx context.Context, _ string, _ fulmarplatform.Revision, _ fulmarclock.Millis) (fulmarplatform.Changes, error) {
	select {
	case p.taken <- struct{}{}:
	case <-ctx.Done():
	}
	select {
	case changes := <-p.answers:
		return changes, nil
	case <-ctx.Done():
		return fulmarplatform.Changes{}, ctx.Err()
	}
}

func (p *scriptedPlatform) VMs(context.Context, int64) (fulmarplatform.VMList, bool, error) {
	return fulmarplatform.VMList{}, false, nil
}

type noFailures struct{}

func (noFailures) PlatformFailure(string) {}

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

// TestViewNeverGoesBack gives a fleet late and broken news in every order that can occur.
func TestViewNeverGoesBack(t *testing.T) {
	cases := []struct {
		name    string
		learned int64
		watched []int64
		want    int64
	}{
		{"watch after learning", 5, []int64{4}, 5},
		{"watch twice", 0, []int64{6, 5}, 6},
		{"watch newer", 5, []int64{7}, 7},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			platform := &scriptedPlatform{answers: make(chan fulmarplatform.Changes), taken: make(chan struct{})}
			fleet := fulmarfleet.New(platform, fulmarclock.NewSystem(), log.New(io.Discard), noFailures{}, 1000, 1000)
			c.Assert(fleet.LearnRecord(fulmarconfig.Record{Generation: tc.learned}), qt.Equals, tc.learned > 0)
			c.Assert(fleet.LearnRecord(fulmarconfig.Record{Generation: tc.learned - 1}), qt.IsFalse)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				fleet.Watch(ctx)
			}()
			<-platform.taken
			for _, generation := range tc.watched {
				platform.answers <- fulmarplatform.Changes{Entries: []fulmarplatform.Entry{recordEntry(c, generation)}}
				<-platform.taken
			}
			broken := fulmarplatform.Entry{Key: fulmarconfig.RecordKey, Value: []byte("{"), Revision: 99}
			platform.answers <- fulmarplatform.Changes{Entries: []fulmarplatform.Entry{broken, tableEntry(c, 8, "new")}}
			<-platform.taken
			platform.answers <- fulmarplatform.Changes{Entries: []fulmarplatform.Entry{tableEntry(c, 7, "old")}}
			<-platform.taken
			cancel()
			<-done
			c.Assert(fleet.View().Record().Generation, qt.Equals, tc.want)
			table, _ := fleet.View().Table()
			c.Assert(table.VMs["vm"].Pool, qt.Equals, "new")
		})
	}
}
