package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func playDrainUpgrade(s *stage) (broken []string, err error) {
	old, err := s.open(func([]string) time.Duration { return 40 * time.Millisecond })
	if err != nil {
		return nil, err
	}
	// A client of the running process: it hands in a message now and then.
	c, err := dial(s.host.listen)
	if err != nil {
		return nil, err
	}
	defer c.conn.Close()
	if answer, err := c.ask(putCommand("u000001", "alert-update", 8*time.Second, 7, "one")); err != nil || !strings.HasPrefix(answer, "+") {
		return nil, fmt.Errorf("the first message: %q, %v", answer, err)
	}
	drained := old
	var readyAt time.Time
	if s.trouble {
		next, err := s.host.start("second")
		if err != nil {
			return nil, err
		}
		if err := next.awaitReady(10 * time.Second); err != nil {
			return nil, err
		}
		readyAt = time.Now()
		s.rec.printf("process second says yes")
		drained = next
	}
	firstNo, err := s.drain(drained)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Until(firstNo.Add(drainJudgedAt)))
	yes := 0
	for range 10 {
		answer, err := ping(s.host.listen)
		s.rec.printf("PING at 4 s: %q %v", answer, err)
		if err == nil && strings.HasPrefix(answer, "+PONG") {
			yes++
		}
	}
	if yes > 0 {
		broken = append(broken, fmt.Sprintf("4 s after the first no, %d of 10 PINGs say yes", yes))
	}
	if answer, err := c.answer(50 * time.Millisecond); err != nil && strings.Contains(err.Error(), "timeout") {
		s.rec.printf("the client's connection is held idle: %q", answer)
		broken = append(broken, "4 s after the first no, a client's connection is held idle")
	} else {
		s.rec.printf("the client's connection: %q %v", answer, err)
	}
	if s.trouble {
		s.rec.printf("%.1f s since the yes of the second process: SIGTERM to the first", time.Since(readyAt).Seconds())
		old.signal(syscall.SIGTERM)
	}
	return broken, nil
}
