package fulmarfleet

import (
	"context"
	"encoding/json"
	"fmt"
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
	minRetryDelay = 100 * fulmarclock.Millis(1)
	maxRetryDelay = 3 * fulmarclock.Second
)

// Platform is the part of the platform's API that a fleet reads.
type Platform interface {
	Watch(ctx context.Context, prefix string, after fulmarplatform.Revision, wait fulmarclock.Millis) (fulmarplatform.Changes, error)
	VMs(ctx context.Context, version int64) (list fulmarplatform.VMList, found bool, err error)
}

// FailureCounter counts failed calls to the platform by operation.
type FailureCounter interface {
	PlatformFailure(operation string)
}

// Fleet keeps the current view of the fleet up to date.
type Fleet struct {
	platform       Platform
	clock          fulmarclock.Clock
	logger         *log.Logger
	failures       FailureCounter
	vmPollInterval fulmarclock.Millis
	// watchTimeout is the time after which the platform responds to a watch without changes.
	watchTimeout fulmarclock.Millis

	// mu serializes updates of view.
	mu      sync.Mutex
	view    atomic.Pointer[View]
	changed chan struct{}
}

// New returns a fleet with an empty view. It polls the VM list every
// vmPollInterval, and the platform responds to a watch without changes after watchTimeout.
func New(platform Platform, clock fulmarclock.Clock, logger *log.Logger, failures FailureCounter, vmPollInterval, watchTimeout fulmarclock.Millis) *Fleet {
	f := &Fleet{
		platform: platform, clock: clock, logger: logger, failures: failures, vmPollInterval: vmPollInterval, watchTimeout: watchTimeout,
		changed: make(chan struct{}, 1),
	}
	f.view.Store(&View{table: fulmarassign.Table{VMs: map[string]fulmarassign.Assignment{}}, members: map[string]Member{}, expired: map[string]fulmarclock.Millis{}})
	return f
}

// View returns the current view.
func (f *Fleet) View() *View { return f.view.Load() }

// Changed returns a channel that receives after the view has changed. Several changes may be merged into one value.
func (f *Fleet) Changed() <-chan struct{} { return f.changed }

// MergeRecord adopts a configuration record from any source if its generation is
// newer than the known one, and reports whether it was.
func (f *Fleet) MergeRecord(record fulmarconfig.Record) bool {
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

// MergeTable adopts encoded assignments from any source if their revision is newer
// than the known one. It returns an error if they cannot be decoded.
func (f *Fleet) MergeTable(value []byte, revision fulmarplatform.Revision) error {
	var err error
	f.update(func(next *View) bool {
		before := next.tableRevision
		err = next.applyTable(fulmarplatform.Entry{Value: value, Revision: revision})
		return next.tableRevision > before
	})
	return err
}

// MergeVMs adopts a VM list from any source if its version is newer than the known one.
func (f *Fleet) MergeVMs(list fulmarplatform.VMList) {
	f.update(func(next *View) bool {
		newer := list.Version > next.vms.Version
		if newer {
			next.setVMs(list, f.clock.Now())
		}
		return newer
	})
}

// Watch applies changes of the fleet's keys to the view until ctx ends. Failed calls are retried with backoff.
func (f *Fleet) Watch(ctx context.Context) {
	after := fulmarplatform.Revision(0)
	backoff := newBackoff()
	for ctx.Err() == nil {
		changes, err := f.platform.Watch(ctx, Prefix, after, f.watchTimeout)
		if err != nil {
			f.failures.PlatformFailure("watch")
			backoff.wait(ctx, f.clock)
			continue
		}
		backoff.reset()
		after = changes.Revision
		f.applyChanges(changes)
	}
}

// PollVMs polls the VM list until ctx ends.
func (f *Fleet) PollVMs(ctx context.Context) {
	for ctx.Err() == nil {
		list, found, err := f.platform.VMs(ctx, f.View().vms.Version)
		if err != nil {
			f.failures.PlatformFailure("vm-list")
		}
		if found {
			f.MergeVMs(list)
		}
		select {
		case <-f.clock.After(f.vmPollInterval):
		case <-ctx.Done():
		}
	}
}

// applyChanges applies the result of a watch. An entry that cannot be decoded is
// logged and skipped.
func (f *Fleet) applyChanges(changes fulmarplatform.Changes) {
	f.update(func(next *View) bool {
		next.lastPlatformResponse = f.clock.Now()
		next.members = maps.Clone(next.members)
		next.expired = maps.Clone(next.expired)
		for _, entry := range changes.Entries {
			if err := next.apply(entry, f.clock.Now()); err != nil {
				f.logger.Error("could not decode a value of the key-value service; keeping the previous one", "key", entry.Key, "error", err)
			}
		}
		return len(changes.Entries) > 0
	})
}

// update replaces the view by a modified copy. modify reports whether receivers of
// Changed must be notified; it must not modify maps that it has not cloned.
func (f *Fleet) update(modify func(next *View) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.view.Load()
	notify := modify(&next)
	f.view.Store(&next)
	if !notify {
		return
	}
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// apply applies one entry of the key-value service.
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
	if len(entry.Value) == 0 {
		return trace.BadParameter("the value of %s is empty", fulmarassign.TableKey)
	}
	table, err := fulmarassign.Decode(entry.Value)
	if err != nil {
		return err
	}
	v.table, v.tableRevision = table, entry.Revision
	return nil
}

// RegistrationError means that a registration is not that of the member that its key names.
type RegistrationError struct{ key, name string }

// Error returns the key and the name in the registration.
func (e *RegistrationError) Error() string {
	return fmt.Sprintf("%s holds the registration of %q", e.key, e.name)
}

// applyMember applies a member's registration. A deletion means that its lease has
// expired or was revoked; after a graceful stop the member is no longer in members.
func (v *View) applyMember(entry fulmarplatform.Entry, now fulmarclock.Millis) error {
	name := strings.TrimPrefix(entry.Key, MembersPrefix)
	if entry.Deleted {
		if _, found := v.members[name]; found {
			v.expired[name] = now
		}
		delete(v.members, name)
		return nil
	}
	var member Member
	if err := json.Unmarshal(entry.Value, &member); err != nil {
		return trace.Wrap(err)
	}
	if name == "" || member.Name != name {
		return &RegistrationError{key: entry.Key, name: member.Name}
	}
	delete(v.expired, name)
	if member.Left {
		delete(v.members, name)
		return nil
	}
	v.members[name] = member
	return nil
}

// backoff delays retries exponentially, with jitter.
type backoff struct {
	delay fulmarclock.Millis
}

func newBackoff() *backoff { return &backoff{delay: minRetryDelay} }

func (b *backoff) reset() { b.delay = minRetryDelay }

// wait sleeps for 0.5 to 1.5 times the delay, or until ctx ends.
func (b *backoff) wait(ctx context.Context, clock fulmarclock.Clock) {
	jittered := b.delay/2 + fulmarclock.Millis(rand.Int64N(int64(b.delay)))
	b.delay = min(2*b.delay, maxRetryDelay)
	select {
	case <-clock.After(jittered):
	case <-ctx.Done():
	}
}
