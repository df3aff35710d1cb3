package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// host is the host name in the clients' requests.
	host = "jobs.example"
	// clientDeadline is how long a client waits for a response.
	clientDeadline = 3000
	clientAttempts = 5
)

// queue is a route of the configuration.
type queue struct{ name, prefix, service string }

// step is a step of a submitted job.
type step struct {
	Count          int   `json:"count"`
	CPU            int64 `json:"cpu"`
	Memory         int64 `json:"task_memory_mb"`
	Estimated      int64 `json:"estimated_duration_ms,omitempty"`
	AntiAffinity   int   `json:"anti_affinity,omitempty"`
	LongRunning    bool  `json:"long_running,omitempty"`
	MaxUnavailable *int  `json:"max_unavailable,omitempty"`
}

// clients submits jobs to the members in turn.
type clients struct {
	record  *record
	members []*member
	http    *http.Client

	mu       sync.Mutex
	accepted []string
}

func newClients(r *record, members []*member) *clients {
	return &clients{record: r, members: members, http: &http.Client{Timeout: clientDeadline * time.Millisecond}}
}

// submit submits a job, and repeats that with the same ID at other members if its outcome is unknown. It
// returns the job's ID and whether it was accepted.
func (c *clients) submit(q queue, payload string, steps []step) (string, bool) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	body, err := json.Marshal(map[string]any{"specification": payload, "steps": steps})
	if err != nil {
		return id, false
	}
	first := rand.IntN(len(c.members))
	for attempt := range clientAttempts {
		m := c.members[(first+attempt)%len(c.members)]
		status, _ := c.call(http.MethodPost, m, q.prefix+id, body)
		c.record.logf("client submits job %s to queue %s at %s: %d", id, q.name, m.name, status)
		switch status {
		case http.StatusOK:
			c.mu.Lock()
			c.accepted = append(c.accepted, id)
			c.mu.Unlock()
			return id, true
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			continue
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			time.Sleep(300 * time.Millisecond)
			continue
		}
		return id, false
	}
	return id, false
}

// call sends one request; the status is 0 without a response.
func (c *clients) call(method string, m *member, path string, body []byte) (int, []byte) {
	q, err := http.NewRequest(method, "http://"+m.callers+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	q.Host = host
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Deadline-Milliseconds", fmt.Sprint(clientDeadline))
	response, err := c.http.Do(q)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// waitForService waits until a job can be submitted.
func (c *clients) waitForService(q queue) bool {
	for range 50 {
		if _, accepted := c.submit(q, "50", []step{{Count: 1, CPU: 500, Memory: 256, Estimated: 50}}); accepted {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
