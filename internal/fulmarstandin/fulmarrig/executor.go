package fulmarrig

import (
	"net/http"
	"sync"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// Statuses of an executor's answers beside the usual ones.
const statusOtherLife = http.StatusMisdirectedRequest

// defaultRun is how long a run takes where Options.Behave says nothing.
const defaultRun = 200 * fulmarclock.Millis(1)

// executor stands in for one life of a VM.
type executor struct {
	rig    *Rig
	id     string
	vm     string
	born   int64
	opened fulmarclock.Millis

	mu      sync.Mutex
	token   int64
	lease   fulmarclock.Millis
	lapse   fulmarclock.Timer
	running map[string]*present
	highest map[string]int64
	ends    []listedEnd
	count   int64
	dead    bool
	// changed is closed at each end.
	changed chan struct{}
}

// listedEnd is an end until it is acknowledged.
type listedEnd struct {
	number int64
	run    *Run
	how    fulmarjob.RunOutcome
}

// row returns the end as it travels.
func (l listedEnd) row() [5]any { return [5]any{l.number, l.run.Task, l.run.Number, string(l.how), ""} }

// present is a run on an executor.
type present struct {
	run   *Run
	timer fulmarclock.Timer
}

func newExecutor(r *Rig, v *vm, id string) *executor {
	return &executor{
		rig: r, id: id, vm: v.name, born: r.options.Clock.Unix(), opened: r.options.Clock.Now(),
		running: map[string]*present{}, highest: map[string]int64{}, changed: make(chan struct{}),
	}
}

func (e *executor) clock() fulmarclock.Millis { return e.rig.options.Clock.Now() - e.opened }

func (e *executor) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fulmardrum/run-start", e.serveStart)
	mux.HandleFunc("POST /fulmardrum/run-stop", e.serveStop)
	mux.HandleFunc("POST /fulmardrum/hold", e.serveHold)
	mux.HandleFunc("POST /fulmardrum/pace", e.servePace)
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if expected := q.Header.Get("X-Expected-Executor"); expected != e.id || e.isDead() {
			answer(w, statusOtherLife, struct{}{})
			return
		}
		mux.ServeHTTP(w, q)
	})
}

func (e *executor) isDead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead
}

// order is the body of a start or a stop.
type order struct {
	Task     string             `json:"task"`
	Run      int64              `json:"run_number"`
	Payload  string             `json:"specification"`
	Deadline fulmarclock.Millis `json:"deadline_ms"`
	Token    int64              `json:"fencing_token"`
}

type orderAnswer struct {
	Clock  fulmarclock.Millis `json:"clock_ms"`
	Reason string             `json:"reason,omitempty"`
}

// admit checks an order's token; the caller holds the lock.
func (e *executor) admit(w http.ResponseWriter, token int64) bool {
	e.expire()
	if token < e.token {
		answer(w, http.StatusConflict, orderAnswer{e.clock(), "fence"})
		return false
	}
	e.token = token
	return true
}

func (e *executor) serveStart(w http.ResponseWriter, q *http.Request) {
	var o order
	if !read(w, q, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.admit(w, o.Token) {
		return
	}
	present := e.running[o.Task]
	switch {
	case present != nil && present.run.Number == o.Run:
	case o.Deadline < e.clock():
		answer(w, http.StatusConflict, orderAnswer{e.clock(), "late"})
		return
	case o.Run <= e.highest[o.Task]:
		answer(w, http.StatusConflict, orderAnswer{e.clock(), "old"})
		return
	default:
		e.start(o)
	}
	answer(w, http.StatusOK, orderAnswer{Clock: e.clock()})
}

func (e *executor) start(o order) {
	length, fails := defaultRun, false
	if behave := e.rig.options.Behave; behave != nil {
		length, fails = behave(o.Payload, o.Task, o.Run)
	}
	how := fulmarjob.RunDone
	if fails {
		how = fulmarjob.RunFailed
	}
	run := &Run{Task: o.Task, Number: o.Run, Executor: e.id, VM: e.vm, Token: o.Token, Began: e.rig.options.Clock.Now()}
	e.rig.begin(run)
	e.highest[o.Task] = o.Run
	e.running[o.Task] = &present{run: run, timer: e.rig.options.Clock.AfterFunc(length, func() { e.endLater(o.Task, o.Run, how) })}
	e.renew(o.Deadline)
}

// renew lengthens the lease of all that runs; it never shortens.
func (e *executor) renew(deadline fulmarclock.Millis) {
	e.lease = max(e.lease, min(deadline, e.clock()+e.rig.options.MaxHold))
	if e.lapse != nil {
		e.lapse.Stop()
	}
	e.lapse = e.rig.options.Clock.AfterFunc(max(e.lease-e.clock(), 0), e.lapseAll)
}

func (e *executor) lapseAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
}

