package leader

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"time"
)

// Counter is the role whose work counts: each step is one effect. It makes grants,
// hand-overs and fencing visible; fault injection checks controllers by it.
const Counter = "count"

const countInterval = 20 * time.Millisecond

// Log events of a step. The fault-injection lab reads them from the controllers'
// logs, with the attributes count and token.
const (
	EventCountRequested = "count requested"
	EventCountAccepted  = "count accepted"
	EventCountRejected  = "count rejected"
)

// Count returns the work of the role Counter. It goes on from the last checkpoint.
// It logs each step before the request and after the response, so that a step whose
// response is missing is known to have been requested.
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
				return nil // the outcome is unknown: the next holder reads the checkpoint
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
