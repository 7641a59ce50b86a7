package itest

import (
	"errors"

	"github.com/bramleycourse/bramleycourse/pkg/caller"
)

// Outcomes that a caller can be told.
const (
	OutcomeDone    = "done"
	OutcomeNotRun  = "notRun"
	OutcomeUnknown = "unknown"
	OutcomeOther   = "other"
)

// Outcome classifies the error of a request.
func Outcome(err error) string {
	var (
		notRun  *caller.NotRunError
		unknown *caller.UnknownError
	)
	switch {
	case err == nil:
		return OutcomeDone
	case errors.As(err, &notRun):
		return OutcomeNotRun
	case errors.As(err, &unknown):
		return OutcomeUnknown
	}
	return OutcomeOther
}
