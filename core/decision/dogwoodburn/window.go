package dogwoodburn

import "time"

// LongestWindow is the period that the error budget covers. VMs store nothing and are all
// replaced within days, so most counts of a longer period would be missing.
const LongestWindow = 72 * time.Hour

// Windows returns the periods over which burn rates are computed, shortest first. Windows of
// up to an hour have a resolution of a minute, longer ones of an hour.
func Windows() []time.Duration {
	return []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, LongestWindow}
}

// Alert is the urgency of a burn rate; empty if it needs no attention.
type Alert string

// The values of Alert.
const (
	Page   Alert = "Page"
	Ticket Alert = "Ticket"
)

// rule raises an alert when the burn rates of both windows are at least rate.
type rule struct {
	alert       Alert
	long, short time.Duration
	rate        float64
}

// rules holds the multi-window, multi-burn-rate alerts of the Site Reliability Workbook's chapter
// on alerting, the most urgent first. The rates spend 2 % of a 30-day budget in an hour, 5 % in
// six hours and 10 % in three days.
var rules = []rule{
	{alert: Page, long: time.Hour, short: 5 * time.Minute, rate: 14.4},
	{alert: Page, long: 6 * time.Hour, short: 30 * time.Minute, rate: 6},
	{alert: Ticket, long: LongestWindow, short: 6 * time.Hour, rate: 1},
}

// alertFor returns the most urgent alert whose rule the burn rates of the windows meet.
func alertFor(windows []WindowBurn) Alert {
	rates := map[time.Duration]float64{}
	for _, window := range windows {
		rates[time.Duration(window.Window)] = window.Burn
	}
	for _, rule := range rules {
		if rates[rule.long] >= rule.rate && rates[rule.short] >= rule.rate {
			return rule.alert
		}
	}
	return ""
}
