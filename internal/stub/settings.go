package stub

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Settings control the behavior of an upstream. With the zero value it answers at
// once, never fails and reports its actual state.
type Settings struct {
	// WorkMillis is the time that a short request or a tile holds a slot.
	WorkMillis float64 `json:"workMillis"`
	// Slots limits the short requests and tiles that run at once; others wait. 0
	// means no limit.
	Slots int `json:"slots"`
	// During the first ColdMillis after the start, work takes ColdFactor times as long.
	ColdMillis float64 `json:"coldMillis"`
	ColdFactor float64 `json:"coldFactor"`
	// UpdateDelayMillis delays each update before it runs.
	UpdateDelayMillis float64 `json:"updateDelayMillis"`
	// UpdateFail closes the connection of each update before or after it runs.
	UpdateFail UpdateFail `json:"updateFail"`
	// Unhealthy is the actual state. HealthReport, if set, is reported instead.
	Unhealthy    bool   `json:"unhealthy"`
	HealthReport Report `json:"healthReport"`
	// LoadReport, if set, is reported instead of the number of running requests.
	LoadReport *int `json:"loadReport"`
	// ReportLagMillis is the age of the values that the health and load endpoints
	// report.
	ReportLagMillis float64 `json:"reportLagMillis"`
}

// UpdateFail says when an update fails.
type UpdateFail string

// Values of UpdateFail.
const (
	FailNever  UpdateFail = ""
	FailBefore UpdateFail = "before"
	FailAfter  UpdateFail = "after"
)

// Report is what the health endpoint reports.
type Report string

// Values of Report.
const (
	ReportActual Report = ""
	ReportUp     Report = "up"
	ReportDown   Report = "down"
)

func (s Settings) validate() error {
	switch s.UpdateFail {
	case FailNever, FailBefore, FailAfter:
	default:
		return fmt.Errorf("updateFail: %q is not one of \"\", \"before\", \"after\"", s.UpdateFail)
	}
	switch s.HealthReport {
	case ReportActual, ReportUp, ReportDown:
	default:
		return fmt.Errorf("healthReport: %q is not one of \"\", \"up\", \"down\"", s.HealthReport)
	}
	if s.WorkMillis < 0 || s.Slots < 0 || s.UpdateDelayMillis < 0 || s.ReportLagMillis < 0 {
		return fmt.Errorf("workMillis, slots, updateDelayMillis and reportLagMillis must not be negative")
	}
	return nil
}

// Settings returns the settings in force.
func (u *Upstream) Settings() Settings {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.settings
}

// SetSettings replaces the settings.
func (u *Upstream) SetSettings(s Settings) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settings = s
	u.healthy.set(time.Now(), !s.Unhealthy)
	u.notifyWaiters()
}

// serveSettings returns the settings, and first changes them if the method is PUT.
// Fields that a PUT omits keep their value.
func (u *Upstream) serveSettings(w http.ResponseWriter, r *http.Request) {
	s := u.Settings()
	if r.Method == http.MethodPut {
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		err := d.Decode(&s)
		if err == nil {
			err = s.validate()
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		u.SetSettings(s)
	}
	json.NewEncoder(w).Encode(s)
}

func (u *Upstream) serveHealth(w http.ResponseWriter) {
	u.mu.Lock()
	s := u.settings
	up := u.healthy.at(time.Now().Add(-duration(s.ReportLagMillis)), true)
	u.mu.Unlock()
	if s.HealthReport != ReportActual {
		up = s.HealthReport == ReportUp
	}
	if !up {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

// loadAnswer is the response body of the load endpoint.
type loadAnswer struct {
	Running int `json:"running"`
	Slots   int `json:"slots"`
}

func (u *Upstream) serveLoad(w http.ResponseWriter) {
	u.mu.Lock()
	s := u.settings
	a := loadAnswer{u.load.at(time.Now().Add(-duration(s.ReportLagMillis)), 0), s.Slots}
	u.mu.Unlock()
	if s.LoadReport != nil {
		a.Running = *s.LoadReport
	}
	json.NewEncoder(w).Encode(a)
}

// maxHistory bounds the past values that are kept for delayed reports.
const maxHistory = 4096

// history holds the recent values of a variable and when each was set.
type history[T any] struct {
	times  []time.Time
	values []T
}

func (h *history[T]) set(now time.Time, v T) {
	if len(h.times) == maxHistory {
		h.times = append(h.times[:0], h.times[maxHistory/2:]...)
		h.values = append(h.values[:0], h.values[maxHistory/2:]...)
	}
	h.times = append(h.times, now)
	h.values = append(h.values, v)
}

// at returns the value at the given time, or initial before the first recorded one.
func (h *history[T]) at(t time.Time, initial T) T {
	for i := len(h.times) - 1; i >= 0; i-- {
		if !h.times[i].After(t) {
			return h.values[i]
		}
	}
	return initial
}
