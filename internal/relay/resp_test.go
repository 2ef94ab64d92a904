package relay

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"time"
)

// Invalid commands must be answered with an error and submit no message. If the relay still
// knows where the next command begins, the connection must stay usable; otherwise it must be
// closed.
func TestInvalidCommandsAreRejected(t *testing.T) {
	longBody := strings.Repeat("x", maxBodyBytes+1)
	for name, test := range map[string]struct {
		text   string
		closes bool
	}{
		"inline":           {"PING\r\n", true},
		"no number":        {"*x\r\n", true},
		"no arguments":     {"*0\r\n", true},
		"negative":         {"*-1\r\n", true},
		"many arguments":   {"*999999999\r\n", true},
		"huge argument":    {"*1\r\n$999999999\r\n", true},
		"negative length":  {"*1\r\n$-5\r\n", true},
		"long number":      {"*" + strings.Repeat("1", 99) + "\r\n", true},
		"no line end":      {"*1\r\n$4\r\nPINGxx", true},
		"not a bulk":       {"*1\r\n:4\r\n", true},
		"unknown command":  {"*1\r\n$3\r\nGET\r\n", false},
		"long body":        {putCommand("m", putFields("plain", 8000, 1), []byte(longBody)), false},
		"few arguments":    {"*2\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n", false},
		"unknown class":    {putCommand("m", "c=other,t=acme,d=1,dest=1", nil), false},
		"no class":         {putCommand("m", "t=acme,d=1,dest=1", nil), false},
		"unknown tenant":   {putCommand("m", "c=plain,t=other,d=1,dest=1", nil), false},
		"no time":          {putCommand("m", "c=plain,t=acme,dest=1", nil), false},
		"bad time":         {putCommand("m", "c=plain,t=acme,d=NaN,dest=1", nil), false},
		"negative time":    {putCommand("m", "c=plain,t=acme,d=-1,dest=1", nil), false},
		"no destination":   {putCommand("m", "c=plain,t=acme,d=1", nil), false},
		"bad destination":  {putCommand("m", "c=plain,t=acme,d=1,dest=-3", nil), false},
		"no key":           {putCommand("m", "c=keyed,t=acme,d=1,dest=1", nil), false},
		"key in two lines": {putCommand("m", "c=keyed,t=acme,d=1,dest=1,k=a\r\nX: b", nil), false},
		"id in two lines":  {putCommand("a\r\nX: b", putFields("plain", 1, 1), nil), false},
		"no id":            {putCommand("", putFields("plain", 1, 1), nil), false},
		"field, no value":  {putCommand("m", "c", nil), false},
	} {
		t.Run(name, func(t *testing.T) {
			_, addr, _ := serveClients(t, func(q *putRequest) { t.Error("the command submitted a message"); accept(q) })
			cl := dialClient(t, addr)
			io.WriteString(cl, test.text)
			if s := cl.readLine(); !strings.HasPrefix(s, "-ERR ") {
				t.Fatalf("response %q, want an error", s)
			}
			if test.closes {
				if _, err := cl.in.ReadByte(); !errors.Is(err, io.EOF) {
					t.Errorf("connection after the error: %v, want EOF", err)
				}
				return
			}
			io.WriteString(cl, "*2\r\n$4\r\nping\r\n$2\r\nhi\r\n")
			if s := cl.readLine() + cl.readLine(); s != "$2hi" {
				t.Errorf("next command on the connection: response %q", s)
			}
		})
	}
}

func FuzzReadCommand(f *testing.F) {
	f.Add([]byte(putCommand("m", "c=plain", []byte("b"))))
	f.Add([]byte("*1\r\n$4\r\nPING\r\n"))
	f.Add([]byte("*2\r\n$-1\r\n$"))
	cfg := &Config{classes: map[string]int{}, tenants: map[string]int{}}
	f.Fuzz(func(t *testing.T, b []byte) {
		args, err := readCommand(bufio.NewReader(strings.NewReader(string(b))), newCommandMemory(1<<20).begin(func() {}), func() {})
		if err != nil {
			return
		}
		if len(args) == 0 || len(args) > maxArguments {
			t.Fatalf("command with %d arguments", len(args))
		}
		cfg.parsePutRequest(args, time.Now())
	})
}
