package leader

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"time"
)

// Counter is the name of a role whose work only increments a counter, which is its
// checkpoint: each step is one effect. Fault-injection tests use it to check grants,
// handovers and fencing.
const Counter = "count"

const countInterval = 20 * time.Millisecond

// Messages that the work of Counter logs for a step, with the attributes count and
// token. The fault-injection lab reads them from the controllers' logs.
const (
	EventCountRequested = "count requested"
	EventCountAccepted  = "count accepted"
	EventCountRejected  = "count rejected"
)

// Count returns the work of the role Counter, which continues from the last
// checkpoint. The work logs each step before it sends the request and after it receives
// the response, so that the log also shows steps whose response was lost.
func Count(log *slog.Logger) Work {
	return func(ctx context.Context, g *Grant) error {
		count, err := parseCount(g.Note)
		if err != nil {
			return err
		}
		for Sleep(ctx, countInterval) {
			count++
			log.Info(EventCountRequested, "count", count, "token", g.Token)
			err := g.Save(ctx, strconv.Itoa(count))
			switch {
			case err == nil:
				log.Info(EventCountAccepted, "count", count, "token", g.Token)
			case errors.Is(err, ErrLeaseLost):
				log.Info(EventCountRejected, "count", count, "token", g.Token)
				return nil
			case ctx.Err() != nil:
				return nil // whether the step was accepted is unknown; the next holder reads the stored checkpoint
			default:
				return err
			}
		}
		return nil
	}
}

func parseCount(note string) (int, error) {
	if note == "" {
		return 0, nil
	}
	count, err := strconv.Atoi(note)
	if err != nil {
		return 0, fmt.Errorf("count: checkpoint: %w", err)
	}
	return count, nil
}
