package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// settingsTemplate is what the platform makes of deploy/settings.jsonc for a small deployment.
const settingsTemplate = `{
  "member": %q, "region": "region-a", "data_centre": "zone-a",
  "callers": %q, "ready": %q, "peers": %q, "metrics": %q,
  "store": %q, "fleet": %q,
  "memory_mb": 284, "cores": 0.4, "link_mbps": 1000.0,
  "bounds": {"lease_min_ms": 1000, "hold_max_ms": 10000, "stop_within_ms": 900, "status_kept_s": 120, "fleet_turn_ms": 3000, "upkeep_s": 2, "move_s": 1.5, "stop_process_s": 6},
}
`

// program is the program of the deploy file, in the root of the repository.
const program = "target/fulmarnoded"

// member is a process of the system.
type member struct {
	name    string
	callers string
	process *exec.Cmd
	ended   chan struct{}
	logPath string
	// links are the member's connections to the platform, if they can be cut.
	links []*link
	once  sync.Once
}

// The members listen on ports below those that the system gives to outgoing connections, each case on
// ports that follow a random one.
const (
	firstPort = 20000
	lastPort  = 31000
	portTries = 500
)

// nextPort is the port that the next address is tried with.
var nextPort = firstPort + rand.IntN(lastPort-firstPort)

// freeAddress returns an address on the loopback interface that nothing listens on, another one each
// time.
func freeAddress() (string, error) {
	var err error
	for range portTries {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		nextPort++
		var listener net.Listener
		if listener, err = net.Listen("tcp", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", err
}

// startMember starts a member.
func (w *world) startMember(name string) (*member, error) {
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	storeAddress, fleetAddress, links, err := w.platformAddresses()
	if err != nil {
		return nil, err
	}
	settings := filepath.Join(w.scratch, name+".jsonc")
	text := fmt.Sprintf(settingsTemplate, name, addresses[0], addresses[1], addresses[2], addresses[3], storeAddress, fleetAddress)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	m := &member{name: name, callers: addresses[0], links: links, ended: make(chan struct{}), logPath: filepath.Join(w.scratch, name+".log")}
	output, err := os.Create(m.logPath)
	if err != nil {
		return nil, err
	}
	defer output.Close() //nolint:errcheck // the process has its own descriptor
	m.process = exec.Command(program)
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FULMARDRUM_BOOT=" + settings}
	m.process.Stdout, m.process.Stderr = output, output
	if err := m.process.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = m.process.Wait() // a killed process has no other state
		close(m.ended)
	}()
	w.mu.Lock()
	w.members = append(w.members, m)
	w.mu.Unlock()
	w.log("member %s starts", name)
	return m, nil
}

// platformAddresses returns the addresses of the store and of the list of machines for a new member, and
// the links to them if the case cuts members off.
func (w *world) platformAddresses() (storeAddress, fleetAddress string, links []*link, err error) {
	if !w.useLinks {
		return w.store.address, w.fleet.address, nil, nil
	}
	for _, target := range []string{w.store.address, w.fleet.address} {
		l, err := newLink(target)
		if err != nil {
			return "", "", nil, err
		}
		links = append(links, l)
	}
	return links[0].address, links[1].address, links, nil
}

// signal sends a signal to the member.
func (m *member) signal(s syscall.Signal) { _ = m.process.Process.Signal(s) } // it may have ended

// kill kills the member and waits for its end.
func (m *member) kill() {
	m.once.Do(func() {
		m.signal(syscall.SIGKILL)
		<-m.ended
	})
}

// owner returns the member that owns the scheduler by the store, nil if there is none.
func (w *world) owner() *member {
	value := string(w.store.value("fulmardrum/owner"))
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.members {
		if strings.Contains(value, `"member":"`+m.name+`"`) {
			return m
		}
	}
	return nil
}

// startMembers starts a number of members and waits until one owns the scheduler and all answer
// clients.
func (w *world) startMembers(count int, host, prefix string) error {
	for i := range count {
		if _, err := w.startMember(fmt.Sprintf("frontend-%d", i+1)); err != nil {
			return err
		}
	}
	ready := func() bool {
		for _, m := range w.members {
			if status, _ := w.ask(m, "GET", host, prefix, ""); status != 200 {
				return false
			}
		}
		return w.owner() != nil
	}
	if !waitFor(20*time.Second, ready) {
		w.logMembers()
		return fmt.Errorf("the members did not become ready")
	}
	w.log("member %s owns the scheduler", w.owner().name)
	return nil
}

// logMembers adds the end of each member's log to the record.
func (w *world) logMembers() {
	const lines = 20
	for _, m := range w.members {
		data, err := os.ReadFile(m.logPath)
		if err != nil {
			continue
		}
		text := strings.Split(strings.TrimSpace(string(data)), "\n")
		for _, line := range text[max(len(text)-lines, 0):] {
			w.log("log of %s: %s", m.name, line)
		}
	}
}
