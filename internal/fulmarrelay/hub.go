// Package fulmarrelay distributes the owner's commands to executors over the other
// members. Each command is an HTTP request, which costs the owner far more processor
// time than the scheduling decision behind it, whereas one message to another member
// carries many commands. The relay is used only when the fleet has more executors than
// the owner's processor can serve; in smaller fleets every command goes directly.
//
// Usage, on the owner:
//
//	hub := fulmarrelay.NewHub(options)
//	fulmarrelaypb.RegisterRelayServer(server, hub)
//	hub.SetExecutorCount(executors) // activates as many members as this number of executors needs
//	result, err := hub.Start(ctx, address, id, start)
//
// and on every member:
//
//	fulmarrelay.NewAgent(options).Run(ctx) // attaches to the current owner
//
// A member that can't reach the store does not see a change of the owner there. So a new owner
// announces itself to its predecessor (Announce), whose hub tells the members that are attached to it.
//
// A relayed command without a result may have been executed, like a direct one. Fencing
// tokens, run numbers and deadlines let executors reject commands that are out of date.
// In the protocol a command is an Order and its result an Answer.
package fulmarrelay

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
	"github.com/fulmardrum/fulmardrum/internal/fulmarrelay/fulmarrelaypb"
)

// Executors executes commands at executors.
type Executors interface {
	Start(ctx context.Context, address, id string, s fulmarjob.StartRequest) (fulmarjob.CommandResult, error)
	Stop(ctx context.Context, address, id string, task fulmarjob.TaskID, run, token int64) (fulmarjob.CommandResult, error)
	Throttle(ctx context.Context, address, id string, task fulmarjob.TaskID, run, token int64, percent int) (fulmarjob.CommandResult, error)
	RenewLease(ctx context.Context, address, id string, token, acknowledged int64, deadline, wait fulmarclock.Millis) (fulmarjob.CommandResult, fulmarjob.Report, error)
}

// Metrics counts events by reason.
type Metrics interface {
	Count(name, reason string)
}

// HubOptions are the dependencies of a Hub.
type HubOptions struct {
	Clock fulmarclock.Clock
	// BootClock also counts the time in which the VM was suspended; nil means a fulmarclock.Boot.
	BootClock fulmarclock.Clock
	Logger    *log.Logger
	Metrics   Metrics
	// Direct sends commands to the executors from this process.
	Direct Executors
	// Cores is the number of processor cores of this member's VM; it may be a fraction.
	Cores float64
	// LearnOwner records an owner that another member has announced. It returns false if this member
	// knows of the same or a later one.
	LearnOwner func(owner fulmarledger.Owner) bool
}

// Hub is the owner's side of the relay. It sends commands through the attached members,
// or directly when no member is active.
type Hub struct {
	fulmarrelaypb.UnimplementedRelayServer
	options HubOptions
	// laterOwner is the newest owner that was announced to this member.
	laterOwner atomic.Pointer[fulmarrelaypb.Owner]

	mu        sync.Mutex
	executors int
	// sessions are the streams of all attached members, most cores first; active is the
	// prefix of sessions that relays commands.
	sessions []*session
	active   []*session
}

// NewHub returns a hub without attached members.
func NewHub(o HubOptions) *Hub {
	if o.BootClock == nil {
		o.BootClock = fulmarclock.NewBoot()
	}
	return &Hub{options: o}
}

// SetExecutorCount sets the number of executors to serve, which determines how many members are active.
func (h *Hub) SetExecutorCount(executors int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if executors != h.executors {
		h.executors = executors
		h.selectActive()
	}
}

// MostCores returns the most processor cores of an attached member, zero if none is attached.
func (h *Hub) MostCores() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.sessions) == 0 {
		return 0
	}
	return h.sessions[0].cores
}

// selectActive activates as many sessions as are needed to provide the cores that this
// member lacks. The caller holds the lock.
func (h *Hub) selectActive() {
	missingCores := float64(h.executors)/executorsPerCore - h.options.Cores
	n := 0
	for n < len(h.sessions) && missingCores > 0 {
		missingCores -= h.sessions[n].cores
		n++
	}
	if n != len(h.active) {
		h.options.Logger.Info("number of members that relay commands changed", "carrying", n, "attached", len(h.sessions), "executors", h.executors)
	}
	h.active = slices.Clone(h.sessions[:n])
}

// Attach serves a member's stream until it ends or its heartbeats time out.
func (h *Hub) Attach(stream fulmarrelaypb.Relay_AttachServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	s := newSession(first.GetIntroduction().GetMember(), first.GetIntroduction().GetCores(), h.options.Clock, h.options.BootClock)
	s.memberClock.observe(h.options.BootClock.Now(), fulmarclock.Millis(first.GetClockMs()))
	h.add(s)
	err = s.serve(stream, &ownerNotice{later: &h.laterOwner})
	h.remove(s, err)
	return err
}

