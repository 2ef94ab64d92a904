// Command stand-2 plays the cases of the second review: it starts the relay with the
// command of the deploy file and takes the part of clients, endpoints and the platform.
//
//	stand-2 CASE ROOT FOLDER
//
// CASE is the name of the case, ROOT the folder of the repository, and record.txt is
// written to FOLDER. With TROUBLE=0 in the environment the case is played without its
// disruption. The exit code is 1 if the rule was broken, 0 if it held and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// caseFunc plays a case. It returns what broke the rule, or nothing.
type caseFunc func(s *stage) (broken []string, err error)

var cases = map[string]caseFunc{
	"drain-blocks":  playDrainBlocks,
	"drain-upgrade": playDrainUpgrade,
	"agent-move":    playAgentMove,
}

// stage is what all cases have.
type stage struct {
	rec     *record
	root    string
	temp    string
	trouble bool
	host    *relayHost
	plat    *platform
	ends    []*endpoint
	// programs are the processes that were started beside the relay.
	programs []*program
}

// open starts the platform, the endpoints and the relay's first process. The endpoints
// all are of one destination, with number 7.
func (s *stage) open(delays ...func([]string) time.Duration) (*relayProcess, error) {
	var members []member
	for i, delay := range delays {
		e, err := startEndpoint(s.rec, fmt.Sprintf("s-%d", i+1), delay)
		if err != nil {
			return nil, err
		}
		s.ends = append(s.ends, e)
		members = append(members, e.member(7, "agent"))
	}
	var err error
	if s.plat, err = startPlatform(s.rec, members); err != nil {
		return nil, err
	}
	if s.host, err = newRelayHost(s.rec, s.root, s.temp, s.plat.list(), s.plat.addr); err != nil {
		return nil, err
	}
	p, err := s.host.start("first")
	if err != nil {
		return nil, err
	}
	return p, p.awaitReady(10 * time.Second)
}

func (s *stage) close() {
	if s.host != nil {
		s.host.end()
	}
	for _, p := range s.programs {
		p.kill()
	}
}

// caseLimit is how long a case may run.
const caseLimit = 110 * time.Second

// endEarly ends all processes and the case, as one that could not run, when the case is
// told to end or runs for too long.
func (s *stage) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(caseLimit):
		}
		s.rec.printf("ended before its time")
		s.close()
		os.RemoveAll(s.temp)
		os.Exit(2)
	}()
}

func main() {
	os.Exit(playCase(os.Args[1:]))
}

func playCase(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE ROOT FOLDER")
		return 2
	}
	out, err := os.Create(filepath.Join(args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	temp, err := os.MkdirTemp("", "stand-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(temp)
	s := &stage{rec: &record{out: out, start: time.Now()}, root: args[1], temp: temp, trouble: os.Getenv("TROUBLE") != "0"}
	defer s.close()
	s.endEarly()
	s.rec.printf("case %s, trouble %v", args[0], s.trouble)
	broken, err := cases[args[0]](s)
	if err != nil {
		s.rec.printf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	for _, b := range broken {
		s.rec.printf("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return 1
	}
	s.rec.printf("the rule held")
	fmt.Println("held")
	return 0
}
