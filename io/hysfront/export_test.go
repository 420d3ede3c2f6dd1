package hysfront

import (
	"net/http"
	"time"

	"hyssopshore/core/hysgather"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
	"hyssopshore/io/hysrelay"
)

// ApplyConfiguration puts a configuration in force as the loops of a daemon do.
func (f *Front) ApplyConfiguration(c StoredConfiguration) bool {
	return f.applyConfiguration(c, arrival{})
}

// Version returns the version of the configuration in force.
func (f *Front) Version() int64 { return int64(f.configuration().Version) }

// ApplySnapshot applies a snapshot of the store.
func (f *Front) ApplySnapshot(s Snapshot) { f.applySnapshot(s) }

// Relay returns the function that runs the sub-requests of a query over some shards.
func (f *Front) Relay(shards []hysservice.Name) hysgather.SubmitFunc { return f.relay(shards, false) }

// Handler returns the handler of callers' requests.
func (f *Front) Handler() http.Handler { return f.ingress }

// SetInstances applies a list of announced instances.
func (f *Front) SetInstances(instances hysmember.Instances) { f.setInstances(instances) }

// Slack returns this daemon's share of the extra sends to a service.
func (f *Front) Slack(service hysservice.Name) float64 {
	f.budgetMu.Lock()
	defer f.budgetMu.Unlock()
	return f.slack(service)
}

// tripTime is the longest time of a call that is answered at once, between regions and at
// busy daemons.
const tripTime = 100 * time.Millisecond

// searchRounds is how many rounds of a search may find only daemons that have nothing
// newer, where at least every other one has.
const searchRounds = 2

// ApplyTime is the longest time from the acknowledgement of a change until it is in force
// at a daemon that gets it in a certain way.
type ApplyTime struct {
	Way  string
	Calm bool
	Time time.Duration
}

// ApplyTimes returns the longest times of all ways, as the sums of the times that the
// daemon waits on each.
func (f *Front) ApplyTimes() []ApplyTime {
	read := f.readInterval() + tripTime
	search := peerCheckInterval + searchRounds*hysmember.SearchInterval + 2*tripTime
	silent := followWait + hysrelay.CallTimeout
	lostReader := f.maxReaderAge() + followInterval + tripTime
	return []ApplyTime{
		{"watch", true, read},
		{"reader", true, read + followInterval + tripTime},
		{"full read, the history is gone", false, read + 2*tripTime},
		{"search, the store refuses", false, read + search},
		{"search, the store is silent", false, f.readInterval() + storeAnswerMargin + search},
		{"search, the source in use is silent", false, silent + search},
		{"watch, the reader is silent", false, silent + tripTime},
		{"watch, the reader gets nothing new", false, lostReader + tripTime},
		{"search, the reader is silent and the store too", false, max(silent, f.readInterval()+storeAnswerMargin) + search},
		{"search, the reader gets nothing new and the store is silent", false, lostReader + search},
	}
}
