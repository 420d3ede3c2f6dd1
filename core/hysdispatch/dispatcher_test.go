package hysdispatch_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hyssopshore/core/hysdispatch"
	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/core/hyssnapshot"
	"hyssopshore/internal/hyssuite"
)

func TestMain(m *testing.M) { hyssuite.Main(m, 100) }

func TestDispatch(t *testing.T) {
	hyssuite.Run(t, "Dispatch")
}

const service = "captains-desk"

// workersEnd is how long after its last send a dispatcher has no goroutine left. A
// test in virtual time waits for that.
const workersEnd = 5 * time.Second

func replicas(count int) []hysdispatch.Replica {
	var all []hysdispatch.Replica
	for i := range count {
		all = append(all, hysdispatch.Replica{
			Searcher: hysmember.Searcher{ID: hysmember.SearcherID(fmt.Sprintf("s-%d", i)), Service: service},
			Holdings: []hyssnapshot.Holding{{Epoch: 1, Range: hyssnapshot.Range{Shard: 0, To: hyssnapshot.KeySpace}}},
		})
	}
	return all
}

func subRequest(id string, timeout time.Duration) hysdispatch.SubRequest {
	return hysdispatch.SubRequest{
		RequestID: hysquery.RequestID(id), Group: "a", Weight: 1, Service: service, Idempotent: true, Proven: true,
		Version: 1, Epoch: 1, Deadline: time.Now().Add(timeout),
	}
}

// submitAll runs the sub-requests of a query concurrently and returns how many were
// answered.
func submitAll(d *hysdispatch.Dispatcher, subs []hysdispatch.SubRequest) int {
	var wait sync.WaitGroup
	var answered atomic.Int64
	for _, sub := range subs {
		wait.Go(func() {
			if d.Submit(context.Background(), sub).Status == hysquery.ShardAnswered {
				answered.Add(1)
			}
		})
	}
	wait.Wait()
	return int(answered.Load())
}

func faultNamed(name string) hysdispatch.Fault {
	for f := hysdispatch.FaultNone; f <= hysdispatch.FaultSilent; f++ {
		if f.String() == name {
			return f
		}
	}
	panic(name)
}

// sendLog records the sends to the searchers.
type sendLog struct {
	mu    sync.Mutex
	sends []hysmember.SearcherID
}

func (s *sendLog) record(to hysmember.SearcherID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sends = append(s.sends, to)
	return len(s.sends)
}

func (s *sendLog) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sends)
}

var _ = Describe("faults of searchers", func() {
	var scripts []struct {
		Name    string
		Booking bool
		Faults  []string
		Status  string
		Sends   int
		NotRun  bool `json:"not-sent"`
	}
	hyssuite.Read("faults.json", &scripts)
	for _, s := range scripts {
		It(s.Name, func() {
			var sent sendLog
			d := hysdispatch.New(func(_ context.Context, to hysmember.Searcher, _ hysdispatch.SubRequest) hysdispatch.Result {
				f := faultNamed(s.Faults[sent.record(to.ID)-1])
				return hysdispatch.Result{Fault: f, NotRun: f == hysdispatch.FaultRefused || f == hysdispatch.FaultShed}
			})
			d.SetReplicas(service, replicas(3), 2)
			sub := subRequest("r", 2*time.Second)
			sub.Idempotent = !s.Booking
			reply := d.Submit(context.Background(), sub)
			Expect(reply.Status.String()).To(Equal(s.Status))
			Expect(reply.NotRun).To(Equal(s.NotRun))
			Expect(sent.count()).To(Equal(s.Sends))
		})
	}
})

