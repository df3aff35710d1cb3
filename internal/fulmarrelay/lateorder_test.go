package fulmarrelay

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
)

// recordedRenewals records when renewals are executed.
type recordedRenewals struct {
	fakeExecutors
	at []time.Time
}

func (r *recordedRenewals) RenewLease(context.Context, string, string, int64, int64, fulmarclock.Millis, fulmarclock.Millis) (fulmarjob.CommandResult, fulmarjob.Report, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at = append(r.at, time.Now())
	return fulmarjob.ResultDone, fulmarjob.Report{}, nil
}

func (r *recordedRenewals) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.at)
}

// heldLink forwards connections to an address and can hold back what the address sends, as for a
// process that is paused.
type heldLink struct {
	mu sync.Mutex
}

func (l *heldLink) serve(t *testing.T, to string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				_ = in.Close()
				continue
			}
			t.Cleanup(func() { _, _ = in.Close(), out.Close() })
			go func() { _, _ = io.Copy(out, in) }()
			go l.forward(in, out)
		}
	}()
	return listener.Addr().String()
}

func (l *heldLink) forward(to io.Writer, from io.Reader) {
	buffer := make([]byte, 1<<16)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		l.mu.Lock()
		_, err = to.Write(buffer[:n])
		l.mu.Unlock()
		if err != nil {
			return
		}
	}
}

func TestAgentThatWasPausedSendsNoAcknowledgementWhoseTimeHasPassed(t *testing.T) {
	f := newFixture(t, &fakeExecutors{})
	link := &heldLink{}
	f.address = link.serve(t, f.address)
	member := &recordedRenewals{}
	f.attach("m", 1, member)
	f.hub.SetExecutorCount(1000)
	link.mu.Lock()
	ctx, cancel := context.WithTimeout(context.Background(), 250*time.Millisecond)
	defer cancel()
	_, _, err := f.hub.RenewLease(ctx, "a", "x", 1, 7, 0, 0)
	quicktest.Check(t, err, quicktest.IsNotNil)
	time.Sleep(500 * time.Millisecond)
	link.mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	quicktest.Assert(t, member.count(), quicktest.Equals, 0)
}
