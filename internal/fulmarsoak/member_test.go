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

// member keeps a process of fulmarnoded running: it restarts the process whenever it exits.
type member struct {
	name          string
	settings      string
	log           string
	binary        string
	environment   []string
	callerAddress string
	storeProxy    *proxy
	fleetProxy    *proxy
	pauses        overlap

	mu      sync.Mutex
	process *os.Process
	closed  bool
	stopped chan struct{}
}

// restartDelay is the delay before a member that has exited is restarted.
const restartDelay = 300 * time.Millisecond

// startMember writes a member's settings file and starts the member.
func (s *soak) startMember(index int) *member {
	m := &member{name: fmt.Sprintf("member-%d", index+1), binary: s.binary, environment: s.scenario.environment, stopped: make(chan struct{})}
	var err error
	m.storeProxy, err = newProxy(s.rig.StoreAddress(), &s.affected)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	m.fleetProxy, err = newProxy(s.rig.FleetAddress(), &s.affected)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	host := fmt.Sprintf("%s%d", s.hostPrefix, index+1)
	m.callerAddress = host + ":7001"
	m.settings = filepath.Join(s.directory, m.name+".jsonc")
	m.log = filepath.Join(s.directory, m.name+".log")
	// A member with so few cores has its commands relayed by the others.
	settings := fmt.Sprintf(`{"member": %[1]q, "callers": %[2]q, "ready": "%[3]s:7002", "peers": "%[3]s:7003", "metrics": "%[3]s:7004", "store": %[4]q, "fleet": %[5]q, "cores": 0.01, "link_mbps": 1000, "memory_mb": 256, "bounds": {"stop_process_s": %[6]d}}`,
		m.name, m.callerAddress, host, m.storeProxy.address(), m.fleetProxy.address(), s.scenario.graceSeconds)
	quicktest.Assert(s.t, os.WriteFile(m.settings, []byte(settings), 0o600), quicktest.IsNil)
	go m.run()
	return m
}

func (m *member) run() {
	defer close(m.stopped)
	for m.start() {
		state, err := m.process.Wait()
		if err == nil && state.Exited() && state.ExitCode() != 0 {
			m.appendLog(fmt.Sprintf("process exited with status %d without a signal, restarting it\n", state.ExitCode()))
		}
		time.Sleep(restartDelay)
	}
}

func (m *member) appendLog(line string) { appendLine(m.log, line) }

func appendLine(path, line string) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err == nil {
		_, _ = file.WriteString(line)
		_ = file.Close()
	}
}

// start starts a process. It returns false if the member is closed or the process can't start.
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
	command.Env = append(os.Environ(), m.environment...)
	if err := command.Start(); err != nil {
		return false
	}
	m.process = command.Process
	return true
}

// signal sends a signal to the current process, if there is one.
func (m *member) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Signal(s)
	}
}

// clearFaults resumes the process and ends the faults of the member's proxies.
func (m *member) clearFaults() {
	m.signal(syscall.SIGCONT)
	m.storeProxy.clearFaults()
	m.fleetProxy.clearFaults()
}

// close kills the process, waits until it has exited and closes the proxies.
func (m *member) close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.signal(syscall.SIGCONT)
	m.signal(syscall.SIGKILL)
	<-m.stopped
	m.storeProxy.close()
	m.fleetProxy.close()
}
