package hysconn

import (
	"net"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysreach"
)

// Observer is told what a client finds out about the reach of searchers.
type Observer struct {
	// Heard is called with a searcher that has sent a response or accepted a
	// connection.
	Heard func(hysmember.SearcherID)
	// Failed is called with a searcher to which no connection could be established, or
	// whose connection failed before a response. began is when that was started.
	Failed func(id hysmember.SearcherID, began time.Time, e hysreach.Evidence)
}

// NoObserver returns an observer that does nothing.
func NoObserver() Observer {
	return Observer{
		Heard: func(hysmember.SearcherID) {}, Failed: func(hysmember.SearcherID, time.Time, hysreach.Evidence) {},
	}
}

// EvidenceOf returns what an error of a connection says about the reach of its searcher.
// A refused one says less if inUse returns true: others to the same searcher are open.
func EvidenceOf(err error, inUse func() bool) hysreach.Evidence {
	e := evidenceOf(err)
	if e == hysreach.EvidenceRefused && inUse() {
		return hysreach.EvidenceRefusedInUse
	}
	return e
}

// evidenceOf returns what an error says by itself. A connection that the searcher has
// closed says nothing.
func evidenceOf(err error) hysreach.Evidence {
	var timeout net.Error
	switch {
	case errors.Is(err, unix.ECONNREFUSED):
		return hysreach.EvidenceRefused
	case errors.Is(err, unix.ECONNRESET), errors.Is(err, unix.EPIPE):
		return hysreach.EvidenceReset
	case errors.Is(err, unix.ETIMEDOUT):
		return hysreach.EvidenceUnacknowledged
	case errors.Is(err, unix.EHOSTUNREACH), errors.Is(err, unix.ENETUNREACH):
		return hysreach.EvidenceTimeout
	case errors.As(err, &timeout) && timeout.Timeout():
		return hysreach.EvidenceTimeout
	default:
		return hysreach.EvidenceNone
	}
}
