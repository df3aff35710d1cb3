package fulmardaemon_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
	"github.com/fulmardrum/fulmardrum/internal/fulmarsettings"
	"github.com/fulmardrum/fulmardrum/internal/fulmarstandin"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// tcpProxy forwards TCP connections to a target. Connections that are open when
// dropOpenConnections is called stay open but lose every byte, as when a network
// device drops their state; later connections work.
type tcpProxy struct {
	listener net.Listener
	target   string
	// epoch counts the calls of dropOpenConnections.
	epoch atomic.Int64
	mu    sync.Mutex
	open  []net.Conn
	wg    sync.WaitGroup
}

// startTCPProxy returns a proxy on a free loopback port that ends with the test.
func startTCPProxy(c *qt.C, target string) *tcpProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	p := &tcpProxy{listener: listener, target: target}
	p.wg.Add(1)
	go p.accept()
	c.Cleanup(p.close)
	return p
}

// dropOpenConnections makes the proxy discard the bytes of every open connection.
func (p *tcpProxy) dropOpenConnections() { p.epoch.Add(1) }

func (p *tcpProxy) accept() {
	defer p.wg.Done()
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		p.open = append(p.open, client, upstream)
		p.mu.Unlock()
		epoch := p.epoch.Load()
		p.wg.Add(2)
		go p.copyBytes(client, upstream, epoch)
		go p.copyBytes(upstream, client, epoch)
	}
}

// copyBytes copies one direction of a connection, and discards the bytes after a call
// of dropOpenConnections, which ends the connection's epoch.
func (p *tcpProxy) copyBytes(from, to net.Conn, epoch int64) {
	defer p.wg.Done()
	data := make([]byte, 4096)
	for {
		n, err := from.Read(data)
		isCurrent := p.epoch.Load() == epoch
		if err != nil {
			if isCurrent {
				_ = to.Close()
			}
			return
		}
		if isCurrent {
			_, _ = to.Write(data[:n])
		}
	}
}

// disconnect closes the listener and every connection.
func (p *tcpProxy) disconnect() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.open {
		_ = conn.Close()
	}
}

func (p *tcpProxy) close() {
	p.disconnect()
	p.wg.Wait()
}

// TestRetriesAfterOpenConnectionsLoseBytes makes the open connections to a worker lose
// every byte while new ones work. Idempotent requests must still be answered.
func TestRetriesAfterOpenConnectionsLoseBytes(t *testing.T) {
	t.Parallel()
	f := startFleet(qt.New(t), 1, 1)
	proxy := startTCPProxy(f.c, f.workers[0].VM().Address)
	f.platform.Fleet().Register(fulmarplatform.VM{ID: "vm-linked", Address: proxy.listener.Addr().String(), Slots: 8})
	f.setStates(fulmarplatform.VMDraining)
	f.apply(`{"pools": {"p": {"vms": 2}}}`)
	f.eventually("the worker behind the proxy is assigned", func() bool {
		f.platform.Fleet().Register(fulmarplatform.VM{ID: "vm-linked", Address: proxy.listener.Addr().String(), Slots: 8})
		return len(f.members[0].daemon.Status().Pools[0].Workers) == 2
	})
	keepRegistered(f, proxy)
	warm := f.sendAll(16, func(int) clientRequest { return clientRequest{method: get, query: "work=20"} })
	proxy.dropOpenConnections()
	var responses []clientResponse
	for i := range 6 {
		responses = append(responses, f.send(context.Background(), clientRequest{id: fmt.Sprintf("after-%d", i), method: get}))
	}
	f.checkOutcomes(append(warm, responses...))
	for _, r := range responses {
		f.c.Check(r.outcome, qt.Equals, fulmarapi.Answered, qt.Commentf("%s %s", r.request.id, r.reason))
	}
}

// keepRegistered renews the registration of the worker behind the proxy until the test ends.
func keepRegistered(f *fleet, proxy *tcpProxy) {
	stop := make(chan struct{})
	var task sync.WaitGroup
	task.Add(1)
	go func() {
		defer task.Done()
		for {
			f.platform.Fleet().Register(fulmarplatform.VM{ID: "vm-linked", Address: proxy.listener.Addr().String(), Slots: 8})
			select {
			case <-stop:
				return
			case <-f.clock.After(500):
			}
		}
	}()
	f.c.Cleanup(func() {
		close(stop)
		task.Wait()
	})
}

