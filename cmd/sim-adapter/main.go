// Command sim-adapter runs the policies of simulated relays, one for each relay. It reads frames of events from
// standard input, passes the events to the policies, and writes their actions as frames to standard output. It
// makes no decisions of its own.
package main

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"os"
)

func main() {
	log.SetFlags(0)
	log.SetPrefix("sim-adapter: ")
	in := bufio.NewReaderSize(os.Stdin, 1<<20)
	out := bufio.NewWriterSize(os.Stdout, 1<<20)
	if err := serve(in, out); err != nil {
		log.Fatal(err)
	}
}

// serve answers frames until the input ends. It returns nil if the input ends between two frames.
func serve(in io.Reader, out *bufio.Writer) error {
	h := newHost()
	for n := 0; ; n++ {
		reply, err := h.handleFrame(in)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("frame %d: %w", n, err)
		}
		if _, err := out.Write(reply); err != nil {
			return err
		}
		if err := out.Flush(); err != nil {
			return err
		}
	}
}
