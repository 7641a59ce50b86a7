package itest

import (
	"errors"

	"github.com/bramleycourse/bramleycourse/pkg/caller"
)

// Outcomes of a request that the caller library reports.
const (
	OutcomeDone    = "done"
	OutcomeNotRun  = "notRun"
	OutcomeUnknown = "unknown"
	OutcomeOther   = "other"
)

// Outcome returns the outcome that an error of the caller library stands for.
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