// TestConnectionsStayWithinWorkerLimit loads one worker through 8 members, one more
// than there are entry VMs, as during the replacement of a member.
func TestConnectionsStayWithinWorkerLimit(t *testing.T) {
	const members = 8
	f := startFleet(qt.New(t), members, 0)
	f.addWorker("vm-wide", 200)
	f.apply(`{"pools": {"p": {"vms": 1}}}`)
	f.eventually("every member has the worker", func() bool { return f.allMembersHaveWorkers(1) })
	responses := f.sendAll(400, func(i int) clientRequest { return clientRequest{method: post, query: "work=50", member: i % members} })
	f.checkOutcomes(responses)
	for _, r := range responses {
		f.c.Check(r.outcome, qt.Equals, fulmarapi.Answered, qt.Commentf("%s", r.reason))
	}
	f.c.Assert(f.workers[0].PeakConnections() <= 64, qt.IsTrue, qt.Commentf("%d connections", f.workers[0].PeakConnections()))
}

// TestOutcomesMatchRunsAfterMemberIsKilled kills a member with requests in flight
// and retries their keys through another member: no key may run twice.
func TestOutcomesMatchRunsAfterMemberIsKilled(t *testing.T) {
	t.Parallel()
	f := startFleet(qt.New(t), 2, 2)
	ended := make(chan []clientResponse, 1)
	go func() {
		ended <- f.sendAll(12, func(i int) clientRequest {
			return clientRequest{method: post, key: fmt.Sprintf("k%d", i), query: "work=400"}
		})
	}()
	f.eventually("requests are running", func() bool { return len(f.journal.Runs()) >= 6 })
	f.members[0].daemon.Kill()
	responses := <-ended
	repeats := f.sendAll(12, func(i int) clientRequest { return clientRequest{method: post, key: fmt.Sprintf("k%d", i), member: 1} })
	f.checkOutcomes(responses)
	for i, r := range repeats {
		ran := f.journal.CountByKey()[fmt.Sprintf("k%d", i)]
		f.c.Check(ran <= 1, qt.IsTrue, qt.Commentf("key k%d ran %d times", i, ran))
		f.c.Check(r.outcome, qt.Not(qt.Equals), fulmarapi.NotRun)
	}
}

// TestMemberWithoutQuorumContactIsFenced stops the platform and then one member after
// another. A majority of the members must keep serving; the last one must refuse.
func TestMemberWithoutQuorumContactIsFenced(t *testing.T) {
	t.Parallel()
	f := startFleet(qt.New(t), 3, 1)
	platformDown(f)
	for index := 2; index >= 1; index-- {
		<-f.clock.After(fulmarsettings.DefaultDaemon().Times.FencingTimeout + 500)
		r := f.send(context.Background(), clientRequest{id: fmt.Sprintf("with-%d", index), method: post})
		f.c.Assert(r.outcome, qt.Equals, fulmarapi.Answered, qt.Commentf("%s", r.reason))
		f.members[index].close()
	}
	tries := 0
	f.eventually("the last member refuses requests", func() bool {
		tries++
		r := f.send(context.Background(), clientRequest{id: fmt.Sprintf("alone-%d", tries), method: post})
		f.checkOutcomes([]clientResponse{r})
		return r.reason == fulmarapi.ReasonFenced
	})
	f.c.Assert(f.members[0].daemon.Gateway().IsReady(), qt.IsFalse)
	f.platform.Faults().Set(fulmarstandin.FaultTable{})
	f.eventually("the last member serves again once the platform responds", func() bool {
		tries++
		return f.send(context.Background(), clientRequest{id: fmt.Sprintf("alone-%d", tries), method: post}).outcome == fulmarapi.Answered
	})
}

// TestMemberWithoutPlatformSyncsFromPeers isolates one member from the platform. It
// must get a new configuration, VM and assignment from the other members.
func TestMemberWithoutPlatformSyncsFromPeers(t *testing.T) {
	t.Parallel()
	f := startFleet(qt.New(t), 2, 1)
	proxy := startTCPProxy(f.c, strings.TrimPrefix(f.platform.URL(), "http://"))
	settings := testSettings(2, "http://"+proxy.listener.Addr().String())
	isolated := f.addMember(settings)
	f.eventually("every member sees three members and the worker", func() bool { return f.allMembersHaveWorkers(1) })
	proxy.disconnect()
	f.addWorker("vm-new", 8)
	f.apply(`{"pools": {"p": {"vms": 2}}}`)
	f.eventually("the isolated member has the new worker", func() bool {
		status := isolated.daemon.Status()
		return status.Generation == 2 && len(status.Pools) == 1 && len(status.Pools[0].Workers) == 2
	})
	r := f.send(context.Background(), clientRequest{id: "through the isolated member", method: post, member: 2})
	f.checkOutcomes([]clientResponse{r})
	f.c.Assert(r.outcome, qt.Equals, fulmarapi.Answered, qt.Commentf("%s", r.reason))
}
