package fulmarrig

import (
	"net/http"
	"sync"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// statusOtherIncarnation rejects a command that is addressed to another incarnation of
// the VM's executor, or to one that has crashed.
const statusOtherIncarnation = http.StatusMisdirectedRequest

// defaultRunDuration is the duration of a run if Options.SimulateRun is nil.
const defaultRunDuration = 200 * fulmarclock.Millis(1)

// maxListedFinished limits the unacknowledged runs in a report.
const maxListedFinished = 500

// executor simulates one incarnation of a VM's executor. After a crash, a move or a maintenance of the
// VM, the next one has a new ID and address. After Rig.Restart it has the same.
type executor struct {
	rig         *Rig
	id          string
	vm          string
	incarnation int64
	// clockZero is when the executor's clock showed 0, or would have.
	clockZero fulmarclock.Millis
	address   string
	endpoint  *endpoint
	// published is whether the store has had an entry of this incarnation; fleet.mu guards it.
	published bool

	mu             sync.Mutex
	fencingToken   int64
	leaseExpiry    fulmarclock.Millis
	leaseTimer     fulmarclock.Timer
	running        map[runKey]*activeRun
	highestRuns    map[string]int64
	unacknowledged []finishedRun
	lastSequence   int64
	// reportedSequence is the highest number of an end that a report has contained.
	reportedSequence int64
	// lastLapse is when the lease last expired, lastLapseOfRuns when it last ended a run by that. Both are on the
	// rig's clock.
	lastLapse       fulmarclock.Millis
	lastLapseOfRuns fulmarclock.Millis
	crashed         bool
	// endsSilently means that the callers of unfinished calls don't learn of the crash.
	endsSilently bool
	// capacities are the capacities so far, in the order of their times.
	capacities []capacityChange
	// changed is closed and replaced whenever a run ends.
	changed chan struct{}
}

// finishedRun is a run that has ended and that the owner has not acknowledged yet.
type finishedRun struct {
	sequence int64
	run      *Run
	outcome  fulmarjob.RunOutcome
}

// row returns the run as lease renewals report it: sequence number, task, run number,
// outcome and checkpoint, which is always empty.
func (f finishedRun) row() [5]any {
	return [5]any{f.sequence, f.run.Task, f.run.Number, string(f.outcome), ""}
}

// runKey identifies a run. A start with a higher number does not end a run of its task that is in progress.
type runKey struct {
	task   string
	number int64
}

// activeRun is a run in progress and the timer that ends it.
type activeRun struct {
	run   *Run
	timer fulmarclock.Timer
}

func newExecutor(r *Rig, v *vm, id string) *executor {
	return &executor{
		rig: r, id: id, vm: v.name, incarnation: r.options.Clock.Unix(), clockZero: r.options.Clock.Now() - r.drawFirstClock(),
		running: map[runKey]*activeRun{}, highestRuns: map[string]int64{}, changed: make(chan struct{}),
		capacities: []capacityChange{{at: r.options.Clock.Now(), milliCPU: v.pool.MilliCPU}},
	}
}

// now returns the executor's clock time.
func (e *executor) now() fulmarclock.Millis { return e.rig.options.Clock.Now() - e.clockZero }

func (e *executor) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fulmardrum/run-start", e.serveStart)
	mux.HandleFunc("POST /fulmardrum/run-stop", e.serveStop)
	mux.HandleFunc("POST /fulmardrum/hold", e.serveRenewal)
	mux.HandleFunc("POST /fulmardrum/pace", e.serveThrottle)
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if expected := q.Header.Get("X-Expected-Executor"); expected != e.id || e.hasCrashed() {
			writeJSON(w, statusOtherIncarnation, struct{}{})
			return
		}
		mux.ServeHTTP(w, q)
	})
}

func (e *executor) hasCrashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

// command is the JSON body of a start, stop or throttle command. Deadline is a time on the
// executor's clock.
type command struct {
	Task         string             `json:"task"`
	RunNumber    int64              `json:"run_number"`
	Payload      string             `json:"specification"`
	Deadline     fulmarclock.Millis `json:"deadline_ms"`
	FencingToken int64              `json:"fencing_token"`
}

type commandResult struct {
	ClockTime fulmarclock.Millis `json:"clock_ms"`
	Reason    string             `json:"reason,omitempty"`
}

// checkToken rejects a command whose fencing token is lower than an earlier command's, or that
// arrives as the executor ends, and then returns false. The caller holds e.mu.
func (e *executor) checkToken(w http.ResponseWriter, token int64) bool {
	if e.crashed {
		writeJSON(w, statusOtherIncarnation, struct{}{})
		return false
	}
	e.endExpiredRuns()
	if token < e.fencingToken {
		writeJSON(w, http.StatusConflict, commandResult{e.now(), "fence"})
		return false
	}
	e.fencingToken = token
	return true
}

