package fulmarfront

import (
	"context"
	"encoding/json"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/fulmardrum/fulmardrum/internal/fulmarfront/fulmarfrontpb"
	"github.com/fulmardrum/fulmardrum/internal/fulmarjob"
	"github.com/fulmardrum/fulmardrum/internal/fulmarowner"
	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// OwnerService is the gRPC service through which other members send requests to this
// member's scheduler.
type OwnerService struct {
	fulmarfrontpb.UnimplementedOwnerServer
	candidate Candidate
}

// NewOwnerService returns the gRPC service of a candidate.
func NewOwnerService(candidate Candidate) *OwnerService { return &OwnerService{candidate: candidate} }

// Ask executes another member's request. It fails with InvalidArgument when the job
// cannot be decoded, and with Internal when an explanation cannot be encoded.
func (s *OwnerService) Ask(ctx context.Context, request *fulmarfrontpb.Request) (*fulmarfrontpb.Reply, error) {
	q := fulmarowner.Request{
		Kind: fulmarowner.RequestKind(request.GetKind()), Job: request.GetJob(), Queue: request.GetQueue(),
		ConfigurationVersion: request.GetConfigurationVersion(), OwnerToken: request.GetOwnerToken(),
		Customer: request.GetCustomer(),
	}
	if len(request.GetSpecification()) > 0 || q.Kind == fulmarowner.Submit {
		if err := json.Unmarshal(request.GetSpecification(), &q.Specification); err != nil {
			return nil, status.Error(codes.InvalidArgument, (&fulmarjob.FormatError{What: "a job specification", Cause: err}).Error())
		}
	}
	response := s.candidate.Do(ctx, q)
	explanation, err := encodeExplanation(response.Explanation)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &fulmarfrontpb.Reply{
		Outcome: fulmarfrontpb.Outcome(response.Outcome), Reason: response.Reason, RetryAfterMs: int64(response.RetryAfter),
		State: string(response.State), Pending: int64(response.Pending), Token: response.Token, Explanation: explanation,
	}, nil
}

// encodeExplanation encodes an explanation as JSON, without one as nothing.
func encodeExplanation(explanation *fulmarapi.Explanation) ([]byte, error) {
	if explanation == nil {
		return nil, nil
	}
	return json.Marshal(explanation)
}

// decodeExplanation is the inverse of encodeExplanation.
func decodeExplanation(data []byte) (*fulmarapi.Explanation, error) {
	if len(data) == 0 {
		return nil, nil
	}
	explanation := &fulmarapi.Explanation{}
	if err := json.Unmarshal(data, explanation); err != nil {
		return nil, &fulmarjob.FormatError{What: "an explanation", Cause: err}
	}
	return explanation, nil
}