// expire ends what runs once its lease is over, at the lease's own time: the timer
// may be late on a busy machine. The caller holds the lock.
func (e *executor) expire() {
	if e.clock() < e.lease {
		return
	}
	for task := range e.running {
		e.end(task, fulmarjob.RunLeaseExpired, e.opened+e.lease)
	}
}

func (e *executor) endLater(task string, run int64, how fulmarjob.RunOutcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	if p := e.running[task]; p != nil && p.run.Number == run {
		e.end(task, how, e.rig.options.Clock.Now())
	}
}

// end lists the end of a run at a time; the caller holds the lock.
func (e *executor) end(task string, how fulmarjob.RunOutcome, at fulmarclock.Millis) {
	p := e.running[task]
	p.timer.Stop()
	delete(e.running, task)
	e.rig.finish(p.run, at, string(how))
	e.count++
	e.ends = append(e.ends, listedEnd{number: e.count, run: p.run, how: how})
	close(e.changed)
	e.changed = make(chan struct{})
}

// crash ends the life with all that runs; nothing is listed any more.
func (e *executor) crash(how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = true
	for task, p := range e.running {
		p.timer.Stop()
		e.rig.finish(p.run, e.rig.options.Clock.Now(), how)
		delete(e.running, task)
	}
	if e.lapse != nil {
		e.lapse.Stop()
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) serveStop(w http.ResponseWriter, q *http.Request) {
	var o order
	if !read(w, q, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.admit(w, o.Token) {
		return
	}
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if p := e.running[o.Task]; p != nil && p.run.Number <= o.Run {
		number := p.run.Number
		e.rig.options.Clock.AfterFunc(e.rig.options.StopTime, func() { e.endLater(o.Task, number, fulmarjob.RunStopped) })
	}
	answer(w, http.StatusOK, orderAnswer{Clock: e.clock()})
}

func (e *executor) servePace(w http.ResponseWriter, q *http.Request) {
	var o order
	if !read(w, q, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.admit(w, o.Token) {
		answer(w, http.StatusOK, orderAnswer{Clock: e.clock()})
	}
}

// hold is the body of a renewal.
type hold struct {
	Deadline     fulmarclock.Millis `json:"deadline_ms"`
	Token        int64              `json:"fencing_token"`
	Acknowledged int64              `json:"ack_cursor"`
	Wait         fulmarclock.Millis `json:"wait_ms"`
}

func (e *executor) serveHold(w http.ResponseWriter, q *http.Request) {
	var h hold
	if !read(w, q, &h) {
		return
	}
	changed, proceed := e.takeHold(w, h)
	if !proceed {
		return
	}
	if changed != nil && h.Wait > 0 {
		select {
		case <-changed:
		case <-e.rig.options.Clock.After(h.Wait):
		case <-q.Context().Done():
			return
		}
	}
	e.report(w)
}

// takeHold renews and acknowledges; the channel is nil when an end is listed already.
func (e *executor) takeHold(w http.ResponseWriter, h hold) (<-chan struct{}, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.admit(w, h.Token) {
		return nil, false
	}
	if h.Deadline > 0 {
		e.renew(h.Deadline)
	}
	for len(e.ends) > 0 && e.ends[0].number <= h.Acknowledged {
		e.rig.note(e.ends[0].run)
		e.ends = e.ends[1:]
	}
	if len(e.ends) > 0 {
		return nil, true
	}
	return e.changed, true
}

func (e *executor) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	rows := [][]any{}
	for task, p := range e.running {
		rows = append(rows, []any{task, p.run.Number, "", 100, 0})
	}
	ends := [][5]any{}
	for _, l := range e.ends {
		ends = append(ends, l.row())
	}
	answer(w, http.StatusOK, struct {
		Born     int64              `json:"born"`
		Clock    fulmarclock.Millis `json:"clock_ms"`
		Running  [][]any            `json:"running"`
		Finished [][5]any           `json:"finished"`
	}{e.born, e.clock(), rows, ends})
}