func (e *executor) serveStart(w http.ResponseWriter, q *http.Request) {
	var c command
	if !readJSON(w, q, &c) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.checkToken(w, c.FencingToken) {
		return
	}
	switch {
	case e.running[runKey{c.Task, c.RunNumber}] != nil:
	case c.Deadline < e.now():
		writeJSON(w, http.StatusConflict, commandResult{e.now(), "late"})
		return
	case c.RunNumber <= e.highestRuns[c.Task]:
		writeJSON(w, http.StatusConflict, commandResult{e.now(), "old"})
		return
	default:
		e.start(c, isLate(q.Context()))
	}
	writeJSON(w, http.StatusOK, commandResult{ClockTime: e.now()})
}

// start begins a run, schedules its end and extends the lease. late is whether the command is executed
// late. The caller holds e.mu.
func (e *executor) start(c command, late bool) {
	duration, fails := defaultRunDuration, false
	if simulate := e.rig.options.SimulateRun; simulate != nil {
		duration, fails = simulate(c.Payload, c.Task, c.RunNumber)
	}
	outcome := fulmarjob.RunDone
	if fails {
		outcome = fulmarjob.RunFailed
	}
	run := &Run{
		Task: c.Task, Number: c.RunNumber, Executor: e.id, Incarnation: e.incarnation, VM: e.vm, Token: c.FencingToken,
		Started: e.rig.options.Clock.Now(), Late: late,
	}
	e.recordLoad(run)
	e.rig.recordStart(run)
	e.highestRuns[c.Task] = c.RunNumber
	key := runKey{c.Task, c.RunNumber}
	e.running[key] = &activeRun{run: run, timer: e.rig.options.Clock.AfterFunc(duration, func() { e.endIfRunning(key, outcome) })}
	e.extendLease(c.Deadline)
	e.scheduleCrash(run)
}

// extendLease extends the lease of all runs to deadline, a time on the executor's clock, but
// no further than Options.MaxLease from now. It never shortens the lease.
func (e *executor) extendLease(deadline fulmarclock.Millis) {
	e.leaseExpiry = max(e.leaseExpiry, min(deadline, e.now()+e.rig.options.MaxLease))
	if e.leaseTimer != nil {
		e.leaseTimer.Stop()
	}
	e.leaseTimer = e.rig.options.Clock.AfterFunc(max(e.leaseExpiry-e.now(), 0), e.onLeaseTimer)
}

func (e *executor) onLeaseTimer() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endExpiredRuns()
}

// endExpiredRuns ends all runs once their lease has expired. It records the expiry as the
// time of the end, because the timer may fire late on a busy machine. The caller holds e.mu.
func (e *executor) endExpiredRuns() {
	if e.now() < e.leaseExpiry {
		return
	}
	if e.leaseExpiry > 0 {
		e.lastLapse = e.clockZero + e.leaseExpiry
	}
	for key := range e.running {
		e.lastLapseOfRuns = e.lastLapse
		e.endRun(key, fulmarjob.RunLeaseExpired, e.clockZero+e.leaseExpiry)
	}
}

// endIfRunning ends a run, unless it has already ended.
func (e *executor) endIfRunning(key runKey, outcome fulmarjob.RunOutcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endExpiredRuns()
	if e.running[key] != nil {
		e.endRun(key, outcome, e.rig.options.Clock.Now())
	}
}

// endRun ends a run at a given time and lists it as unacknowledged. The caller
// holds e.mu.
func (e *executor) endRun(key runKey, outcome fulmarjob.RunOutcome, at fulmarclock.Millis) {
	active := e.running[key]
	active.timer.Stop()
	delete(e.running, key)
	e.rig.recordEnd(active.run, at, string(outcome))
	e.lastSequence++
	e.unacknowledged = append(e.unacknowledged, finishedRun{sequence: e.lastSequence, run: active.run, outcome: outcome})
	close(e.changed)
	e.changed = make(chan struct{})
}

