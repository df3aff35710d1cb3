package fulmarfleet

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/google/uuid"

	"github.com/fulmardrum/fulmardrum/internal/fulmarassign"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
)

// AssignOnce plans the assignments from the current view and commits them by
// compare-and-swap. Any member may call it at any time: the revision fences the
// write, and only the first member by name tries, so that members rarely race.
func (f *Fleet) AssignOnce(ctx context.Context, store fulmarplatform.Store, self string) {
	view := f.View()
	members := view.Members()
	isFirst := len(members) > 0 && members[0].Name == self
	if !isFirst || view.record.Generation == 0 || view.vms.Version == 0 {
		return
	}
	next, changed := fulmarassign.Plan(view.table, view.vms.VMs, view.record.Document)
	if !changed {
		return
	}
	next.WriteID = uuid.NewString()
	value, err := next.Encode()
	if err != nil {
		f.logger.Error("the assignments cannot be encoded", "error", err)
		return
	}
	swap := fulmarplatform.Swap{
		Key: fulmarassign.TableKey, Expected: view.tableRevision, Value: value,
		Included: func(stored []byte) bool { return hasWriteID(stored, next.WriteID) },
	}
	_, err = fulmarplatform.SwapSettled(ctx, f.clock, store, swap)
	var conflict *fulmarplatform.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		f.failures.PlatformFailure("assign")
	}
}

func hasWriteID(stored []byte, id string) bool {
	var table fulmarassign.Table
	return json.Unmarshal(stored, &table) == nil && table.WriteID == id
}
