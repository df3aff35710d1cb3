package fulmardaemon_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarconfig"
)

// TestConfigurationAppliesWhenItsSchedulersRun guards against a member that uses a
// configuration before its schedulers run: callers of a new pool then got
// unknown-pool.
func TestConfigurationAppliesWhenItsSchedulersRun(t *testing.T) {
	t.Parallel()
	f := startFleet(qt.New(t), 1, 0)
	defer f.close()
	m := f.members[0]
	document := fulmarconfig.Document{Pools: map[string]fulmarconfig.Pool{"q": {VMs: 1}}}
	m.daemon.MergeRecord(fulmarconfig.Record{Generation: 1 << 40, Document: document})
	for range 1000 {
		if m.daemon.Record().Generation == 1<<40 {
			f.c.Assert(m.daemon.HasScheduler("q"), qt.IsTrue)
		}
	}
	m.daemon.Apply()
	f.c.Assert(m.daemon.HasScheduler("q"), qt.IsTrue)
	f.c.Assert(m.daemon.Record().Generation, qt.Equals, fulmarconfig.Record{Generation: 1 << 40}.Generation)
}
