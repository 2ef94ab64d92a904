package faultlab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"plovershore/internal/faultlab/model"
	"plovershore/internal/registry/client"
)

const (
	leaderPoll    = 50 * time.Millisecond
	maxKillDelay  = 300                    // ms; the delay before each kill is drawn below this
	writeTimeout  = 200 * time.Millisecond // short, so that the client's own backoff is not measured
	followTimeout = 10 * time.Second       // for a restarted node to follow a leader
	followPoll    = 20 * time.Millisecond
)

// measureKills measures how long the group accepts no write after its leader is killed.
func (b *registryBench) measureKills(ctx context.Context, members, kills int) error {
	c, err := b.startReady(ctx, benchNodes, members)
	if err != nil {
		return err
	}
	defer b.stop()
	defer c.Close()
	random := rand.New(rand.NewPCG(b.options.Seed, 1))
	var durations []float64
	for n := range kills {
		leader := findLeader(b.http)
		if leader < 0 {
			model.Sleep(ctx, leaderPoll)
			continue
		}
		model.Sleep(ctx, time.Duration(random.IntN(maxKillDelay))*time.Millisecond)
		b.processes[leader].Kill()
		killedAt := time.Now()
		awaitWrite(ctx, c, n)
		durations = append(durations, toMillis(time.Since(killedAt)))
		if err := b.startNode(leader); err != nil {
			return err
		}
		awaitFollower(ctx, b.http[leader])
	}
	b.figures.add(fmt.Sprintf("%d members: ms without a leader after its kill, until a write is taken", members), durations)
	return nil
}

// awaitWrite writes until a write is accepted, or ctx ends.
func awaitWrite(ctx context.Context, c *client.Client, number int) {
	for ctx.Err() == nil {
		writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		err := benchWrite(writeCtx, c, "z", number)
		cancel()
		if err == nil {
			return
		}
	}
}

// awaitFollower waits until a node follows a leader, but no longer than followTimeout.
func awaitFollower(ctx context.Context, addr string) {
	for deadline := time.Now().Add(followTimeout); time.Now().Before(deadline); model.Sleep(ctx, followPoll) {
		if status, err := nodeStatus(addr); err == nil && !status.Stale && status.Leader != "" {
			return
		}
	}
}
