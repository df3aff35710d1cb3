package fulmarmember

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/fulmardrum/fulmardrum/internal/fulmarclock"
	"github.com/fulmardrum/fulmardrum/internal/fulmarfleet"
	"github.com/fulmardrum/fulmardrum/internal/fulmarmember/fulmarpeerpb"
)

const (
	// pingInterval is the time between keepalive pings on an idle connection to a peer.
	pingInterval = 10 * fulmarclock.Second
	// pingTimeout is how long a connection waits for the response to a ping before it is closed.
	pingTimeout = 2 * fulmarclock.Second
)

// peer is the connection to another member; busy is set while a call is in flight. The
// connection is nil if the member's address is invalid.
type peer struct {
	name       string
	connection *grpc.ClientConn
	client     fulmarpeerpb.PeersClient
	busy       bool
	// timeout belongs to the goroutine of the call in flight.
	timeout callTimeout
}

// close closes the connection, if there is one.
func (p *peer) close() {
	if p.connection != nil {
		_ = p.connection.Close()
	}
}

// callWithTimeout makes one call to a peer with a timeout that follows the latency of the
// earlier ones.
func callWithTimeout[T any](ctx context.Context, e *Exchange, p *peer, call func(ctx context.Context) (T, error)) (T, error) {
	callCtx, cancel := context.WithTimeout(ctx, p.timeout.value().Duration())
	defer cancel()
	sentAt := e.clock.Now()
	response, err := call(callCtx)
	switch {
	case err == nil:
		p.timeout.recordResponse(e.clock.Now() - sentAt)
	case status.Code(err) == codes.DeadlineExceeded:
		p.timeout.recordTimeout()
	}
	if err != nil {
		e.metrics.PeerMessage("failed")
		e.logger.Debug("call to a peer failed; it is repeated at the next interval", "peer", p.name, "error", err)
	}
	return response, err
}

// acquirePeer returns the connection to a member and marks it busy. It returns nil when
// a call is already in flight or the address is invalid.
func (e *Exchange) acquirePeer(member fulmarfleet.Member) *peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.peers[member.PeerAddress]
	if !ok {
		p = e.newPeer(member)
		e.peers[member.PeerAddress] = p
	}
	if p.busy || p.connection == nil {
		return nil
	}
	p.busy = true
	return p
}

func (e *Exchange) newPeer(member fulmarfleet.Member) *peer {
	connection, err := dialPeer(member.PeerAddress)
	if err != nil {
		e.metrics.PeerMessage("failed")
		e.logger.Warn("a member's address is invalid; no digests are sent to it", "peer", member.Name, "address", member.PeerAddress, "error", err)
		return &peer{name: member.Name}
	}
	return &peer{
		name: member.Name, connection: connection, client: fulmarpeerpb.NewPeersClient(connection),
		timeout: newCallTimeout(minCallIntervals*e.interval, e.maxCallTimeout),
	}
}

func dialPeer(address string) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: pingInterval.Duration(), Timeout: pingTimeout.Duration(),
		}))
}

func (e *Exchange) releasePeer(p *peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p.busy = false
}

// closeUnusedPeers closes the idle connections to addresses of no current member.
func (e *Exchange) closeUnusedPeers(used []fulmarfleet.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	addresses := map[string]bool{}
	for _, member := range used {
		addresses[member.PeerAddress] = true
	}
	for address, p := range e.peers {
		if !addresses[address] && !p.busy {
			p.close()
			delete(e.peers, address)
		}
	}
}

func (e *Exchange) closePeers() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		p.close()
	}
}