var _ = Describe("the hedge and retry policy", func() {
	It("hedges a slow send on another replica and cancels the loser", func() {
		cancelled := make(chan struct{})
		var sent sendLog
		d := hysdispatch.New(func(ctx context.Context, to hysmember.Searcher, _ hysdispatch.SubRequest) hysdispatch.Result {
			if sent.record(to.ID) == 1 {
				<-ctx.Done()
				close(cancelled)
				return hysdispatch.Result{Fault: hysdispatch.FaultCancelled}
			}
			return hysdispatch.Result{}
		})
		d.SetReplicas(service, replicas(2), 2)
		reply := d.Submit(context.Background(), subRequest("r", 5*time.Second))
		Expect(reply.Status).To(Equal(hysquery.ShardAnswered))
		Eventually(cancelled).Should(BeClosed())
		Expect(sent.sends).To(ConsistOf(hysmember.SearcherID("s-0"), hysmember.SearcherID("s-1")))
	})

	It("hedges a send that had to wait for its slot", func() {
		release := make(chan struct{})
		var sent sendLog
		d := hysdispatch.New(func(ctx context.Context, to hysmember.Searcher, sub hysdispatch.SubRequest) hysdispatch.Result {
			n := sent.record(to.ID)
			if n <= 2 {
				<-release
				return hysdispatch.Result{}
			}
			if n == 3 {
				<-ctx.Done()
				return hysdispatch.Result{Fault: hysdispatch.FaultCancelled}
			}
			return hysdispatch.Result{}
		})
		d.SetReplicas(service, replicas(2), 1)
		for i := range 2 {
			blocker := subRequest(fmt.Sprint("blocker-", i), 5*time.Second)
			blocker.Idempotent = false
			go d.Submit(context.Background(), blocker)
		}
		Eventually(sent.count).Should(Equal(2))
		done := make(chan hysdispatch.SubReply, 1)
		go func() { done <- d.Submit(context.Background(), subRequest("r", 5*time.Second)) }()
		// Longer than the delay of the first hedge check.
		time.Sleep(150 * time.Millisecond)
		close(release)
		Eventually(done, 2*time.Second).Should(Receive(HaveField("Status", hysquery.ShardAnswered)))
		Expect(sent.count()).To(Equal(4))
	})

	It("never hedges a non-idempotent request, and does not report it as not run at its deadline", func() {
		var sent sendLog
		d := hysdispatch.New(func(ctx context.Context, to hysmember.Searcher, _ hysdispatch.SubRequest) hysdispatch.Result {
			sent.record(to.ID)
			<-ctx.Done()
			return hysdispatch.Result{Fault: hysdispatch.FaultCancelled}
		})
		d.SetReplicas(service, replicas(2), 2)
		sub := subRequest("r", 300*time.Millisecond)
		sub.Idempotent = false
		reply := d.Submit(context.Background(), sub)
		Expect(reply.Status).To(Equal(hysquery.ShardTimeout))
		Expect(reply.NotRun).To(BeFalse())
		Expect(sent.count()).To(Equal(1))
	})

	It("sends again to a replica that shed once", func() {
		var sent sendLog
		d := hysdispatch.New(func(_ context.Context, to hysmember.Searcher, _ hysdispatch.SubRequest) hysdispatch.Result {
			if sent.record(to.ID) == 1 {
				return hysdispatch.Result{Fault: hysdispatch.FaultShed, NotRun: true}
			}
			return hysdispatch.Result{}
		})
		d.SetReplicas(service, replicas(1), 2)
		Expect(d.Submit(context.Background(), subRequest("a", time.Second)).Status).To(Equal(hysquery.ShardOverloaded))
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go d.Run(ctx)
		Expect(d.Submit(context.Background(), subRequest("b", time.Second)).Status).To(Equal(hysquery.ShardAnswered))
	})

	It("immediately refuses what can't meet its deadline, with a retry time", func() {
		release := make(chan struct{})
		defer close(release)
		var sent sendLog
		slow := true
		d := hysdispatch.New(func(_ context.Context, to hysmember.Searcher, _ hysdispatch.SubRequest) hysdispatch.Result {
			sent.record(to.ID)
			if slow {
				time.Sleep(40 * time.Millisecond)
				return hysdispatch.Result{}
			}
			<-release
			return hysdispatch.Result{}
		})
		d.SetReplicas(service, replicas(1), 1)
		Expect(d.Submit(context.Background(), subRequest("learn", time.Second)).Status).To(Equal(hysquery.ShardAnswered))
		slow = false
		for i := range 3 {
			go d.Submit(context.Background(), subRequest(fmt.Sprint("blocker-", i), time.Second))
			Eventually(func() int { l := d.Load(service); return l.Waiting + l.Running }).Should(Equal(i + 1))
		}
		started := time.Now()
		reply := d.Submit(context.Background(), subRequest("r", 100*time.Millisecond))
		Expect(reply.Status).To(Equal(hysquery.ShardOverloaded))
		Expect(reply.NotRun).To(BeTrue())
		Expect(reply.RetryAfter).To(BeNumerically(">", 0))
		Expect(time.Since(started)).To(BeNumerically("<", 50*time.Millisecond))
	})

	It("removes an expired sub-request from the queue", func() {
		release := make(chan struct{})
		defer close(release)
		d := hysdispatch.New(func(context.Context, hysmember.Searcher, hysdispatch.SubRequest) hysdispatch.Result {
			<-release
			return hysdispatch.Result{}
		})
		d.SetReplicas(service, replicas(1), 1)
		go d.Submit(context.Background(), subRequest("blocker", 5*time.Second))
		Eventually(func() int { return d.Load(service).Running }).Should(Equal(1))
		reply := d.Submit(context.Background(), subRequest("r", 30*time.Millisecond))
		Expect(reply.Status).To(Equal(hysquery.ShardTimeout))
		Expect(reply.NotRun).To(BeTrue())
		Expect(d.Load(service).Waiting).To(Equal(0))
	})
})
