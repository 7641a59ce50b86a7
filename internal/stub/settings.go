package stub

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Settings steer an upstream. The zero value is an honest, idle and fast one.
type Settings struct {
	// WorkMillis is the time that a short request or a tile holds a slot.
	WorkMillis float64 `json:"workMillis"`
	// Slots is how many short requests run at once; the others wait. 0 means no limit.
	Slots int `json:"slots"`
	// During the first ColdMillis after the start, work takes ColdFactor times as long.
	ColdMillis float64 `json:"coldMillis"`
	ColdFactor float64 `json:"coldFactor"`
	// UpdateDelayMillis delays each update before it runs.
	UpdateDelayMillis float64 `json:"updateDelayMillis"`
	// UpdateFail breaks the connection of each update before or after it runs.
	UpdateFail UpdateFail `json:"updateFail"`
	// Unhealthy is the true state, HealthReport what is reported instead of it.
	Unhealthy    bool   `json:"unhealthy"`
	HealthReport Report `json:"healthReport"`
	// LoadReport is reported instead of the number of running requests.
	LoadReport *int `json:"loadReport"`
	// ReportLagMillis makes the health and load endpoints report the past.
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
	ReportHonest Report = ""
	ReportUp     Report = "up"
	ReportDown   Report = "down"
)

func (s Settings) validate() error {
	switch s.UpdateFail {
	case FailNever, FailBefore, FailAfter:
	default:
		return fmt.Errorf("updateFail: %q is none of \"\", \"before\", \"after\"", s.UpdateFail)
	}
	switch s.HealthReport {
	case ReportHonest, ReportUp, ReportDown:
	default:
		return fmt.Errorf("healthReport: %q is none of \"\", \"up\", \"down\"", s.HealthReport)
	}
	if s.WorkMillis < 0 || s.Slots < 0 || s.UpdateDelayMillis < 0 || s.ReportLagMillis < 0 {
		return fmt.Errorf("times and slots must not be negative")
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
	u.wakeWaiting()
}

// serveSettings answers GET with the settings and takes new ones from PUT.
// Fields that a PUT leaves out keep their value.
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
	if s.HealthReport != ReportHonest {
		up = s.HealthReport == ReportUp
	}
	if !up {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

// loadAnswer is the answer of the load endpoint.
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

// maxHistory bounds the past values that lagging reports can use.
const maxHistory = 4096

// history holds the latest values of one quantity with their times.
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

// at returns the value in force at the given time.
func (h *history[T]) at(t time.Time, before T) T {
	for i := len(h.times) - 1; i >= 0; i-- {
		if !h.times[i].After(t) {
			return h.values[i]
		}
	}
	return before
}
