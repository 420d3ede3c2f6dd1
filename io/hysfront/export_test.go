package hysfront

import "net/http"

// Configure puts a configuration in force as the loops of a daemon do.
func (f *Front) Configure(c StoredConfiguration) bool { return f.configure(c) }

// Version is that of the configuration in force.
func (f *Front) Version() int64 { return int64(f.configuration().Version) }

// Take takes a snapshot of the store over.
func (f *Front) Take(s Snapshot) { f.take(s) }

// Handler serves callers.
func (f *Front) Handler() http.Handler { return f.ingress }
