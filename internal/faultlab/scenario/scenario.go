// Package scenario reads a scenario: the fleet, its partners, the load, and
// the schedule of faults. It promises that a scenario it gives out can be run,
// and that an error names file, line, key and what is allowed.
package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"plovershore/internal/clock"
)

// Scenario is one file. Spans are seconds.
type Scenario struct {
	Name         string       `toml:"name"`
	About        string       `toml:"about"`
	Seconds      float64      `toml:"seconds"` // of load; what is held then is waited for
	Fleet        Fleet        `toml:"fleet"`
	Upstreams    Upstreams    `toml:"partners"`
	Load         Load         `toml:"load"`
	Discovery    Discovery    `toml:"discovery"`
	Registry     Registry     `toml:"registry"`
	InvalidPeers InvalidPeers `toml:"bad_peers"`
	Scale        Scale        `toml:"scale"`
	Faults       []Fault      `toml:"fault"`
}

// Fleet is the relays, and the machine that each has.
type Fleet struct {
	Relays      int      `toml:"relays"`
	Zones       []string `toml:"zones"`
	MemoryMB    int      `toml:"memory_mb"`
	Sockets     int      `toml:"sockets"`
	DiskMB      int      `toml:"disk_mb"`
	MaxCalls    int      `toml:"slots"`    // calls out at once, of one relay
	MaxMessages int      `toml:"held"`     // messages that one relay may hold
	Resident    int      `toml:"resident"` // of these, in its memory; 0 for what it takes by itself
	MaxBatch    int      `toml:"batch"`    // messages in one call to a telco
	Durability  string   `toml:"promise"`  // what a message that was taken on outlives: process, or power
}

// Upstreams are the destinations and their endpoints.
type Upstreams struct {
	Destinations   int     `toml:"destinations"`
	Endpoints      int     `toml:"endpoints"`
	Telcos         float64 `toml:"telcos"` // share of destinations
	CapacityFactor float64 `toml:"room"`   // limit over mean load, of each destination
	Limits         bool    `toml:"limits"`
	CountsRejected bool    `toml:"refused_calls_spend"`
	DelayMS        float64 `toml:"delay_ms"`  // one way, to an endpoint of the same zone
	CrossMS        float64 `toml:"cross_ms"`  // the same to another zone
	JitterMS       float64 `toml:"jitter_ms"` // up to so much more
	ConnsFactor    float64 `toml:"conns"`     // connections that an endpoint holds, over the calls it serves at once
}

// Load is the clients' traffic.
type Load struct {
	Rate           float64 `toml:"rate"` // messages a second, over all relays
	Retries        int     `toml:"retries"`
	LeaverFraction float64 `toml:"leavers"`
	BurstFraction  float64 `toml:"clumps"`
}

// Discovery is discovery.
type Discovery struct {
	MaxDelaySeconds float64 `toml:"late"` // news reaches each relay up to so much later
}

// Registry is a list service of real processes in discovery's place.
type Registry struct {
	Nodes         int     `toml:"nodes"` // 0 for none: discovery is the lab's own
	TTL           float64 `toml:"ttl"`   // of the endpoints' registrations
	Controllers   int     `toml:"wardens"`
	ControllerTTL float64 `toml:"warden_ttl"` // of their sessions

	// How the clock of each warden and node runs wrong, by turns (package clock).
	ControllerClocks []string `toml:"warden_clocks"`
	NodeClocks       []string `toml:"node_clocks"`
}

// InvalidPeers are the peers that send no proper request.
type InvalidPeers struct {
	Every float64  `toml:"every"` // one each so many seconds; 0 for none
	Kinds []string `toml:"kinds"`
}

