package fulmarfront

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// sentMark tells whether any part of a call has left this process.
type sentMark struct{ sent atomic.Bool }

type sentMarkKey struct{}

// withSentMark returns a context for one call, and the call's mark.
func withSentMark(ctx context.Context) (context.Context, *sentMark) {
	m := &sentMark{}
	return context.WithValue(ctx, sentMarkKey{}, m), m
}

func (m *sentMark) isSet() bool { return m.sent.Load() }

// sentHandler sets the marks of the calls of a connection.
type sentHandler struct{}

// TagRPC keeps the call's context, which holds its mark.
func (sentHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC sets the call's mark when its header goes out.
func (sentHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, out := s.(*stats.OutHeader); !out {
		return
	}
	if m, found := ctx.Value(sentMarkKey{}).(*sentMark); found {
		m.sent.Store(true)
	}
}

// TagConn keeps the connection's context.
func (sentHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (sentHandler) HandleConn(context.Context, stats.ConnStats) {}
