// Package fulmarrelay lets other members carry out the owner's orders at executors.
// Each order is a request of its own, which costs the owner far more processor time
// than the decision behind it; over a stream to another member many orders travel in
// one message. It answers the load of fleets whose executors the owner's processor
// does not carry; in smaller ones every order goes directly.
//
// Usage, on the owner:
//
//	hub := fulmarrelay.NewHub(options)
//	fulmarrelaypb.RegisterRelayServer(server, hub)
//	hub.SetExecutorCount(executors)                   // chooses as many members as are needed
//	answer, err := hub.Start(ctx, address, id, start)
//
// and on every member:
//
//	fulmarrelay.NewMember(options).Run(ctx) // attaches to whoever owns the scheduler
//
// An order without an answer may have been carried out, as with any other; the
// executors' fencing tokens, run numbers and deadlines decide what still counts.
package fulmarrelay

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"sync"

	"github.com/charmbracelet/log"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarrelay/fulmarrelaypb"
)

// Executors carries out orders at executors.
type Executors interface {
	Start(ctx context.Context, address, id string, s fulmarjob.StartRequest) (fulmarjob.CommandResult, error)
	Stop(ctx context.Context, address, id string, task fulmarjob.TaskID, run, token int64) (fulmarjob.CommandResult, error)
	Throttle(ctx context.Context, address, id string, task fulmarjob.TaskID, run, token int64, percent int) (fulmarjob.CommandResult, error)
	RenewLease(ctx context.Context, address, id string, token, acknowledged int64, deadline, wait fulmarclock.Millis) (fulmarjob.CommandResult, fulmarjob.Report, error)
}

// Counters counts events by reason.
type Counters interface {
	Count(name, reason string)
}

// HubOptions are the parts of a hub.
type HubOptions struct {
	Clock    fulmarclock.Clock
	Logger   *log.Logger
	Counters Counters
	// Direct reaches the executors without another member.
	Direct Executors
	// Cores is what this member's VM has of a processor.
	Cores float64
}

// Hub sends orders through the members that are attached.
type Hub struct {
	fulmarrelaypb.UnimplementedRelayServer
	options HubOptions

	mu        sync.Mutex
	executors int
	// links are all attached members, those with most cores first; the first active ones carry orders.
	links  []*link
	active []*link
}

// NewHub returns a hub without members.
func NewHub(o HubOptions) *Hub { return &Hub{options: o} }

// SetExecutorCount tells how many executors there are to be served.
func (h *Hub) SetExecutorCount(executors int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if executors != h.executors {
		h.executors = executors
		h.choose()
	}
}

// choose makes as many members carry orders as have the cores that this member lacks; the caller holds the lock.
func (h *Hub) choose() {
	lacking := float64(h.executors)/executorsPerCore - h.options.Cores
	n := 0
	for n < len(h.links) && lacking > 0 {
		lacking -= h.links[n].cores
		n++
	}
	if n != len(h.active) {
		h.options.Logger.Info("members that carry orders", "carrying", n, "attached", len(h.links), "executors", h.executors)
	}
	h.active = slices.Clone(h.links[:n])
}

// Attach serves a member's stream until it ends or goes silent.
func (h *Hub) Attach(stream fulmarrelaypb.Relay_AttachServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	l := newLink(first.GetIntroduction().GetMember(), first.GetIntroduction().GetCores(), h.options.Clock)
	h.add(l)
	err = l.serve(stream)
	h.remove(l, err)
	return err
}

func (h *Hub) add(l *link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.links = append(h.links, l)
	slices.SortFunc(h.links, func(a, b *link) int { return cmp.Or(cmp.Compare(b.cores, a.cores), cmp.Compare(a.member, b.member)) })
	h.options.Logger.Info("a member has attached", "member_attached", l.member, "cores", l.cores)
	h.choose()
}

