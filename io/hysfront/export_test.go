package hysfront

import "net/http"

// ApplyConfiguration puts a configuration in force as the loops of a daemon do.
func (f *Front) ApplyConfiguration(c StoredConfiguration) bool { return f.applyConfiguration(c) }

// Version returns the version of the configuration in force.
func (f *Front) Version() int64 { return int64(f.configuration().Version) }

// ApplySnapshot applies a snapshot of the store.
func (f *Front) ApplySnapshot(s Snapshot) { f.applySnapshot(s) }

// Handler returns the handler of callers' requests.
func (f *Front) Handler() http.Handler { return f.ingress }