// Fault is one entry of the schedule.
type Fault struct {
	Kind         string   `toml:"kind"`
	At           float64  `toml:"at"`
	For          float64  `toml:"for"`    // until it is undone
	Every        float64  `toml:"every"`  // again each so many seconds, until the load ends
	Fraction     float64  `toml:"share"`  // of what could be struck, drawn anew each time; at least one
	Zone         string   `toml:"zone"`   // strike only there
	Relays       []int    `toml:"relays"` // strike these, by number, in place of a draw
	Destinations []int    `toml:"cells"`  // the same of destinations
	Spread       float64  `toml:"spread"` // strike within so many seconds, not all at once
	Direction    string   `toml:"way"`    // cut, delay: "forth", "back" or "both"; clock: which way it is stepped, drawn for "both"
	Folder       string   `toml:"folder"` // kill, term: what the next process finds
	File         string   `toml:"file"`   // damage: in the relay's folder
	MS           float64  `toml:"ms"`     // delay; clock: by how much
	Factor       float64  `toml:"factor"` // slow, limits; evacuate: share that each destination keeps, 0.5 where it is left out
	Rate         float64  `toml:"rate"`   // turnaway, throttle; evacuate: endpoints a second, 2 where it is left out
	Kinds        []string `toml:"kinds"`  // partners of these kinds alone
	Node         string   `toml:"node"`   // node-*: leader, follower or all, in place of a draw
	Role         string   `toml:"duty"`   // warden-*: whose holder is struck; count where it is left out
}

// Kinds of fault, and whom each strikes.
var Kinds = map[string]string{
	"kill": "relay", "term": "relay", "pause": "relay", "hup": "relay",
	"flip": "relay", "tear": "relay", "zero": "relay", "gone": "relay", "upgrade": "relay",
	"cut": "link", "delay": "link", "throttle": "link", "reset": "link", "halfopen": "link",
	"down": "endpoint", "silent": "endpoint", "slow": "partner", "fail": "partner", "shut": "partner",
	"lose": "partner", "spoil": "partner", "break": "partner", "limits": "partner",
	"drain":    "endpoint",
	"turnaway": "discovery", "quiet": "discovery",
	"node-kill": "node", "node-pause": "node", "node-cut": "node", "lapse": "registration", "restore": "group",
	"warden-kill": "warden", "warden-pause": "warden", "warden-cut": "warden", "rollout": "fleet",
	"salvage": "relay", "evacuate": "zone", "clock": "relay",
}

// Bounds of ms, in milliseconds.
const (
	delayMost = 60000
	stepMost  = 3 * 3600 * 1000 // of a wall clock
)

// Corruptions are the kinds that spoil a file while its relay is down.
var Corruptions = map[string]bool{"flip": true, "tear": true, "zero": true, "gone": true}

// Folders are what a relay's next process may find.
var Folders = []string{"kept", "lost", "older"}

// Nodes are whom a fault on the list service may strike by name.
var Nodes = []string{"leader", "follower", "all", "holder"}

// Directions of a link.
var Directions = []string{"forth", "back", "both"}

// Default is the newcomer's fleet: 3 relays, 9 endpoints of 5 destinations in 3
// zones, about 60 messages a second.
func Default() Scenario {
	return Scenario{Name: "up", About: "the newcomer's fleet", Seconds: 25,
		Fleet: Fleet{Relays: 3, Zones: []string{"a", "b", "c"}, MemoryMB: 128, Sockets: 512, DiskMB: 8, MaxCalls: 25, MaxMessages: 340, MaxBatch: 5},
		Upstreams: Upstreams{Destinations: 5, Endpoints: 9, Telcos: 0.34, CapacityFactor: 1.8, Limits: true, DelayMS: 2, CrossMS: 4, JitterMS: 1,
			ConnsFactor: 4},
		Load:         Load{Rate: 60, Retries: 2, BurstFraction: 0.1},
		Discovery:    Discovery{MaxDelaySeconds: 1},
		Registry:     Registry{TTL: 3, ControllerTTL: 1.5},
		InvalidPeers: InvalidPeers{Kinds: []string{"garbage", "silent", "half", "unknown"}},
		Scale:        scaleDefaults()}
}

// Error is a scenario that cannot be used.
type Error struct {
	File string
	Line int // 0 where no line is at fault
	Key  string
	Text string
}

func (e *Error) Error() string {
	at := e.File
	if e.Line > 0 {
		at = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key != "" {
		return fmt.Sprintf("%s: %s: %s", at, e.Key, e.Text)
	}
	return at + ": " + e.Text
}

// Load reads and checks a file. What it leaves out is as in Default.
func LoadFile(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{File: path, Text: errors.Unwrap(err).Error()}
	}
	return Parse(path, text)
}

