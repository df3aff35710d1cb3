package fulmarrelay

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/fulmardrum/fulmardrum/internal/fulmarledger"
	"github.com/fulmardrum/fulmardrum/internal/fulmarrelay/fulmarrelaypb"
)

// Announce tells the member at address, which owned the scheduler before, of its present owner. It
// fails with the error of the call when the member does not confirm it.
func Announce(ctx context.Context, address string, owner fulmarledger.Owner) error {
	connection, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return err
	}
	_, err = fulmarrelaypb.NewRelayClient(connection).Announce(ctx, encodeOwner(owner))
	if closeErr := connection.Close(); err == nil {
		err = closeErr
	}
	return err
}

// Announce handles the announcement of a later owner: the members that are attached to this one may
// not reach the store either. It fails with InvalidArgument when the message names no owner.
func (h *Hub) Announce(_ context.Context, message *fulmarrelaypb.Owner) (*fulmarrelaypb.Announced, error) {
	owner := decodeOwner(message)
	if owner.PeerAddress == "" || owner.Revision <= 0 {
		return nil, status.Error(codes.InvalidArgument, "the announcement names no owner")
	}
	if h.options.LearnOwner(owner) {
		h.options.Logger.Info("another member has announced that it owns the scheduler", "owner", owner.Member, "revision", owner.Revision)
		h.options.Metrics.Count("owner_announcements", "received")
		h.laterOwner.Store(message)
	}
	return &fulmarrelaypb.Announced{}, nil
}

// ownerNotice returns the later owner to name in the next message of a stream, once for each owner.
type ownerNotice struct {
	later *atomic.Pointer[fulmarrelaypb.Owner]
	sent  *fulmarrelaypb.Owner
}

func (n *ownerNotice) next() *fulmarrelaypb.Owner {
	owner := n.later.Load()
	if owner == n.sent {
		return nil
	}
	n.sent = owner
	return owner
}

func encodeOwner(o fulmarledger.Owner) *fulmarrelaypb.Owner {
	return &fulmarrelaypb.Owner{Member: o.Member, PeerAddress: o.PeerAddress, Nonce: o.Nonce, Revision: o.Revision}
}

func decodeOwner(message *fulmarrelaypb.Owner) fulmarledger.Owner {
	return fulmarledger.Owner{Member: message.GetMember(), PeerAddress: message.GetPeerAddress(), Nonce: message.GetNonce(), Revision: message.GetRevision()}
}
