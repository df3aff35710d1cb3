package fulmarrelay

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/frankban/quicktest"
	"google.golang.org/grpc"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
	"github.com/fulmardrum/fulmardrum/internal/fulmarrelay/fulmarrelaypb"
)

// recorder answers orders and notes them.
type recorder struct {
	mu     sync.Mutex
	starts []fulmarjob.StartRequest
	answer fulmarjob.CommandResult
	err    error
	report fulmarjob.Report
	// blocks lets orders wait for the end of their context.
	blocks bool
}

func (r *recorder) take(ctx context.Context) (fulmarjob.CommandResult, error) {
	if r.blocks {
		<-ctx.Done()
		return fulmarjob.ResultUnknown, ctx.Err()
	}
	return r.answer, r.err
}

func (r *recorder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.starts)
}

func (r *recorder) Start(ctx context.Context, _, _ string, s fulmarjob.StartRequest) (fulmarjob.CommandResult, error) {
	r.mu.Lock()
	r.starts = append(r.starts, s)
	r.mu.Unlock()
	return r.take(ctx)
}

func (r *recorder) Stop(ctx context.Context, _, _ string, _ fulmarjob.TaskID, _, _ int64) (fulmarjob.CommandResult, error) {
	return r.take(ctx)
}

func (r *recorder) Throttle(ctx context.Context, _, _ string, _ fulmarjob.TaskID, _, _ int64, _ int) (fulmarjob.CommandResult, error) {
	return r.take(ctx)
}

func (r *recorder) RenewLease(ctx context.Context, _, _ string, _, _ int64, _, _ fulmarclock.Millis) (fulmarjob.CommandResult, fulmarjob.Report, error) {
	answer, err := r.take(ctx)
	return answer, r.report, err
}

// calmClock lets messages go at once and no stream ever seem silent, however slow the machine is.
type calmClock struct{ fulmarclock.Clock }

func (calmClock) Now() fulmarclock.Millis { return 0 }

func (calmClock) After(wait fulmarclock.Millis) <-chan fulmarclock.Millis {
	if wait > gatherTime {
		return nil
	}
	done := make(chan fulmarclock.Millis, 1)
	done <- 0
	return done
}

type countNothing struct{}

func (countNothing) Count(string, string) {}

// ownedBy is an ownership that never changes.
type ownedBy struct{ owner fulmarledger.Owner }

func (o ownedBy) Owner() (fulmarledger.Owner, bool) { return o.owner, true }
func (ownedBy) OwnerChanged() <-chan struct{}       { return nil }

// stage is a hub with members around it.
type stage struct {
	t       *testing.T
	hub     *Hub
	direct  *recorder
	address string
}

func newStage(t *testing.T, direct *recorder) *stage {
	hub := NewHub(HubOptions{
		Clock: calmClock{}, Logger: log.New(io.Discard), Counters: countNothing{}, Direct: direct, Cores: 1,
	})
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	server := grpc.NewServer()
	fulmarrelaypb.RegisterRelayServer(server, hub)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(socket) }()
	t.Cleanup(func() {
		server.Stop()
		<-ended
	})
	return &stage{t: t, hub: hub, direct: direct, address: socket.Addr().String()}
}

// attach starts a member and returns how to end it.
func (s *stage) attach(name string, cores float64, executors Executors) func() {
	member := NewMember(MemberOptions{
		Name: name, Cores: cores, Self: "elsewhere", Ownership: ownedBy{fulmarledger.Owner{Member: "owner", Peers: s.address}},
		Executors: executors, Clock: calmClock{}, Logger: log.New(io.Discard),
	})
	before := s.attached()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		member.Run(ctx)
		close(ended)
	}()
	s.await(func() bool { return s.attached() == before+1 })
	end := sync.OnceFunc(func() {
		cancel()
		<-ended
	})
	s.t.Cleanup(end)
	return end
}

func (s *stage) attached() int {
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	return len(s.hub.links)
}

func (s *stage) await(holds func() bool) {
	clock := fulmarclock.NewSystem()
	for !holds() {
		<-clock.After(1)
	}
}

func (s *stage) start() (fulmarjob.CommandResult, error) {
	return s.hub.Start(context.Background(), "a", "x", fulmarjob.StartRequest{Run: 1})
}

func TestOrdersGoDirectlyWhereTheOwnCoresAreEnough(t *testing.T) {
	s := newStage(t, &recorder{})
	member := &recorder{}
	s.attach("m", 1, member)
	s.hub.SetExecutorCount(100)
	answer, err := s.start()
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, answer, quicktest.Equals, fulmarjob.ResultDone)
	quicktest.Assert(t, s.direct.count(), quicktest.Equals, 1)
	quicktest.Assert(t, member.count(), quicktest.Equals, 0)
}

