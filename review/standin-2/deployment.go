package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	clientTimeout = 3 * time.Second
	restartDelay  = 300 * time.Millisecond
	startTimeout  = 20 * time.Second
	// The case uses loopback addresses from 127.firstSubnet.0.0 on.
	firstSubnet = 20
	subnets     = 200
)

// member is a machine of the system. Its process is restarted when it ends.
type member struct {
	name, callers, settings, log string

	mu      sync.Mutex
	process *os.Process
	closed  bool
	ended   chan struct{}
}

// deployment is a platform with the members that run on it.
type deployment struct {
	*platform
	binary, folder string
	members        []*member
	client         *http.Client
	routes         []map[string]any
	services       []map[string]any
	version        int
	fleet, advice  string
	storeAddress   string
	ownerMu        sync.Mutex
	owner          string
}

func newDeployment(binary, record string) (*deployment, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "standin-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{platform: newPlatform(file), binary: binary, folder: folder, client: &http.Client{Timeout: clientTimeout}}
	d.store.onOwner = d.setOwner
	if d.storeAddress, err = serve(d.store.handler()); err != nil {
		return nil, err
	}
	if d.fleet, err = serve(d.machineHandler()); err != nil {
		return nil, err
	}
	if d.advice, err = serve(d.adviceHandler()); err != nil {
		return nil, err
	}
	return d, nil
}

// setOwner remembers which member wrote to the store under a condition.
func (d *deployment) setOwner(value []byte) {
	var owner struct {
		Member string `json:"member"`
	}
	if json.Unmarshal(value, &owner) == nil && owner.Member != "" {
		d.ownerMu.Lock()
		d.owner = owner.Member
		d.ownerMu.Unlock()
		d.note("%s writes under a condition for the first time", owner.Member)
	}
}

// addQueue adds a route to the configuration.
func (d *deployment) addQueue(name, service string, fields map[string]any) {
	route := map[string]any{
		"name": name, "host": "case.example", "prefix": "/" + name + "/", "kind": "unsafe", "timeout_ms": 3000,
		"target_latency_ms": 3000, "priority": 0, "service": service, "max_attempts": 3, "slack_factor": 50,
	}
	for key, value := range fields {
		route[key] = value
	}
	d.routes = append(d.routes, route)
}

// addService adds a service and starts its executors.
func (d *deployment) addService(name string, executors int, capacity int64, guards bool) error {
	d.services = append(d.services, map[string]any{"name": name, "admission_control": guards})
	for n := range executors {
		if err := d.addExecutor(name, n, capacity, guards).begin(); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) configure() {
	d.version++
	d.store.put("op/config", map[string]any{"version": d.version, "routes": d.routes, "services": d.services, "limits": map[string]any{}})
}

// startMembers starts the members and waits until one accepts requests.
func (d *deployment) startMembers(count int) error {
	d.configure()
	for n := range count {
		address := host(n + 1)
		m := &member{name: fmt.Sprintf("member-%d", n+1), callers: address + ":7001", ended: make(chan struct{})}
		m.settings, m.log = filepath.Join(d.folder, m.name+".jsonc"), filepath.Join(d.folder, m.name+".log")
		settings := map[string]any{
			"member": m.name, "region": "region-a", "data_centre": "zone-a", "callers": m.callers, "ready": address + ":7002", "peers": address + ":7003",
			"metrics": address + ":7004", "store": d.storeAddress, "fleet": d.fleet, "advice": d.advice, "memory_mb": 284, "cores": 0.4, "link_mbps": 1000.0,
			"bounds": map[string]any{
				"lease_min_ms": 1000, "hold_max_ms": 10000, "stop_within_ms": 400, "status_kept_s": 120, "fleet_turn_ms": 3000,
				"upkeep_s": 2, "move_s": 1.5, "stop_process_s": 6,
			},
		}
		data, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(m.settings, data, 0o600); err != nil {
			return err
		}
		d.members = append(d.members, m)
		go m.run(d)
	}
	for limit := time.Now().Add(startTimeout); time.Now().Before(limit); time.Sleep(100 * time.Millisecond) {
		if status, _ := d.send(0, http.MethodGet, "/"+d.routes[0]["name"].(string)+"/", nil); status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the members do not serve after %v", startTimeout)
}

// host returns a loopback address that no other case uses at the same time, so that its ports are free.
func host(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", firstSubnet+os.Getpid()%subnets, os.Getpid()/subnets%subnets, n+1)
}

// run keeps the process of a member running.
func (m *member) run(d *deployment) {
	defer close(m.ended)
	for {
		m.mu.Lock()
		if m.closed {
			m.mu.Unlock()
			return
		}
		file, err := os.OpenFile(m.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err != nil {
			m.mu.Unlock()
			return
		}
		command := exec.Command(d.binary)
		command.Env = []string{"FULMARDRUM_BOOT=" + m.settings, "PATH=" + os.Getenv("PATH")}
		command.Stdout, command.Stderr = file, file
		err = command.Start()
		_ = file.Close()
		if err != nil {
			m.mu.Unlock()
			d.note("%s can't start: %v", m.name, err)
			return
		}
		m.process = command.Process
		m.mu.Unlock()
		err = command.Wait()
		d.note("%s ended: %v", m.name, err)
		time.Sleep(restartDelay)
	}
}

func (m *member) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Signal(s)
	}
}

// close ends all processes and removes the folder, unless KEEP is set.
func (d *deployment) close() {
	for _, m := range d.members {
		m.mu.Lock()
		m.closed = true
		m.mu.Unlock()
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
		<-m.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
	_ = d.record.Close()
}

// send sends a client's request to a member and returns the status, 0 without a response.
func (d *deployment) send(member int, method, path string, body []byte) (int, string) {
	q, err := http.NewRequest(method, "http://"+d.members[member%len(d.members)].callers+path, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	q.Host = "case.example"
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Deadline-Milliseconds", "3000")
	response, err := d.client.Do(q)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(text))
}

// submit hands a job in, with retries as clients do, and returns whether it was accepted.
func (d *deployment) submit(queue, id string, j *job) bool {
	j.queue = queue
	d.mu.Lock()
	d.jobs[id] = j
	d.mu.Unlock()
	body, err := json.Marshal(j)
	if err != nil {
		return false
	}
	for attempt := range 10 {
		status, _ := d.send(attempt, http.MethodPost, "/"+queue+"/"+id, body)
		d.note("POST %s %s answered %d", queue, id, status)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state returns the state that a member shows of a job.
func (d *deployment) state(queue, id string) string {
	status, text := d.send(0, http.MethodGet, "/"+queue+"/"+id, nil)
	d.note("GET %s %s answered %d %s", queue, id, status, text)
	var body struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &body) != nil {
		return fmt.Sprint(status)
	}
	return body.State
}

// await waits until a condition holds.
func await(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}
