package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hyssopshore/core/hysquery"
	"hyssopshore/core/hysservice"
)

// maxOutstanding limits the concurrent requests. Arrivals above it are dropped
// without a sample.
const maxOutstanding = 8000

// anyDaemon makes a stream send each request to a random daemon.
const anyDaemon = -1

// stream is an open-loop arrival process of one group's requests, at a rate per
// second.
type stream struct {
	group    int
	class    hysquery.Class
	daemon   int
	rate     float64
	deadline hysservice.Milliseconds
	// distinct makes every request differ from all earlier ones.
	distinct bool
}

// sample is the outcome of one request.
type sample struct {
	stream     int
	at         time.Duration
	latency    time.Duration
	outcome    hysquery.Outcome
	failed     bool
	answered   int
	shards     int
	retryAfter hysservice.Milliseconds
}

type samples []sample

var client = &http.Client{
	Timeout:   15 * time.Second,
	Transport: &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: maxOutstanding},
}

// load offers streams for a time and returns a sample of each request. A latency
// starts at the time at which the request was due.
func (b *bench) load(span time.Duration, streams []stream) samples {
	var (
		mu          sync.Mutex
		all         samples
		wait        sync.WaitGroup
		outstanding atomic.Int64
	)
	started := time.Now()
	for i, s := range streams {
		random := rand.New(rand.NewPCG(b.seed, uint64(i)))
		wait.Go(func() {
			due := time.Duration(0)
			for n := 0; ; n++ {
				due += time.Duration(random.ExpFloat64() / s.rate * float64(time.Second))
				if due >= span {
					return
				}
				time.Sleep(time.Until(started.Add(due)))
				daemon := s.daemon
				if daemon == anyDaemon {
					daemon = random.IntN(maxDaemons)
				}
				address := b.callerAddress(daemon)
				at := due
				if outstanding.Add(1) > maxOutstanding {
					outstanding.Add(-1)
					continue
				}
				wait.Go(func() {
					defer outstanding.Add(-1)
					result := b.measureRequest(address, s)
					result.stream, result.at = i, at
					result.latency = time.Since(started) - at
					mu.Lock()
					all = append(all, result)
					mu.Unlock()
				})
			}
		})
	}
	wait.Wait()
	return all
}

func (b *bench) measureRequest(address string, s stream) sample {
	answer, err := b.query(address, s)
	if err != nil {
		return sample{failed: true, shards: b.service.Shards}
	}
	return sample{
		outcome: answer.Outcome, answered: answer.Coverage.Answered(), shards: b.service.Shards,
		retryAfter: answer.RetryAfter,
	}
}

// body returns the body of a request: always the same one, or a new one if the
// stream is distinct.
func (b *bench) body(s stream) json.RawMessage {
	if !s.distinct {
		return json.RawMessage(`{"limit":1}`)
	}
	return json.RawMessage(fmt.Sprintf(`{"limit":1,"number":%d}`, b.sequence.Add(1)))
}

func (b *bench) query(address string, s stream) (hysquery.Answer, error) {
	var answer hysquery.Answer
	body, err := json.Marshal(hysquery.Query{
		Group: groupName(s.group), Service: b.service.Name, Class: s.class, Deadline: s.deadline,
		Body: b.body(s),
	})
	if err != nil {
		return answer, fmt.Errorf("encode: %w", err)
	}
	response, err := client.Post("http://"+address+"/v1/query", "application/json", bytes.NewReader(body))
	if err != nil {
		return answer, fmt.Errorf("send: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer, fmt.Errorf("read: %w", err)
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return answer, fmt.Errorf("decode: %w", err)
	}
	return answer, nil
}

// filter returns the samples for which keep returns true.
func (s samples) filter(keep func(sample) bool) samples {
	var kept samples
	for _, one := range s {
		if keep(one) {
			kept = append(kept, one)
		}
	}
	return kept
}

func (s samples) of(stream int) samples {
	return s.filter(func(one sample) bool { return one.stream == stream })
}

func (s samples) between(from, to time.Duration) samples {
	return s.filter(func(one sample) bool { return one.at >= from && one.at < to })
}

func (s samples) complete() samples {
	return s.filter(func(one sample) bool { return !one.failed && one.outcome == hysquery.OutcomeComplete })
}

func (s samples) refused() samples {
	return s.filter(func(one sample) bool { return !one.failed && one.outcome == hysquery.OutcomeNotRun })
}

// quantile returns a percentile of the latencies, in milliseconds.
func (s samples) quantile(percent float64) float64 {
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for _, one := range s {
		// Latencies are bounded by the client's timeout.
		_ = h.RecordValue(max(one.latency.Microseconds(), 1))
	}
	return float64(h.ValueAtQuantile(percent)) / 1000
}

// coverage returns the percentage of the requested shards that answered.
func (s samples) coverage() float64 {
	answered, shards := 0, 0
	for _, one := range s {
		answered += one.answered
		shards += one.shards
	}
	return 100 * float64(answered) / float64(max(shards, 1))
}

// answered returns the total number of shards that answered.
func (s samples) answered() float64 {
	total := 0
	for _, one := range s {
		total += one.answered
	}
	return float64(total)
}
