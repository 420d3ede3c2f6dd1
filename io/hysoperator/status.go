package hysoperator

import (
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysservice"
	"hyssopshore/core/hyssnapshot"
	"hyssopshore/core/hysticket"
)

// Status is the live state of one daemon.
type Status struct {
	Instance hysmember.InstanceID `json:"instance"`
	Ready    bool                 `json:"ready"`
	Leaving  bool                 `json:"leaving"`
	// StoreAge is the time since the configuration was last read from the store.
	StoreAge      hysservice.Milliseconds `json:"store-age-ms"`
	Configuration hysticket.Digest        `json:"configuration-digest"`
	NewestTicket  hysticket.Number        `json:"newest-ticket"`
	Running       int64                   `json:"running-requests"`
	Members       []MemberStatus          `json:"members"`
	Services      []ServiceStatus         `json:"services"`
}

// MemberStatus is the state of an instance as this daemon sees it.
type MemberStatus struct {
	Instance hysmember.InstanceID `json:"instance"`
	Zone     hysmember.Zone       `json:"zone"`
	Usable   bool                 `json:"usable"`
	Leaving  bool                 `json:"leaving"`
}

// ServiceStatus is the state of a service as this daemon sees it.
type ServiceStatus struct {
	Service     hysservice.Name     `json:"service"`
	Epoch       hyssnapshot.Epoch   `json:"shard-map-epoch"`
	Version     hyssnapshot.Version `json:"snapshot"`
	Waiting     int                 `json:"waiting"`
	Running     int                 `json:"running"`
	Slots       int                 `json:"slots"`
	RetryBudget float64             `json:"retry-budget"`
	Shards      []ShardStatus       `json:"shards"`
}

// ShardStatus is the state of a shard as this daemon sees it.
type ShardStatus struct {
	Shard      hysservice.ShardID   `json:"shard"`
	Dispatcher hysmember.InstanceID `json:"dispatcher"`
}
