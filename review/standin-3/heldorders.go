package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

const (
	// cutLength is how long the member that holds the duty is cut off from the platform.
	cutLength = 10 * time.Second
	// turn is how long each queue asks for more than its pool holds.
	turn = 2500 * time.Millisecond
)

// cutter cuts off the member that gives orders to the platform, while an order is on its way.
type cutter struct {
	record *record

	mu    sync.Mutex
	armed bool
	// cut is the member that is cut off.
	cut *member
}

// onOrder sees the first bytes of each block that a member sends to the VM API.
func (c *cutter) onOrder(m *member, data []byte) {
	if !bytes.HasPrefix(data, []byte("POST /fulmardrum/machine-")) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.armed {
		return
	}
	c.armed, c.cut = false, m
	m.begin()
	c.record.logf("%s is cut off from the platform; on its way: %s", m.name, bytes.ReplaceAll(data, []byte("\r\n"), []byte(" | ")))
}

func (c *cutter) arm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.armed = true
}

// take returns the member that is cut off, nil if there is none.
func (c *cutter) take() *member {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.cut
	c.cut = nil
	return m
}

// playHeldOrders cuts off the member that moves VMs, and heals the cut after another member has taken over.
func playHeldOrders(o options, r *record) verdict {
	p, err := newPlatform(r, map[string]int{"alpha": 6, "beta": 6, standbyPool: 6}, []string{"alpha", "beta", standbyPool})
	if err != nil {
		return verdict{failure: err}
	}
	queues := []queue{{"queue-a", "/a/", "alpha"}, {"queue-b", "/b/", "beta"}}
	cut := &cutter{record: r}
	members, c, err := fleetOf(o, r, p, queues, []string{"alpha", "beta", standbyPool}, cut.onOrder)
	defer stopAll(members)
	if err != nil {
		return verdict{failure: err}
	}
	stop := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() { alternate(c, queues, stop) })
	defer load.Wait()
	defer close(stop)
	end := time.Now().Add(o.length)
	time.Sleep(3 * time.Second)
	for time.Now().Add(cutLength + 4*time.Second).Before(end) {
		if o.trouble {
			cut.arm()
		}
		time.Sleep(cutLength)
		if m := cut.take(); m != nil {
			m.heal()
			r.logf("the cut of %s heals", m.name)
		}
		time.Sleep(3 * time.Second)
		if broken := lowerTokens(p.ordersSoFar()); len(broken) > 0 {
			return verdict{broken: broken}
		}
	}
	if len(p.ordersSoFar()) == 0 {
		return verdict{failure: noOrdersError{}}
	}
	return verdict{}
}

type noOrdersError struct{}

func (noOrdersError) Error() string { return "no VM was ordered to move" }

// alternate submits jobs to the queues by turns, more than a pool holds.
func alternate(c *clients, queues []queue, stop chan struct{}) {
	var jobs sync.WaitGroup
	defer jobs.Wait()
	began := time.Now()
	for {
		select {
		case <-stop:
			return
		case <-time.After(60 * time.Millisecond):
		}
		q := queues[int(time.Since(began)/turn)%len(queues)]
		jobs.Go(func() {
			c.submit(q, "700", []step{{Count: 6, CPU: 2000, Memory: 1000, Estimated: 700}})
		})
	}
}

// lowerTokens returns the orders for a VM that follow one with a higher fencing token.
func lowerTokens(orders []order) []string {
	highest := map[string]order{}
	var broken []string
	for _, o := range orders {
		if h, found := highest[o.vm]; found && o.token < h.token {
			broken = append(broken, fmt.Sprintf("ONE: at %d ms %s of %s (%s) from %s with token %d, answered %d, ended %d runs; %s had ordered %s (%s) with token %d at %d ms",
				o.at, o.kind, o.vm, o.detail, o.holder, o.token, o.status, o.ended, h.holder, h.kind, h.detail, h.token, h.at))
			continue
		}
		highest[o.vm] = o
	}
	return broken
}
