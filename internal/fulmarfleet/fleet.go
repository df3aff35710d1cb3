package fulmarfleet

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/gravitational/trace"

	"github.com/fulmardrum/fulmardrum/internal/fulmarassign"
	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarconfig"
	"github.com/fulmardrum/fulmardrum/internal/fulmarplatform"
)

const (
	retryFirst = 100 * fulmarclock.Millis(1)
	retryMost  = 3 * fulmarclock.Second
)

// Platform is the part of the platform that a fleet's view comes from.
type Platform interface {
	Watch(ctx context.Context, prefix string, after fulmarplatform.Revision, wait fulmarclock.Millis) (fulmarplatform.Changes, error)
	VMs(ctx context.Context, version int64) (list fulmarplatform.VMList, found bool, err error)
}

// FailureCounter counts failed calls to the platform.
type FailureCounter interface {
	PlatformFailure(duty string)
}

// Fleet keeps the current view.
type Fleet struct {
	platform Platform
	clock    fulmarclock.Clock
	logger   *log.Logger
	failures FailureCounter
	pollVMs  fulmarclock.Millis
	// watchWait is how long a watch without changes waits for its answer.
	watchWait fulmarclock.Millis

	mu      sync.Mutex
	view    atomic.Pointer[View]
	changed chan struct{}
}

// New returns a fleet with an empty view; pollVMs is the time between looks at
// the VM list, watchWait the longest time of a watch without changes.
func New(platform Platform, clock fulmarclock.Clock, logger *log.Logger, failures FailureCounter, pollVMs, watchWait fulmarclock.Millis) *Fleet {
	f := &Fleet{
		platform: platform, clock: clock, logger: logger, failures: failures, pollVMs: pollVMs, watchWait: watchWait,
		changed: make(chan struct{}, 1),
	}
	f.view.Store(&View{table: fulmarassign.Table{VMs: map[string]fulmarassign.Assignment{}}, members: map[string]Member{}, lapsed: map[string]fulmarclock.Millis{}})
	return f
}

// View returns the current view.
func (f *Fleet) View() *View { return f.view.Load() }

// Changed returns a channel that receives after the view has changed; several changes may give one receipt.
func (f *Fleet) Changed() <-chan struct{} { return f.changed }

// LearnRecord takes in a configuration record from wherever it comes and tells
// whether it is newer than the one in force.
func (f *Fleet) LearnRecord(record fulmarconfig.Record) bool {
	newer := false
	f.update(func(next *View) bool {
		newer = record.Generation > next.record.Generation
		if newer {
			next.record = record
		}
		return newer
	})
	return newer
}

// LearnTable takes in the assignments at a revision from wherever they come.
func (f *Fleet) LearnTable(value []byte, revision fulmarplatform.Revision) error {
	var err error
	f.update(func(next *View) bool {
		before := next.tableRevision
		err = next.applyTable(fulmarplatform.Entry{Value: value, Revision: revision})
		return next.tableRevision > before
	})
	return err
}

// LearnVMs takes in a VM list from wherever it comes, if it is newer.
func (f *Fleet) LearnVMs(list fulmarplatform.VMList) {
	f.update(func(next *View) bool {
		newer := list.Version > next.vms.Version
		if newer {
			next.setVMs(list, f.clock.Now())
		}
		return newer
	})
}

// Watch follows the keys of the fleet until ctx ends.
func (f *Fleet) Watch(ctx context.Context) {
	after := fulmarplatform.Revision(0)
	backoff := newBackoff()
	for ctx.Err() == nil {
		changes, err := f.platform.Watch(ctx, Prefix, after, f.watchWait)
		if err != nil {
			f.failures.PlatformFailure("watch")
			backoff.wait(ctx, f.clock)
			continue
		}
		backoff.reset()
		after = changes.Revision
		f.learn(changes)
	}
}

// PollVMs follows the VM list until ctx ends.
func (f *Fleet) PollVMs(ctx context.Context) {
	for ctx.Err() == nil {
		list, found, err := f.platform.VMs(ctx, f.View().vms.Version)
		if err != nil {
			f.failures.PlatformFailure("vm-list")
		}
		if found {
			f.update(func(next *View) bool {
				next.setVMs(list, f.clock.Now())
				return true
			})
		}
		select {
		case <-f.clock.After(f.pollVMs):
		case <-ctx.Done():
		}
	}
}

func (f *Fleet) learn(changes fulmarplatform.Changes) {
	f.update(func(next *View) bool {
		next.platformSeen = f.clock.Now()
		next.platformAnswered = true
		next.members = maps.Clone(next.members)
		next.lapsed = maps.Clone(next.lapsed)
		for _, entry := range changes.Entries {
			if err := next.apply(entry, f.clock.Now()); err != nil {
				f.logger.Error("a value of the key-value service cannot be read", "key", entry.Key, "error", err)
			}
		}
		return len(changes.Entries) > 0
	})
}

// update replaces the view by a changed copy; change tells whether others need to know.
func (f *Fleet) update(change func(next *View) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.view.Load()
	announce := change(&next)
	f.view.Store(&next)
	if !announce {
		return
	}
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

func (v *View) apply(entry fulmarplatform.Entry, now fulmarclock.Millis) error {
	switch {
	case entry.Key == fulmarconfig.RecordKey && !entry.Deleted:
		return v.applyRecord(entry.Value)
	case entry.Key == fulmarassign.TableKey && !entry.Deleted:
		return v.applyTable(entry)
	case strings.HasPrefix(entry.Key, MembersPrefix):
		return v.applyMember(entry, now)
	}
	return nil
}

func (v *View) applyRecord(value []byte) error {
	record, err := fulmarconfig.DecodeRecord(value)
	if err != nil {
		return err
	}
	if record.Generation > v.record.Generation {
		v.record = record
	}
	return nil
}

func (v *View) applyTable(entry fulmarplatform.Entry) error {
	if entry.Revision <= v.tableRevision {
		return nil
	}
	table, err := fulmarassign.Decode(entry.Value)
	if err != nil {
		return err
	}
	v.table, v.tableRevision = table, entry.Revision
	return nil
}

func (v *View) applyMember(entry fulmarplatform.Entry, now fulmarclock.Millis) error {
	name := strings.TrimPrefix(entry.Key, MembersPrefix)
	if entry.Deleted {
		if _, known := v.members[name]; known {
			v.lapsed[name] = now
		}
		delete(v.members, name)
		return nil
	}
	var member Member
	if err := json.Unmarshal(entry.Value, &member); err != nil {
		return trace.Wrap(err)
	}
	delete(v.lapsed, name)
	if member.Left {
		delete(v.members, name)
		return nil
	}
	v.members[name] = member
	return nil
}

// backoff spaces out failed calls, with jitter.
type backoff struct {
	next fulmarclock.Millis
}

func newBackoff() *backoff { return &backoff{next: retryFirst} }

func (b *backoff) reset() { b.next = retryFirst }

func (b *backoff) wait(ctx context.Context, clock fulmarclock.Clock) {
	jittered := b.next/2 + fulmarclock.Millis(rand.Int64N(int64(b.next)))
	b.next = min(2*b.next, retryMost)
	select {
	case <-clock.After(jittered):
	case <-ctx.Done():
	}
}