func TestAnOrderTravelsWhole(t *testing.T) {
	s := newStage(t, &recorder{})
	task := fulmarjob.TaskID{Job: "j", Occurrence: 3, Step: 2, Index: 7}
	member := &recorder{
		answer: fulmarjob.ResultNoCapacity,
		report: fulmarjob.Report{
			Incarnation: 5, ClockTime: 6,
			Running:  []fulmarjob.RunningTask{{Task: task, Run: 2, Checkpoint: "s", ProgressPercent: 40, Measurement: 1.5}},
			Finished: []fulmarjob.FinishedTask{{Sequence: 9, Task: task, Run: 1, Outcome: fulmarjob.RunFailed, Checkpoint: "t"}},
		},
	}
	s.attach("m", 1, member)
	s.hub.SetExecutorCount(1000)
	start := fulmarjob.StartRequest{Task: task, Run: 4, Payload: "p", Checkpoint: "c", Ticket: "t", Deadline: 77, Token: 8}
	answer, err := s.hub.Start(context.Background(), "a", "x", start)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, answer, quicktest.Equals, fulmarjob.ResultNoCapacity)
	quicktest.Assert(t, member.starts, quicktest.DeepEquals, []fulmarjob.StartRequest{start})
	_, report, err := s.hub.RenewLease(context.Background(), "a", "x", 1, 2, 3, 0)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, report, quicktest.DeepEquals, member.report)
}

func TestAnswersOfMembers(t *testing.T) {
	cause := &RemoteError{Text: "no answer"}
	for _, row := range []struct {
		name   string
		member *recorder
		answer fulmarjob.CommandResult
		fails  bool
	}{
		{"done", &recorder{}, fulmarjob.ResultDone, false},
		{"fenced", &recorder{answer: fulmarjob.ResultFenced}, fulmarjob.ResultFenced, false},
		{"no answer", &recorder{answer: fulmarjob.ResultUnknown, err: cause}, fulmarjob.ResultUnknown, true},
		{"an answer beyond the known ones", &recorder{answer: 99}, fulmarjob.ResultUnknown, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := newStage(t, &recorder{})
			s.attach("m", 1, row.member)
			s.hub.SetExecutorCount(1000)
			answer, err := s.start()
			quicktest.Assert(t, answer, quicktest.Equals, row.answer)
			quicktest.Assert(t, err != nil, quicktest.Equals, row.fails)
		})
	}
}

// An order whose member leaves may have been carried out: its outcome is unknown,
// and the next order goes another way.
func TestOrdersOfAMemberThatLeavesAreUnknown(t *testing.T) {
	s := newStage(t, &recorder{})
	end := s.attach("m", 1, &recorder{blocks: true})
	s.hub.SetExecutorCount(1000)
	type outcome struct {
		answer fulmarjob.CommandResult
		err    error
	}
	outcomes := make(chan outcome, 1)
	go func() {
		answer, err := s.start()
		outcomes <- outcome{answer, err}
	}()
	s.await(func() bool {
		s.hub.mu.Lock()
		defer s.hub.mu.Unlock()
		l := s.hub.links[0]
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.waiting) == 1
	})
	end()
	o := <-outcomes
	quicktest.Assert(t, o.answer, quicktest.Equals, fulmarjob.ResultUnknown)
	quicktest.Assert(t, o.err, quicktest.ErrorMatches, ".*the stream to m has ended")
	answer, err := s.start()
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, answer, quicktest.Equals, fulmarjob.ResultDone)
	quicktest.Assert(t, s.direct.count(), quicktest.Equals, 1)
}

func TestTheMembersWithMostCoresCarry(t *testing.T) {
	s := newStage(t, &recorder{})
	small, large := &recorder{}, &recorder{}
	s.attach("a-small", 0.2, small)
	s.attach("b-large", 0.8, large)
	s.hub.SetExecutorCount(200)
	for range 5 {
		_, err := s.start()
		quicktest.Assert(t, err, quicktest.IsNil)
	}
	quicktest.Assert(t, large.count(), quicktest.Equals, 5)
	s.hub.SetExecutorCount(300)
	s.hub.mu.Lock()
	defer s.hub.mu.Unlock()
	quicktest.Assert(t, len(s.hub.active), quicktest.Equals, 2)
}
