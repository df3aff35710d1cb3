package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// member is a process of fulmarnoded.
type member struct {
	name    string
	callers string
	command *exec.Cmd
	log     *os.File
	exited  chan struct{}
}

// settings is the template of a member's settings, as the deploy file's template has it for a small site.
const settings = `{
  "member": %q, "region": "region-1", "data_centre": "zone-1",
  "callers": %q, "ready": %q, "peers": %q, "metrics": %q, "store": %q, "fleet": %q,
  "memory_mb": 284, "cores": 0.4, "link_mbps": 1000,
  "bounds": {"lease_min_ms": 1000, "hold_max_ms": 10000, "stop_within_ms": 400, "status_kept_s": 120,
    "fleet_turn_ms": 3000, "upkeep_s": 2, "move_s": 1.5, "stop_process_s": 6},
}`

// freeAddresses returns free loopback addresses.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// startMember starts a member with its logs and settings in a directory.
func startMember(program, directory, name string, p *platform) (*member, error) {
	m := &member{name: name, exited: make(chan struct{})}
	a, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	m.callers = a[0]
	path := filepath.Join(directory, name+".jsonc")
	text := fmt.Sprintf(settings, name, a[0], a[1], a[2], a[3], p.storeAddress, p.fleetAddress)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if m.log, err = os.Create(filepath.Join(directory, name+".log")); err != nil {
		return nil, err
	}
	m.command = exec.Command(program)
	m.command.Env = []string{"FULMARDRUM_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + directory}
	m.command.Stdout, m.command.Stderr = m.log, m.log
	// A member ends with this process, however that ends.
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = m.command.Wait()
		close(m.exited)
	}()
	return m, nil
}

// stop kills the process and waits for its end.
func (m *member) stop() {
	_ = m.command.Process.Signal(syscall.SIGKILL)
	select {
	case <-m.exited:
	case <-time.After(5 * time.Second):
	}
	_ = m.log.Close()
}