// crash ends the executor and all its runs. The owner gets no report of them.
func (e *executor) crash(outcome string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = true
	for key, active := range e.running {
		active.timer.Stop()
		e.rig.recordEnd(active.run, e.rig.options.Clock.Now(), outcome)
		delete(e.running, key)
	}
	if e.leaseTimer != nil {
		e.leaseTimer.Stop()
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

// endSilently keeps the connections of unfinished calls open at a crash.
func (e *executor) endSilently() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endsSilently = true
}

// abandonCall gives a call no response. Its caller doesn't learn of that if silent is set. It doesn't return.
func abandonCall(q *http.Request, silent bool) {
	if silent {
		<-q.Context().Done()
	}
	panic(http.ErrAbortHandler)
}

func (e *executor) serveStop(w http.ResponseWriter, q *http.Request) {
	var c command
	if !readJSON(w, q, &c) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.checkToken(w, c.FencingToken) {
		return
	}
	e.highestRuns[c.Task] = max(e.highestRuns[c.Task], c.RunNumber)
	for key := range e.running {
		if key.task == c.Task && key.number <= c.RunNumber {
			e.rig.options.Clock.AfterFunc(e.rig.options.StopDuration, func() { e.endIfRunning(key, fulmarjob.RunStopped) })
		}
	}
	writeJSON(w, http.StatusOK, commandResult{ClockTime: e.now()})
}

func (e *executor) serveThrottle(w http.ResponseWriter, q *http.Request) {
	var c command
	if !readJSON(w, q, &c) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checkToken(w, c.FencingToken) {
		writeJSON(w, http.StatusOK, commandResult{ClockTime: e.now()})
	}
}

// renewal is the JSON body of a lease renewal. A zero Deadline leaves the lease as it is.
type renewal struct {
	Deadline             fulmarclock.Millis `json:"deadline_ms"`
	FencingToken         int64              `json:"fencing_token"`
	AcknowledgedSequence int64              `json:"ack_cursor"`
	MaxWait              fulmarclock.Millis `json:"wait_ms"`
}

func (e *executor) serveRenewal(w http.ResponseWriter, q *http.Request) {
	var r renewal
	if !readJSON(w, q, &r) {
		return
	}
	changed, ok := e.applyRenewal(w, r, isLate(q.Context()))
	if !ok {
		return
	}
	if changed != nil && r.MaxWait > 0 {
		select {
		case <-changed:
		case <-e.rig.options.Clock.After(r.MaxWait):
		case <-q.Context().Done():
			return
		}
	}
	e.writeReport(w, q)
}

// applyRenewal extends the lease and drops the acknowledged runs. It returns a channel that
// is closed when the next run ends, or nil if an unacknowledged run can be reported now.
// It returns false after it has rejected the command. late is whether the command is executed late.
func (e *executor) applyRenewal(w http.ResponseWriter, r renewal, late bool) (<-chan struct{}, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.checkToken(w, r.FencingToken) {
		return nil, false
	}
	if r.Deadline > 0 {
		e.extendLease(r.Deadline)
	}
	for len(e.unacknowledged) > 0 && e.unacknowledged[0].sequence <= r.AcknowledgedSequence {
		e.acknowledge(e.unacknowledged[0], late)
		e.unacknowledged = e.unacknowledged[1:]
	}
	if len(e.unacknowledged) > 0 {
		return nil, true
	}
	return e.changed, true
}

// acknowledge records that an acknowledgement has reached an end. The caller holds e.mu.
func (e *executor) acknowledge(f finishedRun, late bool) {
	e.rig.recordAcknowledgement(f.run, Acknowledgement{
		At: e.rig.options.Clock.Now(), Late: late, Unread: f.sequence > e.reportedSequence,
		AfterLapse: e.lastLapse >= f.run.Ended, AfterLapseOfRuns: e.lastLapseOfRuns >= f.run.Ended,
	})
}

// writeReport responds with the active runs, the first unacknowledged ones and the executor's
// incarnation and clock time. A crashed executor and a caller that has left get no report.
func (e *executor) writeReport(w http.ResponseWriter, q *http.Request) {
	if q.Context().Err() != nil {
		return
	}
	e.mu.Lock()
	if e.crashed {
		silent := e.endsSilently
		e.mu.Unlock()
		abandonCall(q, silent)
	}
	defer e.mu.Unlock()
	rows := [][]any{}
	for key := range e.running {
		rows = append(rows, []any{key.task, key.number, "", 100, 0})
	}
	finished := [][5]any{}
	for _, f := range e.unacknowledged[:min(len(e.unacknowledged), maxListedFinished)] {
		finished = append(finished, f.row())
		e.reportedSequence = max(e.reportedSequence, f.sequence)
	}
	writeJSON(w, http.StatusOK, struct {
		Born     int64              `json:"born"`
		Clock    fulmarclock.Millis `json:"clock_ms"`
		Running  [][]any            `json:"running"`
		Finished [][5]any           `json:"finished"`
	}{e.incarnation, e.now(), rows, finished})
}
