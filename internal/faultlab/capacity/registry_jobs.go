package capacity

import (
	"context"
	"net/http"
	"time"

	"plovershore/internal/discovery"
	"plovershore/internal/registry"
	"plovershore/internal/registry/client"
)

const (
	groupNodes       = 3
	writers          = 16
	memberTTL        = 15.0 // seconds; the time to live that the README uses to register members
	heartbeatsPerTTL = 3.0  // heartbeats that a member sends within its time to live
	targetHeartbeats = targetMembers * heartbeatsPerTTL / memberTTL
	fewMembers       = 3000
	timedWrites      = 20
	readers          = 4
)

func registryJobs() []job {
	quantity := func(name, unit, sizeUnit string, target float64) Quantity {
		return Quantity{Role: "list service", Name: name, Unit: unit, SizeUnit: sizeUnit, Target: target}
	}
	const list, watchers = "members", "watchers"
	watch := func(name string, members int) job {
		return job{name: name, sizes: []int{9, 30, 90, 300, 900}, smoke: []int{3, 30},
			quantities: []Quantity{quantity("until all watchers have the whole list", "ms", watchers, targetRelays),
				quantity("from a write to the last watcher, median of 20", "ms", watchers, targetRelays),
				quantity("from a write to the last watcher, longest of 20", "ms", watchers, targetRelays),
				quantity("memory of three nodes as the last watcher has its list", "MB", watchers, targetRelays)},
			run: func(ctx context.Context, e *environment, size int) ([]float64, error) {
				return measureWatchers(ctx, e, scaled(e, 100, members), size)
			}}
	}
	return []job{
		{name: "registry-write", sizes: memberSizes, smoke: smokeSizes, run: measureGroupWrites, quantities: []Quantity{
			quantity("time of the group for a change, 16 writers", "us", list, targetMembers), quantity("processor of three nodes for a change", "us", list, targetMembers),
			quantity("handed by three nodes to files and sockets for a change", "KB", list, targetMembers), quantity("memory of a node", "MB", list, targetMembers)}},
		{name: "registry-beat", sizes: memberSizes, smoke: smokeSizes, run: measureGroupHeartbeats, quantities: []Quantity{
			quantity("processor of three nodes that nobody asks", "% of a core", list, targetMembers),
			quantity("time of the group for a heartbeat, 16 clients", "us", list, targetMembers), quantity("processor of three nodes for a heartbeat", "us", list, targetMembers),
			quantity("processor of three nodes for one of a batch of 100", "us", list, targetMembers),
			{Role: "list service", Name: "processor if each member sends its own, 3 in 15 s", Unit: "cores", SizeUnit: list, Target: targetMembers}}},
		{name: "registry-list", sizes: memberSizes, smoke: smokeSizes, run: measureGroupReads, quantities: []Quantity{
			quantity("time of the group for a whole list, 4 readers", "ms", list, targetMembers), quantity("processor of three nodes for it", "ms", list, targetMembers),
			quantity("backup, bytes", "MB", list, targetMembers), quantity("backup, time", "ms", list, targetMembers)}},
		watch("registry-watch-3000", fewMembers),
		watch("registry-watch-31000", targetMembers),
	}
}

// measureGroupWrites measures changes of members that 16 clients request without pause.
func measureGroupWrites(ctx context.Context, e *environment, size int) ([]float64, error) {
	g, err := e.startGroup(ctx, groupNodes, size)
	if err != nil {
		return nil, err
	}
	defer g.close()
	before, err := g.usage()
	if err != nil {
		return nil, err
	}
	span := scaled(e, 200*time.Millisecond, 3*time.Second)
	n, err := g.runClients(ctx, writers, span, func(ctx context.Context, c *client.Client, caller, n int) error {
		_, err := changeMember(ctx, c, caller, n)
		return err
	})
	if err != nil {
		return nil, err
	}
	after, err := g.usage()
	return []float64{span.Seconds() * 1e6 / n, float64((after.cpu - before.cpu).Microseconds()) / n, (after.writtenBytes - before.writtenBytes) / 1e3 / n, after.rssBytes / 1e6 / groupNodes}, err
}

// measureGroupHeartbeats measures an idle group, then heartbeats that are sent one a call,
// then in batches of 100.
func measureGroupHeartbeats(ctx context.Context, e *environment, size int) ([]float64, error) {
	g, err := e.startGroup(ctx, groupNodes, size)
	if err != nil {
		return nil, err
	}
	defer g.close()
	idle, err := g.measureIdleCPU(ctx, scaled(e, 200*time.Millisecond, 3*time.Second))
	if err != nil {
		return nil, err
	}
	span := scaled(e, 200*time.Millisecond, 2*time.Second)
	measureBatch := func(batchSize int) (calls, cpuPerCall float64, err error) {
		before, err := g.usage()
		if err != nil {
			return 0, 0, err
		}
		calls, err = g.runClients(ctx, writers, span, func(ctx context.Context, c *client.Client, caller, n int) error {
			var batch []registry.Heartbeat
			for i := range batchSize {
				batch = append(batch, registry.Heartbeat{ID: newMember(((n*batchSize+i)*writers+caller)%size, shortID).ID, Holder: memberHolder})
			}
			_, err := c.Do(ctx, http.MethodPost, registry.HeartbeatsPath, batch, nil)
			return err
		})
		if err != nil {
			return 0, 0, err
		}
		after, err := g.usage()
		return calls, float64((after.cpu - before.cpu).Microseconds()) / calls, err
	}
	calls, singleCPU, err := measureBatch(1)
	if err != nil {
		return nil, err
	}
	_, batchCPU, err := measureBatch(100)
	return []float64{idle, span.Seconds() * 1e6 / calls, singleCPU, batchCPU / 100, singleCPU * heartbeatsPerTTL * float64(size) / memberTTL / 1e6}, err
}

// measureGroupReads measures reads of the complete list, then one backup.
func measureGroupReads(ctx context.Context, e *environment, size int) ([]float64, error) {
	g, err := e.startGroup(ctx, groupNodes, size)
	if err != nil {
		return nil, err
	}
	defer g.close()
	before, err := g.usage()
	if err != nil {
		return nil, err
	}
	span := scaled(e, 200*time.Millisecond, 2*time.Second)
	n, err := g.runClients(ctx, readers, span, func(ctx context.Context, _ *client.Client, caller, n int) error {
		_, err := httpGet(ctx, "http://"+g.nodes[(caller+n)%len(g.nodes)]+discovery.ListPath)
		return err
	})
	if err != nil {
		return nil, err
	}
	after, err := g.usage()
	if err != nil {
		return nil, err
	}
	var snapshot []byte
	began := time.Now()
	_, err = g.client.Do(ctx, http.MethodGet, registry.SnapshotPath, nil, &snapshot)
	return []float64{span.Seconds() * 1e3 / n, (after.cpu - before.cpu).Seconds() * 1e3 / n, float64(len(snapshot)) / 1e6, time.Since(began).Seconds() * 1e3}, err
}