func (h *Hub) remove(l *link, cause error) {
	h.mu.Lock()
	h.links = slices.DeleteFunc(h.links, func(o *link) bool { return o == l })
	h.choose()
	h.mu.Unlock()
	n := l.fail()
	h.options.Logger.Info("a member has detached", "member_detached", l.member, "orders_without_answer", n, "cause", cause)
	h.options.Counters.Count("relay_detached", "stream-ended")
}

// pick returns the member that carries an executor's orders, or nil for none. The
// same member serves an executor while the members stay, so that it keeps its connections.
func (h *Hub) pick(executor string) *link {
	h.mu.Lock()
	defer h.mu.Unlock()
	var best *link
	highest := uint64(0)
	for _, l := range h.active {
		if weight := weightOf(l.member, executor); best == nil || weight > highest {
			best, highest = l, weight
		}
	}
	return best
}

func weightOf(member, executor string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(executor)) // a hash never fails
	_, _ = hash.Write([]byte(member))
	return hash.Sum64()
}

// carry sends an order through a member; carried is false where it must go directly.
func (h *Hub) carry(ctx context.Context, o *fulmarrelaypb.Order) (answer *fulmarrelaypb.Answer, carried bool, err error) {
	l := h.pick(o.GetExecutor())
	if l == nil {
		return nil, false, nil
	}
	answer, err = l.exchange(ctx, o)
	if _, full := err.(*fullError); full {
		h.options.Counters.Count("relay_bypassed", "queue-full")
		return nil, false, nil
	}
	return answer, true, err
}

// Start orders a run at an executor.
func (h *Hub) Start(ctx context.Context, address, id string, s fulmarjob.StartRequest) (fulmarjob.CommandResult, error) {
	answer, carried, err := h.carry(ctx, &fulmarrelaypb.Order{Address: address, Executor: id, Kind: encodeStart(s)})
	if !carried {
		return h.options.Direct.Start(ctx, address, id, s)
	}
	return decodeAnswer(answer, err)
}

// Stop orders the end of a run.
func (h *Hub) Stop(ctx context.Context, address, id string, task fulmarjob.TaskID, run, token int64) (fulmarjob.CommandResult, error) {
	stop := &fulmarrelaypb.Order_Stop{Stop: &fulmarrelaypb.Stop{Task: encodeTask(task), Run: run, Token: token}}
	answer, carried, err := h.carry(ctx, &fulmarrelaypb.Order{Address: address, Executor: id, Kind: stop})
	if !carried {
		return h.options.Direct.Stop(ctx, address, id, task, run, token)
	}
	return decodeAnswer(answer, err)
}

// Throttle sets the share of its full speed at which a run works.
func (h *Hub) Throttle(ctx context.Context, address, id string, task fulmarjob.TaskID, run, token int64, percent int) (fulmarjob.CommandResult, error) {
	pace := &fulmarrelaypb.Order_Pace{Pace: &fulmarrelaypb.Pace{Task: encodeTask(task), Run: run, Token: token, Percent: int64(percent)}}
	answer, carried, err := h.carry(ctx, &fulmarrelaypb.Order{Address: address, Executor: id, Kind: pace})
	if !carried {
		return h.options.Direct.Throttle(ctx, address, id, task, run, token, percent)
	}
	return decodeAnswer(answer, err)
}

// RenewLease renews an executor's lease, acknowledges ends and asks for its tasks.
func (h *Hub) RenewLease(ctx context.Context, address, id string, token, acknowledged int64, deadline, wait fulmarclock.Millis) (fulmarjob.CommandResult, fulmarjob.Report, error) {
	hold := &fulmarrelaypb.Order_Hold{Hold: &fulmarrelaypb.Hold{
		Token: token, Acknowledged: acknowledged, DeadlineMs: int64(deadline), WaitMs: int64(wait),
	}}
	answer, carried, err := h.carry(ctx, &fulmarrelaypb.Order{Address: address, Executor: id, Kind: hold})
	if !carried {
		return h.options.Direct.RenewLease(ctx, address, id, token, acknowledged, deadline, wait)
	}
	verdict, err := decodeAnswer(answer, err)
	return verdict, decodeReport(answer.GetReport()), err
}
