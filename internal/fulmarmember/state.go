package fulmarmember

import (
	"encoding/json"

	"github.com/gravitational/trace"

	"github.com/fulmardrum/fulmardrum/internal/fulmarconfig"
	"github.com/fulmardrum/fulmardrum/internal/fulmarfleet"
	"github.com/fulmardrum/fulmardrum/internal/fulmarmember/fulmarpeerpb"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
)

// hasUpdates reports whether a peer's digest names a newer configuration generation or
// assignments revision than a view.
func hasUpdates(digest *fulmarpeerpb.Digest, view *fulmarfleet.View) bool {
	_, revision := view.Table()
	return digest.GetGeneration() > view.Record().Generation || digest.GetTableRevision() > int64(revision)
}

// stateRequest returns a request for what is newer than a view. wantsVMs also asks for
// the VM list.
func stateRequest(view *fulmarfleet.View, wantsVMs bool) *fulmarpeerpb.StateRequest {
	_, revision := view.Table()
	return &fulmarpeerpb.StateRequest{
		Generation: view.Record().Generation, TableRevision: int64(revision),
		VmsVersion: view.VMs().Version, WantsVms: wantsVMs,
	}
}

// stateSince returns the parts of a view that are newer than the versions in a request.
func stateSince(view *fulmarfleet.View, request *fulmarpeerpb.StateRequest) (*fulmarpeerpb.StateReply, error) {
	response := &fulmarpeerpb.StateReply{}
	var err error
	if view.Record().Generation > request.GetGeneration() {
		if response.Record, err = view.Record().Encode(); err != nil {
			return nil, err
		}
	}
	if table, revision := view.Table(); int64(revision) > request.GetTableRevision() {
		response.TableRevision = int64(revision)
		if response.Table, err = table.Encode(); err != nil {
			return nil, err
		}
	}
	if request.GetWantsVms() && view.VMs().Version > request.GetVmsVersion() {
		if response.Vms, err = json.Marshal(view.VMs()); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return response, nil
}

// mergeState merges a peer's state into a fleet's view.
func mergeState(fleet *fulmarfleet.Fleet, response *fulmarpeerpb.StateReply) error {
	if len(response.GetRecord()) > 0 {
		record, err := fulmarconfig.DecodeRecord(response.GetRecord())
		if err != nil {
			return err
		}
		fleet.MergeRecord(record)
	}
	if len(response.GetTable()) > 0 {
		if err := fleet.MergeTable(response.GetTable(), fulmarplatform.Revision(response.GetTableRevision())); err != nil {
			return err
		}
	}
	if len(response.GetVms()) > 0 {
		var list fulmarplatform.VMList
		if err := json.Unmarshal(response.GetVms(), &list); err != nil {
			return trace.Wrap(err)
		}
		fleet.MergeVMs(list)
	}
	return nil
}
