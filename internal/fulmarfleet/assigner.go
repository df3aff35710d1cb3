package fulmarfleet

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/google/uuid"

	"github.com/fulmardrum/fulmardrum/internal/fulmarassign"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
)

// AssignOnce plans the assignments of VMs to pools from the current view and
// commits changes by compare-and-swap. Any member may call it at any time: only
// the planner writes, and the expected revision makes concurrent writes fail.
func (f *Fleet) AssignOnce(ctx context.Context, store fulmarplatform.Store, self string) {
	view := f.View()
	if !view.IsPlanner(self) || view.record.Generation == 0 || view.vms.Version == 0 {
		return
	}
	next, changed := fulmarassign.Plan(view.table, view.vms.VMs, view.record.Document)
	if !changed {
		return
	}
	next.WriteID = uuid.NewString()
	if err := f.CommitTable(ctx, store, next, view.tableRevision); err != nil {
		f.failures.PlatformFailure("assign")
	}
}

// CommitTable writes the assignments if the stored ones are still at the given
// revision, and adopts them into the view. A conflicting write of another member
// is no error: the watch delivers it, and the next round plans from it.
func (f *Fleet) CommitTable(ctx context.Context, store fulmarplatform.Store, table fulmarassign.Table, revision fulmarplatform.Revision) error {
	value, err := table.Encode()
	if err != nil {
		return err
	}
	entry, err := fulmarplatform.SwapWithRetry(ctx, f.clock, store, fulmarplatform.Swap{
		Key: fulmarassign.TableKey, Expected: revision, Value: value,
		Contains: func(stored []byte) bool { return hasWriteID(stored, table.WriteID) },
	})
	var conflict *fulmarplatform.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	if err != nil {
		return err
	}
	return f.MergeTable(entry.Value, entry.Revision)
}

func hasWriteID(stored []byte, id string) bool {
	var table fulmarassign.Table
	return json.Unmarshal(stored, &table) == nil && table.WriteID == id
}
