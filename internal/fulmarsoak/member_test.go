package fulmarsoak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/frankban/quicktest"
)

// member is a process of fulmarnoded that is started again whenever it ends.
type member struct {
	name     string
	settings string
	log      string
	binary   string
	callers  string
	store    *proxy
	fleet    *proxy

	mu      sync.Mutex
	process *os.Process
	closed  bool
	ended   chan struct{}
}

// restartAfter is the pause before a member that has ended is started again.
const restartAfter = 300 * time.Millisecond

// startMember writes a member's settings and keeps its process running.
func (s *soak) startMember(place int) *member {
	m := &member{name: fmt.Sprintf("member-%d", place+1), binary: s.binary, ended: make(chan struct{})}
	var err error
	m.store, err = newProxy(s.rig.StoreAddress(), &s.struckBytes)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	m.fleet, err = newProxy(s.rig.FleetAddress(), &s.struckBytes)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	host := fmt.Sprintf("%s%d", s.hosts, place+1)
	m.callers = host + ":7001"
	m.settings = filepath.Join(s.directory, m.name+".jsonc")
	m.log = filepath.Join(s.directory, m.name+".log")
	// A member of so few cores has its orders carried by the others.
	text := fmt.Sprintf(`{"member": %[1]q, "callers": %[2]q, "ready": "%[3]s:7002", "peers": "%[3]s:7003", "metrics": "%[3]s:7004", "store": %[4]q, "fleet": %[5]q, "cores": 0.01, "link_mbps": 1000, "memory_mb": 256}`,
		m.name, m.callers, host, m.store.address(), m.fleet.address())
	quicktest.Assert(s.t, os.WriteFile(m.settings, []byte(text), 0o600), quicktest.IsNil)
	go m.run()
	return m
}

func (m *member) run() {
	defer close(m.ended)
	for m.start() {
		state, err := m.process.Wait()
		if err == nil && state.Exited() && state.ExitCode() != 0 {
			m.note(fmt.Sprintf("the process ended by itself with %d\n", state.ExitCode()))
		}
		time.Sleep(restartAfter)
	}
}

func (m *member) note(line string) {
	file, err := os.OpenFile(m.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err == nil {
		_, _ = file.WriteString(line)
		_ = file.Close()
	}
}

// start begins a process; it returns false once the member is closed.
func (m *member) start() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	file, err := os.OpenFile(m.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return false
	}
	defer file.Close()
	command := exec.Command(m.binary, "--settings", m.settings)
	command.Stdout, command.Stderr = file, file
	if err := command.Start(); err != nil {
		return false
	}
	m.process = command.Process
	return true
}

// signal reaches the present process, if there is one.
func (m *member) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Signal(s)
	}
}

// heal ends all that was done to the member.
func (m *member) heal() {
	m.signal(syscall.SIGCONT)
	m.store.set(pass)
	m.fleet.set(pass)
}

// close ends the process and waits for it.
func (m *member) close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.signal(syscall.SIGCONT)
	m.signal(syscall.SIGKILL)
	<-m.ended
	m.store.close()
	m.fleet.close()
}
