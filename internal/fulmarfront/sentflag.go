package fulmarfront

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// sentFlag records whether gRPC has sent any part of a call.
type sentFlag struct{ sent atomic.Bool }

type sentFlagKey struct{}

// withSentFlag returns a context for one call, and the flag that sentFlagHandler sets for it.
func withSentFlag(ctx context.Context) (context.Context, *sentFlag) {
	flag := &sentFlag{}
	return context.WithValue(ctx, sentFlagKey{}, flag), flag
}

func (f *sentFlag) isSet() bool { return f.sent.Load() }

// sentFlagHandler is a gRPC stats handler that sets the sentFlag of each call of a connection.
type sentFlagHandler struct{}

// TagRPC returns ctx unchanged; it already holds the call's flag.
func (sentFlagHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC sets the call's flag when its header is sent.
func (sentFlagHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, out := s.(*stats.OutHeader); !out {
		return
	}
	if m, found := ctx.Value(sentFlagKey{}).(*sentFlag); found {
		m.sent.Store(true)
	}
}

// TagConn returns ctx unchanged.
func (sentFlagHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (sentFlagHandler) HandleConn(context.Context, stats.ConnStats) {}
