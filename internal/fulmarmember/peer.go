package fulmarmember

import (
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

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

// peer is the connection to another member; busy is set while a call is in flight.
type peer struct {
	connection *grpc.ClientConn
	client     fulmarpeerpb.PeersClient
	busy       bool
}

// acquirePeer returns the connection to a member and marks it busy. It returns nil when
// a call is already in flight or the address is invalid.
func (e *Exchange) acquirePeer(member fulmarfleet.Member) *peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.peers[member.PeerAddress]
	if !ok {
		connection, err := dialPeer(member.PeerAddress)
		if err != nil {
			return nil
		}
		p = &peer{connection: connection, client: fulmarpeerpb.NewPeersClient(connection)}
		e.peers[member.PeerAddress] = p
	}
	if p.busy {
		return nil
	}
	p.busy = true
	return p
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
			_ = p.connection.Close()
			delete(e.peers, address)
		}
	}
}

func (e *Exchange) closePeers() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		_ = p.connection.Close()
	}
}
