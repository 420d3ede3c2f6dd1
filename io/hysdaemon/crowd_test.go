package hysdaemon_test

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"hyssopshore/core/hysmember"
	"hyssopshore/core/hysquery"
	"hyssopshore/internal/hyssuite"
	"hyssopshore/internal/hystest"
	"hyssopshore/io/hyssettings"
)

// The limits of the daemon in a crowd, which its settings state, and the bounds of the
// test.
const (
	// crowdConnections is the setting for the cases in which the clients send nothing,
	// and crowdManyConnections that for the others, so that memory runs short first.
	crowdConnections     = 100
	crowdManyConnections = 1000
	// crowdMaxDescriptors allows each of the three ports as many connections as the
	// setting, and as many again for searchers, store and peers.
	crowdMaxDescriptors     = 4 * crowdConnections
	crowdManyMaxDescriptors = 4 * crowdManyConnections
	// crowdMemoryMB is the smallest memory that a deployment gives a daemon.
	crowdMemoryMB     = 160
	crowdReadyTimeout = 20 * time.Second
)

// startCrowdDaemon starts a real daemon and configures it. It returns the process and a
// handle to send it queries.
func startCrowdDaemon(t *testing.T, binary string, connections int) (*hystest.Process, *hystest.Daemon) {
	g, directory := gomega.NewWithT(t), t.TempDir()
	c := hystest.NewCluster(hystest.Service{Name: "captains-desk", Shards: 1, Replicas: 2, Slots: 2, Records: 10}, hystest.Service{Name: "band-roll", Shards: 1, Replicas: 1, Slots: 1})
	t.Cleanup(c.Stop)
	d := &hystest.Daemon{Settings: hyssettings.Settings{
		CallerAddress: hystest.FreeAddress("127.0.0.1"), PeerAddress: hystest.FreeAddress("127.0.0.1"), OperatorAddress: hystest.FreeAddress("127.0.0.1"),
	}}
	text, err := json.Marshal(map[string]any{
		"instance": "entry-1", "zone": hystest.Zone, "region": hystest.Region, "store-address": c.StoreAddress(),
		"caller-address": d.Settings.CallerAddress, "peer-address": d.Settings.PeerAddress, "operator-address": d.Settings.OperatorAddress,
		"peer-secret": hystest.Secret, "operator-secret": hystest.Secret, "connections": connections, "read-timeout-ms": 60_000,
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	file := filepath.Join(directory, "settings.hujson")
	g.Expect(os.WriteFile(file, text, 0o600)).To(gomega.Succeed())
	log, err := os.Create(filepath.Join(directory, "log"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	process, err := hystest.StartProcess(log, binary, "serve", "--settings", file)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(process.Kill)
	c.AddInstance(hysmember.Instance{ID: "entry-1", Address: d.Settings.PeerAddress, Zone: hystest.Zone, Region: hystest.Region})
	var reply struct{}
	g.Eventually(func() (int, error) {
		return c.Call(http.MethodPost, d.Settings.OperatorAddress, "/v1/tickets", firstTicket(), &reply)
	}, crowdReadyTimeout, 50*time.Millisecond).Should(gomega.Equal(http.StatusOK))
	g.Eventually(func() (int, error) { return ordinaryQuery(d) }, crowdReadyTimeout, 50*time.Millisecond).Should(gomega.Equal(http.StatusOK))
	return process, d
}

// ordinaryQuery sends an ordinary query and returns the status.
func ordinaryQuery(d *hystest.Daemon) (int, error) {
	_, status, err := d.Query(hysquery.Query{Group: "accra-ringers", Service: "captains-desk", Body: json.RawMessage(`{}`)})
	return status, err
}

// TestCrowd lets many clients misbehave at one port of a real daemon, and checks that
// it lives within its memory and descriptors, and answers an ordinary request while
// they stay.
func TestCrowd(t *testing.T) {
	binary, err := hystest.BuildDaemon(t.TempDir(), "../../cmd/hyssopshore")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	var cases []hystest.CrowdCase
	hyssuite.Read("crowds.json", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			connections, bounds := crowdManyConnections, hystest.CrowdBounds{MemoryMB: crowdMemoryMB, Descriptors: crowdManyMaxDescriptors}
			if c.Crowd.BodyBytes == 0 {
				connections, bounds.Descriptors = crowdConnections, crowdMaxDescriptors
			}
			process, d := startCrowdDaemon(t, binary, connections)
			addresses := map[string]hysmember.Address{
				"callers": d.Settings.CallerAddress, "peers": d.Settings.PeerAddress, "operators": d.Settings.OperatorAddress,
			}
			// The ordinary request comes on a connection of its own.
			http.DefaultClient.CloseIdleConnections()
			c.Run(t, process, string(addresses[c.Port]), bounds, func() (int, error) { return ordinaryQuery(d) })
		})
	}
}

// TestCrowdOfOne checks that each form of a legal request is served in calm.
func TestCrowdOfOne(t *testing.T) {
	g := gomega.NewWithT(t)
	binary, err := hystest.BuildDaemon(t.TempDir(), "../../cmd/hyssopshore")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	process, d := startCrowdDaemon(t, binary, crowdConnections)
	const maxTicketBytes = 8 << 20
	ports := []struct {
		address hysmember.Address
		head    string
		body    int
		status  int
	}{
		// The bodies are no JSON, which shows that they were read.
		{d.Settings.CallerAddress, "POST /v1/query HTTP/1.1\r\nHost: entry\r\n", hysquery.MaxBodyBytes, http.StatusBadRequest},
		{d.Settings.OperatorAddress, "POST /v1/tickets HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + hystest.Secret + "\r\n", maxTicketBytes, http.StatusBadRequest},
	}
	for _, p := range ports {
		for _, piece := range []int{1, 4096, 65_536, p.body} {
			for _, chunked := range []bool{false, true} {
				if piece == 1 && !chunked && p.body == maxTicketBytes {
					continue // Eight million writes show no more than those of 4 KB.
				}
				lone := hystest.Crowd{Head: p.head, BodyBytes: p.body, PieceBytes: piece, Chunked: chunked}
				status, err := lone.Exchange(string(p.address))
				g.Expect(err).NotTo(gomega.HaveOccurred(), "%s in pieces of %d bytes, chunked: %t", p.address, piece, chunked)
				g.Expect(status).To(gomega.Equal(p.status), "%s in pieces of %d bytes, chunked: %t", p.address, piece, chunked)
			}
		}
	}
	memory, err := process.PeakMemory()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Logf("memory %d MB", memory>>20)
	g.Expect(memory).To(gomega.BeNumerically("<=", crowdMemoryMB<<20))
}