func (h *Hub) add(s *session) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sessions = append(h.sessions, s)
	slices.SortFunc(h.sessions, func(x, y *session) int { return cmp.Or(cmp.Compare(y.cores, x.cores), cmp.Compare(x.member, y.member)) })
	h.options.Logger.Info("member attached to the relay", "member_attached", s.member, "cores", s.cores)
	h.selectActive()
}

func (h *Hub) remove(s *session, cause error) {
	h.mu.Lock()
	h.sessions = slices.DeleteFunc(h.sessions, func(o *session) bool { return o == s })
	h.selectActive()
	h.mu.Unlock()
	pending := s.close()
	h.options.Logger.Info("member detached from the relay; its commands without a result have unknown outcomes", "member_detached", s.member, "orders_without_answer", pending, "cause", cause)
	h.options.Metrics.Count("relay_detached", "stream-ended")
}

// sessionFor returns the active session for an executor's commands, or nil if none is
// active. Rendezvous hashing keeps an executor on the same member while the active
// members stay the same, so that the member reuses its connections.
func (h *Hub) sessionFor(executor string) *session {
	h.mu.Lock()
	defer h.mu.Unlock()
	var best *session
	highest := uint64(0)
	for _, s := range h.active {
		if weight := rendezvousWeight(s.member, executor); best == nil || weight > highest {
			best, highest = s, weight
		}
	}
	return best
}

func rendezvousWeight(member, executor string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(executor)) // hash.Hash never returns an error
	_, _ = hash.Write([]byte(member))
	return hash.Sum64()
}

// relay sends a command through a member and returns its result. relayed is false when
// the command was not sent and has to go directly.
func (h *Hub) relay(ctx context.Context, o *fulmarrelaypb.Order) (result *fulmarrelaypb.Answer, relayed bool, err error) {
	s := h.sessionFor(o.GetExecutor())
	if s == nil {
		return nil, false, nil
	}
	result, err = s.roundTrip(ctx, o)
	if _, full := err.(*queueFullError); full {
		h.options.Metrics.Count("relay_bypassed", "queue-full")
		return nil, false, nil
	}
	return result, true, err
}

// Start commands an executor to start a run.
func (h *Hub) Start(ctx context.Context, address, id string, s fulmarjob.StartRequest) (fulmarjob.CommandResult, error) {
	result, relayed, err := h.relay(ctx, &fulmarrelaypb.Order{Address: address, Executor: id, Kind: encodeStart(s)})
	if !relayed {
		return h.options.Direct.Start(ctx, address, id, s)
	}
	return decodeResult(result, err)
}

// Stop commands an executor to stop a run.
func (h *Hub) Stop(ctx context.Context, address, id string, task fulmarjob.TaskID, run, token int64) (fulmarjob.CommandResult, error) {
	stop := &fulmarrelaypb.Order_Stop{Stop: &fulmarrelaypb.Stop{Task: encodeTask(task), Run: run, Token: token}}
	result, relayed, err := h.relay(ctx, &fulmarrelaypb.Order{Address: address, Executor: id, Kind: stop})
	if !relayed {
		return h.options.Direct.Stop(ctx, address, id, task, run, token)
	}
	return decodeResult(result, err)
}

// Throttle limits a run to a percentage of its full speed.
func (h *Hub) Throttle(ctx context.Context, address, id string, task fulmarjob.TaskID, run, token int64, percent int) (fulmarjob.CommandResult, error) {
	throttle := &fulmarrelaypb.Order_Pace{Pace: &fulmarrelaypb.Pace{Task: encodeTask(task), Run: run, Token: token, Percent: int64(percent)}}
	result, relayed, err := h.relay(ctx, &fulmarrelaypb.Order{Address: address, Executor: id, Kind: throttle})
	if !relayed {
		return h.options.Direct.Throttle(ctx, address, id, task, run, token, percent)
	}
	return decodeResult(result, err)
}

// RenewLease renews an executor's lease, acknowledges finished runs and returns its report.
func (h *Hub) RenewLease(ctx context.Context, address, id string, token, acknowledged int64, deadline, wait fulmarclock.Millis) (fulmarjob.CommandResult, fulmarjob.Report, error) {
	renewal := &fulmarrelaypb.Order_Hold{Hold: &fulmarrelaypb.Hold{
		Token: token, Acknowledged: acknowledged, DeadlineMs: int64(deadline), WaitMs: int64(wait),
	}}
	result, relayed, err := h.relay(ctx, &fulmarrelaypb.Order{Address: address, Executor: id, Kind: renewal})
	if !relayed {
		return h.options.Direct.RenewLease(ctx, address, id, token, acknowledged, deadline, wait)
	}
	decoded, err := decodeResult(result, err)
	return decoded, decodeReport(result.GetReport()), err
}
