package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"hyssopshore/internal/hystest"
	"hyssopshore/io/hyssearch"
)

// directFanOuts is the number of measured fan-outs without the query tier.
const directFanOuts = 100

// measureDirect fans out directFanOuts times to one searcher of each shard,
// without the query tier. It returns the latency of the slowest searcher of each
// fan-out.
func (b *bench) measureDirect() (samples, error) {
	var all samples
	for n := range directFanOuts {
		started := time.Now()
		errs := make([]error, b.service.Shards)
		var wait sync.WaitGroup
		for shard := range b.service.Shards {
			s := b.cluster.Searchers[shard*b.service.Replicas]
			wait.Go(func() { errs[shard] = search(s, b.service, shard, n) })
		}
		wait.Wait()
		all = append(all, sample{latency: time.Since(started)})
		for _, err := range errs {
			if err != nil {
				return nil, err
			}
		}
		time.Sleep(serviceMean)
	}
	return all, nil
}

func search(s *hystest.Searcher, service hystest.Service, shard, attempt int) error {
	body, err := json.Marshal(hyssearch.SearchRequest{
		RequestID: fmt.Sprintf("direct-%d", attempt), Service: service.Name,
		Shard: hystest.Holding(1, shard, service.Shards).Shard, Epoch: 1, Version: 1,
		Idempotent: true, Body: json.RawMessage(`{"limit":1}`),
	})
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	response, err := client.Post("http://"+string(s.Member.Address)+hyssearch.PathSearch, "application/json", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("send to %s: %w", s.Member.ID, err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return fmt.Errorf("read from %s: %w", s.Member.ID, err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered with %s", s.Member.ID, response.Status)
	}
	return nil
}