// Parse reads and checks the text of a file.
func Parse(path string, doc []byte) (*Scenario, error) {
	s := Default()
	s.Name, s.About = strings.TrimSuffix(filepath.Base(path), ".toml"), ""
	dec := toml.NewDecoder(bytes.NewReader(doc))
	dec.DisallowUnknownFields()
	if err := decode(dec, &s); err != nil {
		return nil, decodeError(path, doc, err)
	}
	if key, text := s.check(); key != "" {
		return nil, &Error{path, lineOf(doc, key), key, text}
	}
	return &s, nil
}

// decode is Decode without its panics: go-toml 2.2.4 panics on a number such as +A0.
func decode(dec *toml.Decoder, s *Scenario) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("cannot be read as TOML: %v", p)
		}
	}()
	return dec.Decode(s)
}

func decodeError(path string, doc []byte, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		e := strict.Errors[0]
		row, _ := e.Position()
		return &Error{path, row, strings.Join(e.Key(), "."), "unknown key; allowed here: " + strings.Join(allowed(e.Key()), ", ")}
	}
	var d *toml.DecodeError
	if errors.As(err, &d) {
		row, _ := d.Position()
		return &Error{path, row, keyAt(doc, row), strings.TrimPrefix(d.Error(), "toml: ")}
	}
	return &Error{File: path, Text: err.Error()}
}

// allowed names the keys of the table in which a key stands.
func allowed(key []string) []string {
	t := reflect.TypeFor[Scenario]()
	for _, k := range key[:max(0, len(key)-1)] {
		for i := range t.NumField() {
			f := t.Field(i)
			if f.Tag.Get("toml") != k {
				continue
			}
			if t = f.Type; t.Kind() == reflect.Slice {
				t = t.Elem()
			}
			break
		}
		if t.Kind() != reflect.Struct {
			return nil
		}
	}
	var names []string
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("toml"))
	}
	return names
}

// walk gives each table and key of a document, such as load.rate or
// fault[1].kind, with its line, until f returns false.
func walk(doc []byte, f func(key string, line int, table bool) bool) {
	var p unstable.Parser
	p.Reset(doc)
	table, count := "", map[string]int{}
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for it := e.Key(); it.Next(); {
			n := it.Node()
			parts = append(parts, string(n.Data))
			line = p.Shape(n.Raw).Start.Line
		}
		name := strings.Join(parts, ".")
		switch {
		case e.Kind == unstable.ArrayTable:
			count[name]++
			table = fmt.Sprintf("%s[%d]", name, count[name]-1)
			name = table
		case e.Kind == unstable.Table:
			table = name
		case e.Kind == unstable.KeyValue && table != "":
			name = table + "." + name
		}
		if !f(name, line, e.Kind != unstable.KeyValue) {
			return
		}
	}
}

// lineOf finds the line of a key; where the file leaves it out, that of its
// table; else 0.
func lineOf(doc []byte, key string) (at int) {
	walk(doc, func(name string, line int, table bool) bool {
		if name == key || table && strings.HasPrefix(key, name+".") {
			at = line
		}
		return name != key
	})
	return at
}

// keyAt finds the key that stands in a line.
func keyAt(doc []byte, line int) (key string) {
	walk(doc, func(name string, at int, table bool) bool {
		if at == line && !table {
			key = name
		}
		return at <= line
	})
	return key
}

