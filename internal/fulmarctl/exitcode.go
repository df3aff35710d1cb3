package fulmarctl

import (
	"errors"

	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// Exit codes, which the help text explains.
const (
	exitDone        = 0
	exitUsage       = 2
	exitRefused     = 3
	exitConflict    = 4
	exitUnavailable = 5
	exitUnknown     = 6
	exitNotApplied  = 7
)

func exitCode(err error) int {
	var operatorError *fulmarapi.OperatorError
	var notApplied *notAppliedError
	switch {
	case errors.As(err, &notApplied):
		return exitNotApplied
	case !errors.As(err, &operatorError):
		return exitUsage
	}
	switch operatorError.Kind {
	case "old-generation":
		return exitConflict
	case fulmarapi.KindUnavailable, fulmarapi.KindNoOwner:
		return exitUnavailable
	case "unknown":
		return exitUnknown
	}
	return exitRefused
}
