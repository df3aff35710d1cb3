package fulmarrig

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
)

// listedVM is what the tests read of an entry of the VM list.
type listedVM struct {
	State    string `json:"state"`
	Executor string `json:"identifier"`
}

// listOneVM returns the entry of the only VM in the VM list.
func listOneVM(t *testing.T, rig *Rig) listedVM {
	response, err := http.Get("http://" + rig.FleetAddress() + "/fulmardrum/machines")
	quicktest.Assert(t, err, quicktest.IsNil)
	defer response.Body.Close()
	var list struct {
		VMs []listedVM `json:"machines"`
	}
	quicktest.Assert(t, json.NewDecoder(response.Body).Decode(&list), quicktest.IsNil)
	quicktest.Assert(t, list.VMs, quicktest.HasLen, 1)
	return list.VMs[0]
}

// TestVMIsDownWhileItsExecutorRestarts guards against a VM list that names an executor that has ended.
func TestVMIsDownWhileItsExecutorRestarts(t *testing.T) {
	const downtime = 300 * fulmarclock.Millis(1)
	clock := fulmarclock.NewManual(1)
	rig := startOneVM(t, clock, nil)
	up := listedVM{State: vmUp, Executor: restartedID}
	quicktest.Assert(t, listOneVM(t, rig), quicktest.Equals, up)
	rig.Restart("work-0", downtime, 0)
	quicktest.Assert(t, listOneVM(t, rig), quicktest.Equals, listedVM{State: vmDown})
	response, err := http.Post("http://"+rig.FleetAddress()+"/fulmardrum/machine-move", "application/json", strings.NewReader(`{"machine":"work-0","pool":"other"}`))
	quicktest.Assert(t, err, quicktest.IsNil)
	defer response.Body.Close()
	quicktest.Assert(t, response.StatusCode, quicktest.Equals, http.StatusConflict)
	clock.Advance(downtime)
	awaitTrue(rig.serves)
	quicktest.Assert(t, listOneVM(t, rig), quicktest.Equals, up)
	rig.Crash("work-0", downtime)
	quicktest.Assert(t, listOneVM(t, rig), quicktest.Equals, listedVM{State: vmDown})
}