// check tells the first key that cannot be, and what is allowed.
func (s *Scenario) check() (key, text string) {
	type bound struct {
		key      string
		v        float64
		low, top float64
	}
	f, p, l := &s.Fleet, &s.Upstreams, &s.Load
	for _, b := range []bound{
		{"seconds", s.Seconds, 1, 7200}, {"fleet.relays", float64(f.Relays), 1, 64},
		{"fleet.memory_mb", float64(f.MemoryMB), 32, 4096}, {"fleet.sockets", float64(f.Sockets), 256, 65536},
		{"fleet.disk_mb", float64(f.DiskMB), 1, 4096}, {"fleet.slots", float64(f.MaxCalls), 2, 1000},
		{"fleet.held", float64(f.MaxMessages), 12, 1e6}, {"fleet.resident", float64(f.Resident), 0, 1e6}, {"fleet.batch", float64(f.MaxBatch), 1, 64},
		{"partners.destinations", float64(p.Destinations), 1, 200}, {"partners.endpoints", float64(p.Endpoints), float64(p.Destinations), 400},
		{"partners.telcos", p.Telcos, 0, 1}, {"partners.room", p.CapacityFactor, 0.1, 100}, {"partners.delay_ms", p.DelayMS, 0, 2000},
		{"partners.cross_ms", p.CrossMS, 0, 2000}, {"partners.jitter_ms", p.JitterMS, 0, 2000}, {"partners.conns", p.ConnsFactor, 1, 1000},
		{"load.rate", l.Rate, 0.1, 100000}, {"load.retries", float64(l.Retries), 0, 10}, {"load.leavers", l.LeaverFraction, 0, 1},
		{"load.clumps", l.BurstFraction, 0, 0.9}, {"discovery.late", s.Discovery.MaxDelaySeconds, 0, 60}, {"bad_peers.every", s.InvalidPeers.Every, 0, 3600},
	} {
		if !(b.v >= b.low && b.v <= b.top) {
			return b.key, fmt.Sprintf("%v; from %v to %v is allowed", b.v, b.low, b.top)
		}
	}
	if n := s.Registry.Nodes; n != 0 && n != 1 && n != 3 && n != 5 {
		return "registry.nodes", fmt.Sprintf("%d; 0, 1, 3 and 5 are allowed", n)
	}
	if !(s.Registry.TTL >= 0.5 && s.Registry.TTL <= 3600) {
		return "registry.ttl", fmt.Sprintf("%v; from 0.5 to 3600 is allowed", s.Registry.TTL)
	}
	if w := s.Registry.Controllers; w < 0 || w > 16 || w > 0 && s.Registry.Nodes == 0 {
		return "registry.wardens", fmt.Sprintf("%d; from 0 to 16 is allowed, and a list service is wanted", w)
	}
	if !(s.Registry.ControllerTTL >= 0.3 && s.Registry.ControllerTTL <= 60) {
		return "registry.warden_ttl", fmt.Sprintf("%v; from 0.3 to 60 is allowed", s.Registry.ControllerTTL)
	}
	for key, all := range map[string][]string{"registry.node_clocks": s.Registry.NodeClocks, "registry.warden_clocks": s.Registry.ControllerClocks} {
		for _, drill := range all {
			if _, err := clock.Parse(drill); err != nil {
				return key, strings.TrimPrefix(err.Error(), "clock: ")
			}
		}
	}
	if f.Durability != "" && f.Durability != "process" && f.Durability != "power" {
		return "fleet.promise", fmt.Sprintf("%q; process and power are allowed", f.Durability)
	}
	if len(f.Zones) == 0 {
		return "fleet.zones", "none; at least one is wanted"
	}
	if key, text := s.checkScale(); key != "" {
		return key, text
	}
	for i := range s.Faults {
		if key, text := s.checkFault(&s.Faults[i]); key != "" {
			return fmt.Sprintf("fault[%d].%s", i, key), text
		}
	}
	return "", ""
}

func checkChoice(v string, of []string) string {
	if v == "" || slices.Contains(of, v) {
		return ""
	}
	return fmt.Sprintf("%q; allowed: %s", v, strings.Join(of, ", "))
}

func (f *Fault) mostMS() float64 {
	if f.Kind == "clock" {
		return stepMost
	}
	return delayMost
}

