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
	jobVMMilliCPU = 16000
	jobVMMemory   = 32768
	jobVMsPerRack = 4
	jobMoveTime   = 1500 * fulmarclock.Millis(1)
	jobUpkeepTime = 2000 * fulmarclock.Millis(1)
	jobStopTime   = 300 * fulmarclock.Millis(1)
	jobMaxHold    = 10 * fulmarclock.Second
	jobStandby    = "standby"
	jobHost       = "127.0.0.1"
)

// jobMember is a member of a local fleet for jobs.
type jobMember struct {
	node   *fulmarnode.Node
	cancel context.CancelFunc
	ended  chan error
}

// jobFleet is a stand-in of the platform and members of fulmarnoded within one process.
type jobFleet struct {
	clock   fulmarclock.Clock
	rig     *fulmarrig.Rig
	members []*jobMember
	queues  int
}

// startJobFleet returns a running fleet; it must be closed also after an error.
func startJobFleet(members, queues, vms int) (*jobFleet, error) {
	f := &jobFleet{clock: fulmarclock.NewSystem(), queues: queues}
	var err error
	f.rig, err = fulmarrig.Start(fulmarrig.Options{
		Clock: f.clock, Pools: jobPools(queues, vms), MoveTime: jobMoveTime, UpkeepTime: jobUpkeepTime,
		MaxHold: jobMaxHold, StopTime: jobStopTime, Behave: declaredRun,
	})
	if err != nil {
		return f, err
	}
	if err := f.rig.Configure(jobDocument(queues)); err != nil {
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
	pools := []fulmarrig.Pool{{Service: jobStandby, VMs: vms, Standby: true}}
	for i := range queues {
		pools = append(pools, fulmarrig.Pool{
			Service: jobService(i), VMs: vms, MilliCPU: jobVMMilliCPU, MemoryMB: jobVMMemory, PerRack: jobVMsPerRack,
		})
	}
	return pools
}

func jobService(place int) string { return fmt.Sprintf("service-%d", place+1) }

func jobPrefix(place int) string { return fmt.Sprintf("/queue-%d/", place+1) }

// jobDocument returns the operators' configuration in the platform's form.
func jobDocument(queues int) any {
	routes := []map[string]any{}
	services := []map[string]any{{"name": jobStandby, "admission_control": true, "standby": true}}
	for i := range queues {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("queue-%d", i+1), "host": jobHost, "prefix": jobPrefix(i), "service": jobService(i),
			"max_attempts": 3, "slack_factor": jobSlack, "target_latency_ms": jobAim.Milliseconds(), "timeout_ms": 3000,
		})
		services = append(services, map[string]any{"name": jobService(i), "admission_control": true})
	}
	return map[string]any{"version": 1, "routes": routes, "services": services}
}

func (f *jobFleet) startMember(place int) error {
	const local = "127.0.0.1:0"
	node, err := fulmarnode.Start(fulmarnode.Settings{
		Member: fmt.Sprintf("member-%d", place+1), Callers: local, Ready: local, Peers: local, Metrics: local,
		Store: f.rig.StoreAddress(), Fleet: f.rig.FleetAddress(), Bounds: fulmarnode.DefaultBounds(),
	}, log.New(io.Discard))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &jobMember{node: node, cancel: cancel, ended: make(chan error, 1)}
	f.members = append(f.members, m)
	go func() { m.ended <- node.Run(ctx) }()
	return nil
}

// owner returns the member that owns the scheduler, or nil.
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
		targets = append(targets, m.node.Callers())
	}
	return targets
}

// close stops the members and then the platform's stand-in.
func (f *jobFleet) close() {
	for _, m := range f.members {
		m.cancel()
	}
	for _, m := range f.members {
		<-m.ended
	}
	if f.rig != nil {
		f.rig.Close()
	}
}
