package fulmarbench

import (
	"context"
	"fmt"
	"io"

	"github.com/charmbracelet/log"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarnode"
	"github.com/fulmardrum/fulmardrum/internal/fulmarstandin/fulmarrig"
)

const (
	jobVMMilliCPU          = 16000
	jobVMMemoryMB          = 32768
	jobVMsPerRack          = 4
	jobMoveDuration        = 1500 * fulmarclock.Millis(1)
	jobMaintenanceDuration = 2000 * fulmarclock.Millis(1)
	jobStopDuration        = 300 * fulmarclock.Millis(1)
	jobMaxLease            = 10 * fulmarclock.Second
	jobStandbyService      = "standby"
	jobHost                = "127.0.0.1"
)

// jobMember is a member of a jobFleet.
type jobMember struct {
	node   *fulmarnode.Node
	cancel context.CancelFunc
	exited chan error
}

// jobFleet runs a simulated platform and members of fulmarnoded in one process.
type jobFleet struct {
	clock   fulmarclock.Clock
	rig     *fulmarrig.Rig
	members []*jobMember
	queues  int
}

// startJobFleet starts a fleet with a pool for each queue and a standby pool. The caller must
// close the fleet also after an error.
func startJobFleet(members, queues, vms int) (*jobFleet, error) {
	f := &jobFleet{clock: fulmarclock.NewSystem(), queues: queues}
	var err error
	f.rig, err = fulmarrig.Start(fulmarrig.Options{
		Clock: f.clock, Pools: jobPools(queues, vms), MoveDuration: jobMoveDuration, MaintenanceDuration: jobMaintenanceDuration,
		MaxLease: jobMaxLease, StopDuration: jobStopDuration, SimulateRun: simulateDeclaredRun,
	})
	if err != nil {
		return f, err
	}
	if err := f.rig.SetConfiguration(jobConfiguration(queues)); err != nil {
		return f, err
	}
	for i := range members {
		if err := f.startMember(i); err != nil {
			return f, err
		}
	}
	return f, nil
}

func jobPools(queues, vms int) []fulmarrig.Pool {
	pools := []fulmarrig.Pool{{Service: jobStandbyService, VMs: vms, Standby: true}}
	for i := range queues {
		pools = append(pools, fulmarrig.Pool{
			Service: jobService(i), VMs: vms, MilliCPU: jobVMMilliCPU, MemoryMB: jobVMMemoryMB, VMsPerRack: jobVMsPerRack,
		})
	}
	return pools
}

func jobService(index int) string { return fmt.Sprintf("service-%d", index+1) }

func jobPrefix(index int) string { return fmt.Sprintf("/queue-%d/", index+1) }

// jobConfiguration returns the operators' configuration in the platform's format.
func jobConfiguration(queues int) any {
	routes := []map[string]any{}
	services := []map[string]any{{"name": jobStandbyService, "admission_control": true, "standby": true}}
	for i := range queues {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("queue-%d", i+1), "host": jobHost, "prefix": jobPrefix(i), "service": jobService(i),
			"max_attempts": 3, "slack_factor": jobSlackFactor, "target_latency_ms": jobTargetLatency.Milliseconds(), "timeout_ms": 3000,
		})
		services = append(services, map[string]any{"name": jobService(i), "admission_control": true})
	}
	return map[string]any{"version": 1, "routes": routes, "services": services}
}

func (f *jobFleet) startMember(index int) error {
	const local = "127.0.0.1:0"
	node, err := fulmarnode.Start(fulmarnode.Settings{
		Member: fmt.Sprintf("member-%d", index+1), CallerAddress: local, Ready: local, PeerAddress: local, Metrics: local,
		Store: f.rig.StoreAddress(), Fleet: f.rig.FleetAddress(), Bounds: fulmarnode.DefaultBounds(), LookAhead: true,
	}, log.New(io.Discard))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &jobMember{node: node, cancel: cancel, exited: make(chan error, 1)}
	f.members = append(f.members, m)
	go func() { m.exited <- node.Run(ctx) }()
	return nil
}

// owner returns the member that owns the scheduler, or nil if there is none.
func (f *jobFleet) owner() *jobMember {
	for _, m := range f.members {
		if m.node.OwnsScheduler() {
			return m
		}
	}
	return nil
}

func (f *jobFleet) targets() []string {
	var targets []string
	for _, m := range f.members {
		targets = append(targets, m.node.CallerAddress())
	}
	return targets
}

// close stops the members, waits for them and stops the simulated platform.
func (f *jobFleet) close() {
	for _, m := range f.members {
		m.cancel()
	}
	for _, m := range f.members {
		<-m.exited
	}
	if f.rig != nil {
		f.rig.Close()
	}
}
