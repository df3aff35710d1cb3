package fulmarctl

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// pollInterval is the interval between two polls of the members' generations.
const pollInterval = 200 * time.Millisecond

// notAppliedError reports that a change was accepted but that not every member has applied it yet.
type notAppliedError struct {
	generation int64
	// membersBehind is empty if it is not known which members are behind.
	membersBehind []string
}

// Error returns the generation and the members that have not applied it.
func (e *notAppliedError) Error() string {
	if len(e.membersBehind) == 0 {
		return fmt.Sprintf("generation %d is accepted, but it is not known which members have applied it", e.generation)
	}
	return fmt.Sprintf("generation %d is accepted, but these members have not applied it yet: %v", e.generation, e.membersBehind)
}

func (r *runner) applyConfig(ctx context.Context) error {
	text, err := os.ReadFile(r.options.file)
	if err != nil {
		return err
	}
	generation := r.options.generation
	if generation < 0 {
		config, err := r.client.Config(ctx)
		if err != nil {
			return err
		}
		generation = config.Generation
	}
	accepted, err := r.client.Apply(ctx, fulmarapi.ConfigRequest{
		Generation: generation, File: r.options.file, Text: string(text),
		Author: r.options.author, Reason: r.options.reason,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(r.out, "generation %d is accepted\n", accepted.Generation)
	if !r.options.wait {
		return nil
	}
	return r.waitUntilApplied(ctx, accepted.Generation)
}

// waitUntilApplied polls the members' generations until all have applied generation or ctx is
// done. The members behind are those of the last poll that had a response.
func (r *runner) waitUntilApplied(ctx context.Context, generation int64) error {
	pending := &notAppliedError{generation: generation}
	for {
		behind, total, err := r.membersBehind(ctx, generation)
		switch {
		case err != nil:
			fmt.Fprintf(r.errOut, "failed to read the members' generations; retrying: %v\n", err)
		case len(behind) == 0:
			fmt.Fprintf(r.out, "generation %d is applied on all %d members\n", generation, total)
			return nil
		default:
			pending.membersBehind = behind
			fmt.Fprintf(r.errOut, "%d of %d members have applied generation %d\n", total-len(behind), total, generation)
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return pending
		}
	}
}

// membersBehind returns the names of the members below generation, and the number of all members.
func (r *runner) membersBehind(ctx context.Context, generation int64) (behind []string, total int, err error) {
	status, err := r.client.Status(ctx)
	if err != nil {
		return nil, 0, err
	}
	for _, member := range status.Members {
		if member.Generation < generation {
			behind = append(behind, member.Name)
		}
	}
	return behind, len(status.Members), nil
}
