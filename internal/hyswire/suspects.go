// Package hyswire converts the messages that more than one protocol between
// daemons carries.
//
// # Usage
//
//	reply.Suspects = hyswire.EncodeSuspects(registry.Records())
//	registry.Merge(hyswire.DecodeSuspects(reply.Suspects))
package hyswire

import (
	"time"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquarantine"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
	"hyssopshore/internal/gen/peer"
)

// EncodeSuspects converts crash evidence to messages.
func EncodeSuspects(records hysquarantine.Records) []*peer.Suspect {
	suspects := make([]*peer.Suspect, 0, len(records))
	for _, r := range records {
		suspects = append(suspects, &peer.Suspect{
			Service: string(r.Service), Fingerprint: string(r.Fingerprint),
			Crashes: encodeCrashes(r.Crashes), Lifted: encodeCrashes(r.Lifted),
			Expires: r.Expires.Unix(),
		})
	}
	return suspects
}

func encodeCrashes(crashes []hysquarantine.Crash) []*peer.Crash {
	messages := make([]*peer.Crash, 0, len(crashes))
	for _, c := range crashes {
		messages = append(messages, &peer.Crash{Searcher: string(c.Searcher), Event: c.Event, Alone: c.Alone})
	}
	return messages
}

// DecodeSuspects converts messages to crash evidence.
func DecodeSuspects(suspects []*peer.Suspect) hysquarantine.Records {
	records := make(hysquarantine.Records, 0, len(suspects))
	for _, s := range suspects {
		records = append(records, hysquarantine.Record{
			Key: hysquarantine.Key{
				Service:     hysservice.Name(s.GetService()),
				Fingerprint: hysquery.Fingerprint(s.GetFingerprint()),
			},
			Crashes: decodeCrashes(s.GetCrashes()), Lifted: decodeCrashes(s.GetLifted()),
			Expires: time.Unix(s.GetExpires(), 0),
		})
	}
	return records
}

func decodeCrashes(messages []*peer.Crash) []hysquarantine.Crash {
	crashes := make([]hysquarantine.Crash, 0, len(messages))
	for _, c := range messages {
		crashes = append(crashes, hysquarantine.Crash{
			Searcher: hysmember.SearcherID(c.GetSearcher()), Event: c.GetEvent(), Alone: c.GetAlone(),
		})
	}
	return crashes
}
