package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Figures of the case of an agent that is replaced.
const (
	outage         = 8 * time.Second // herd+mass: discovery is down for 8 s
	oldAgentCloses = 1500 * time.Millisecond
	toldAfter      = 4 * time.Second // after the SIGHUP
	toldSlack      = 2 * time.Second // beyond what the page gives
)

// program is a process of the project beside the relay.
type program struct {
	rec  *record
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

func (s *stage) startProgram(name string, env []string, path string, args ...string) (*program, error) {
	logFile, err := os.Create(filepath.Join(s.temp, name+".log"))
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	cmd := exec.Command(filepath.Join(s.root, path), args...)
	cmd.Dir, cmd.Env = s.root, append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &program{s.rec, name, cmd, make(chan struct{})}
	go func() {
		defer close(p.done)
		s.rec.printf("%s ended: %v", name, cmd.Wait())
	}()
	s.programs = append(s.programs, p)
	s.rec.printf("%s started", name)
	return p, nil
}

func (p *program) kill() {
	p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// relayctl runs the operators' command against the list service.
func (s *stage) relayctl(node string, args ...string) error {
	args = append(args, "--nodes", node)
	out, err := exec.Command(filepath.Join(s.root, "bin", "relayctl"), args...).CombinedOutput()
	s.rec.printf("relayctl %s: %s", strings.Join(args, " "), strings.TrimSpace(string(out)))
	if err != nil {
		return fmt.Errorf("relayctl %s: %w", strings.Join(args, " "), err)
	}
	return nil
}

func (s *stage) addMember(node, id, address string, cell int) error {
	return s.relayctl(node, "members", "add", "--id", id, "--address", address, "--zone", "colombo-dc", "--flavor", "agent", "--cell", strconv.Itoa(cell))
}

// fetchList asks an agent for its list, until it has as many members as wanted.
func fetchList(addr string, want int) (memberList, error) {
	client := http.Client{Timeout: time.Second}
	for range 100 {
		var list memberList
		resp, err := client.Get("http://" + addr + "/registry/instances")
		if err == nil {
			err = json.NewDecoder(resp.Body).Decode(&list)
			resp.Body.Close()
		}
		if err == nil && len(list.Members) == want {
			return list, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return memberList{}, errors.New("no list from the agent")
}

// startAgent starts an agent of the list service with a folder of its own.
func (s *stage) startAgent(name, node string) (*program, string, error) {
	addr, err := freeAddress()
	if err != nil {
		return nil, "", err
	}
	p, err := s.startProgram(name, nil, "bin/registry", "agent", "--listen", addr, "--folder", filepath.Join(s.temp, name), "--nodes", node, "--fleet", "1")
	return p, addr, err
}

// startListService starts one node of the list service.
func (s *stage) startListService() (node string, err error) {
	node, err = freeAddress()
	if err != nil {
		return "", err
	}
	raft, err := freeAddress()
	if err != nil {
		return "", err
	}
	env := []string{"REGISTRY_DATA=" + filepath.Join(s.temp, "registry"), "REGISTRY_LISTEN=" + node, "REGISTRY_RAFT=" + raft}
	if _, err := s.startProgram("registry", env, "bin/registry", "serve"); err != nil {
		return "", err
	}
	for range 100 {
		if err = s.relayctl(node, "members", "list", "--wait", "500ms"); err == nil {
			return node, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return "", err
}

func playAgentMove(s *stage) (broken []string, err error) {
	quick := func([]string) time.Duration { return 20 * time.Millisecond }
	var machines []*endpoint
	for i := range 3 {
		e, err := startEndpoint(s.rec, fmt.Sprintf("machine-%d", i+1), quick)
		if err != nil {
			return nil, err
		}
		machines = append(machines, e)
	}
	node, err := s.startListService()
	if err != nil {
		return nil, err
	}
	if err := errors.Join(s.addMember(node, "s-1", machines[0].addr, 7), s.addMember(node, "s-2", machines[1].addr, 8)); err != nil {
		return nil, err
	}
	first, firstAddr, err := s.startAgent("agent-1", node)
	if err != nil {
		return nil, err
	}
	known, err := fetchList(firstAddr, 2)
	if err != nil {
		return nil, err
	}
	s.rec.printf("the first agent's list has revision %d", known.Revision)
	if s.host, err = newRelayHost(s.rec, s.root, s.temp, known, firstAddr); err != nil {
		return nil, err
	}
	relay, err := s.host.start("relay")
	if err != nil {
		return nil, err
	}
	if err := relay.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	if err := s.handIn("before", machines[0], machines[2]); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)

	downAt := time.Now()
	if s.trouble {
		s.rec.printf("discovery is down: the first agent is silent")
		first.cmd.Process.Signal(syscall.SIGSTOP)
	}
	// Destination 7 gets a new machine, and its old one serves destination 8 from now on.
	if err := errors.Join(s.addMember(node, "s-3", machines[2].addr, 7), s.relayctl(node, "members", "remove", "s-1"),
		s.addMember(node, "s-4", machines[0].addr, 8)); err != nil {
		return nil, err
	}
	_, secondAddr, err := s.startAgent("agent-2", node)
	if err != nil {
		return nil, err
	}
	list, err := fetchList(secondAddr, 3)
	if err != nil {
		return nil, err
	}
	s.rec.printf("the second agent's list has revision %d: %v", list.Revision, list.Members)
	time.Sleep(time.Until(downAt.Add(outage)))

	if err := s.host.setDiscovery(secondAddr); err != nil {
		return nil, err
	}
	s.rec.printf("SIGHUP: discovery is the second agent")
	relay.signal(syscall.SIGHUP)
	time.Sleep(oldAgentCloses)
	first.kill()
	time.Sleep(toldAfter + toldSlack - oldAgentCloses)
	broken, err = s.checkDestination("after", machines[0], machines[2])
	if err != nil || len(broken) == 0 {
		return broken, err
	}
	// Not judged: whether a further change of the list brings what was missed.
	if err := s.addMember(node, "s-5", machines[1].addr, 9); err != nil {
		return broken, err
	}
	time.Sleep(oldAgentCloses)
	_, err = s.checkDestination("later", machines[0], machines[2])
	return broken, err
}

// handIn hands in one message for destination 7 and waits until it has run.
func (s *stage) handIn(id string, machines ...*endpoint) error {
	c, err := dial(s.host.listen)
	if err != nil {
		return err
	}
	defer c.conn.Close()
	answer, err := c.ask(putCommand(id, "alert-update", 4*time.Second, 7, "body of "+id))
	s.rec.printf("handed in %s for destination 7: %q %v", id, answer, err)
	if err != nil || !strings.HasPrefix(answer, "+") {
		return fmt.Errorf("message %s: %q, %w", id, answer, errors.Join(err, errors.New("not taken on")))
	}
	for range 250 {
		for _, m := range machines {
			if count, _ := m.runsOf(id); count > 0 {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// checkDestination hands in messages for destination 7 and checks where they run.
func (s *stage) checkDestination(name string, foreign, own *endpoint) (broken []string, err error) {
	atForeign, atOwn := 0, 0
	for i := range 8 {
		id := fmt.Sprintf("%s-%d", name, i+1)
		if err := s.handIn(id, foreign, own); err != nil {
			return nil, err
		}
		if count, _ := foreign.runsOf(id); count > 0 {
			atForeign++
		}
		if count, _ := own.runsOf(id); count > 0 {
			atOwn++
		}
	}
	s.rec.printf("of 8 messages for destination 7, %d ran at its endpoint and %d at one of destination 8", atOwn, atForeign)
	if atForeign > 0 {
		broken = append(broken, fmt.Sprintf("6 s and more after the SIGHUP, %d of 8 messages for destination 7 ran at an endpoint of destination 8, %d at that of destination 7", atForeign, atOwn))
	}
	return broken, nil
}
