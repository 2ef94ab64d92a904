package leader

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"time"
)

// Counter is a duty that counts: each step is one effect. It shows that duties
// are granted, handed over and fenced, and the lab judges wardens by it.
const Counter = "count"

const countEvery = 20 * time.Millisecond

// Count is its work. It goes on from where the holder before stood, as it is
// noted at the store. It logs each step before it asks and once it is answered, so
// that a step whose answer is missing is known to have been asked for.
func Count(log *slog.Logger) Work {
	return func(ctx context.Context, g *Grant) error {
		n := 0
		if g.Note != "" {
			var err error
			if n, err = strconv.Atoi(g.Note); err != nil {
				return fmt.Errorf("count: note: %w", err)
			}
		}
		for sleep(ctx, countEvery) {
			n++
			log.Info("counts", "count", n, "token", g.Token)
			err := g.Save(ctx, strconv.Itoa(n))
			switch {
			case err == nil:
				log.Info("counted", "count", n, "token", g.Token)
			case errors.Is(err, ErrLeaseLost):
				log.Info("not counted", "count", n, "token", g.Token)
				return nil
			case ctx.Err() != nil:
				return nil // lost, or to stop: whether it counted, the note tells
			default:
				return err
			}
		}
		return nil
	}
}