func (s *Scenario) checkFault(f *Fault) (key, text string) {
	target, ok := Kinds[f.Kind]
	if !ok {
		var names []string
		for k := range Kinds {
			names = append(names, k)
		}
		slices.Sort(names)
		return "kind", fmt.Sprintf("%q; allowed: %s", f.Kind, strings.Join(names, ", "))
	}
	for _, c := range []struct {
		key, v string
		of     []string
	}{{"zone", f.Zone, s.Fleet.Zones}, {"way", f.Direction, Directions}, {"folder", f.Folder, Folders}, {"node", f.Node, Nodes}} {
		if text := checkChoice(c.v, c.of); text != "" {
			return c.key, text
		}
	}
	for _, c := range []struct {
		key string
		v   float64
		top float64
	}{{"at", f.At, s.Seconds}, {"for", f.For, 3600}, {"every", f.Every, 3600}, {"share", f.Fraction, 1}, {"spread", f.Spread, 3600},
		{"ms", f.MS, f.mostMS()}, {"factor", f.Factor, 1000}, {"rate", f.Rate, 1e9}} {
		if !(c.v >= 0 && c.v <= c.top) {
			return c.key, fmt.Sprintf("%v; from 0 to %v is allowed", c.v, c.top)
		}
	}
	if f.Every > 0 && f.For+f.Spread >= f.Every && f.Kind != "kill" && f.Kind != "term" {
		return "every", fmt.Sprintf("%v; it has to be more than for and spread together", f.Every)
	}
	for _, n := range f.Relays {
		if target != "relay" && target != "link" && target != "discovery" {
			return "relays", "a fault of kind " + f.Kind + " strikes no relay"
		}
		if n < 0 || n >= s.Fleet.Relays {
			return "relays", fmt.Sprintf("%d; from 0 to %d is allowed", n, s.Fleet.Relays-1)
		}
	}
	for _, n := range f.Destinations {
		if n < 0 || n >= s.Upstreams.Destinations {
			return "cells", fmt.Sprintf("%d; from 0 to %d is allowed", n, s.Upstreams.Destinations-1)
		}
	}
	if (target == "warden" || target == "fleet" || target == "zone" || f.Kind == "salvage") && s.Registry.Controllers == 0 {
		return "kind", f.Kind + " wants wardens: registry.wardens is 0"
	}
	if target == "zone" && f.Zone == "" {
		return "zone", "none; evacuate wants one"
	}
	if f.Node == "holder" && target != "warden" {
		return "node", "holder is of warden-* alone"
	}
	if (target == "node" || target == "registration" || target == "group") && s.Registry.Nodes == 0 {
		return "kind", f.Kind + " wants a list service: registry.nodes is 0"
	}
	if Corruptions[f.Kind] && (f.File == "" || f.File != filepath.Base(f.File)) {
		return "file", fmt.Sprintf("%q; the name of a file in the relay's folder is wanted", f.File)
	}
	return "", ""
}

// RoundRobin gives an entry of a list that is gone through by turns; nothing of none.
func RoundRobin(all []string, i int) string {
	if len(all) == 0 {
		return ""
	}
	return all[i%len(all)]
}

// Seconds is a span given in seconds.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ParseWith is Parse of a file with one key, such as load.rate or fault.0.share, set
// to another value.
func ParseWith(path string, doc []byte, key, value string) (*Scenario, error) {
	var all map[string]any
	if err := toml.Unmarshal(doc, &all); err != nil {
		return nil, decodeError(path, doc, err)
	}
	var v struct{ X any }
	if toml.Unmarshal([]byte("X = "+value), &v) != nil {
		v.X = value // a bare word stands for itself
	}
	var at any = all
	parts := strings.Split(key, ".")
	for i, p := range parts {
		last := i == len(parts)-1
		switch in := at.(type) {
		case map[string]any:
			if last {
				in[p] = v.X
			} else if in[p] == nil {
				in[p] = map[string]any{}
			}
			at = in[p]
		case []any:
			n, err := strconv.Atoi(p)
			if err != nil || n < 0 || n >= len(in) || last {
				return nil, &Error{File: path, Key: key, Text: fmt.Sprintf("%q: a number from 0 to %d, and a key of it, are wanted", p, len(in)-1)}
			}
			at = in[n]
		default:
			return nil, &Error{File: path, Key: key, Text: fmt.Sprintf("%q is not in a table", p)}
		}
	}
	text, err := toml.Marshal(all)
	if err != nil {
		return nil, &Error{File: path, Key: key, Text: err.Error()}
	}
	return Parse(path, text)
}
