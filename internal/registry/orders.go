package registry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// Order is what operators want done by a duty, and how far it has come. Only the
// holder of the duty that its kind names may tell of its progress.
type Order struct {
	Kind     string          `json:"kind"`
	Name     string          `json:"name"`
	Spec     json.RawMessage `json:"spec,omitempty"` // as it was given; it does not change
	Wish     string          `json:"wish"`           // run, pause or abort
	Progress json.RawMessage `json:"progress,omitempty"`
	Says     string          `json:"says,omitempty"` // for people
	Done     bool            `json:"done"`
	At       int64           `json:"at"` // of the last change, Unix ms
}

// Wishes of an order.
const (
	WishRun   = "run"
	WishPause = "pause"
	WishAbort = "abort"
)

// OrdersPath is where orders are given and followed: /KIND/NAME, and /progress
// below that for the duty's holder.
const OrdersPath = "/v1/orders"

const ordersMost = 1000

// order takes an order of the operators, or a new wish of one that is known.
func (s *State) order(c *Command) Answer {
	key := c.Order.Kind + "/" + c.Order.Name
	o, known := s.Orders[key]
	switch {
	case !known && len(s.Orders) >= ordersMost:
		return Answer{Status: http.StatusConflict, Error: fmt.Sprintf("orders: %d at most", ordersMost)}
	case !known && len(c.Order.Spec) == 0:
		return Answer{Status: http.StatusNotFound, Error: fmt.Sprintf("order %s is unknown", key)}
	case known && len(c.Order.Spec) > 0 && string(c.Order.Spec) != string(o.Spec):
		return Answer{Status: http.StatusConflict, Error: fmt.Sprintf("order %s is another", key)}
	case !known:
		o = c.Order
	}
	o.Wish, o.At = c.Order.Wish, c.At
	s.Orders[key] = o
	return Answer{Status: http.StatusOK}
}

// progress takes word of an order from the holder of its duty, whose fence was
// checked before.
func (s *State) progress(c *Command) Answer {
	key := c.Order.Kind + "/" + c.Order.Name
	o, known := s.Orders[key]
	switch {
	case c.Duty != c.Order.Kind:
		return Answer{Status: http.StatusPreconditionFailed, Error: fmt.Sprintf("order %s: no duty of its kind told", key)}
	case !known:
		return Answer{Status: http.StatusNotFound, Error: fmt.Sprintf("order %s is unknown", key)}
	}
	o.Progress, o.Says, o.Done, o.At = c.Order.Progress, c.Order.Says, c.Order.Done, c.At
	s.Orders[key] = o
	return Answer{Status: http.StatusOK}
}

func (s *store) orders() []Order {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := []Order{}
	for _, o := range s.state.Orders {
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b Order) int { return strings.Compare(a.Kind+"/"+a.Name, b.Kind+"/"+b.Name) })
	return all
}

func (n *Node) orderRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET "+OrdersPath, func(w http.ResponseWriter, _ *http.Request) {
		epoch, revision, _ := n.store.position()
		n.mark(w, epoch, revision)
		say(w, http.StatusOK, n.store.orders())
	})
	mux.HandleFunc("PUT "+OrdersPath+"/{kind}/{name}", n.leaderOnly(func(w http.ResponseWriter, r *http.Request) { n.putOrder(w, r, OpOrder) }))
	mux.HandleFunc("POST "+OrdersPath+"/{kind}/{name}/progress", n.leaderOnly(func(w http.ResponseWriter, r *http.Request) { n.putOrder(w, r, OpProgress) }))
}

func (n *Node) putOrder(w http.ResponseWriter, r *http.Request, op Op) {
	var o Order
	if !read(w, r, &o) {
		return
	}
	o.Kind, o.Name = r.PathValue("kind"), r.PathValue("name")
	switch {
	case len(o.Kind)+len(o.Name) > idMost:
		refuse(w, http.StatusBadRequest, "kind, name: %d bytes at most", idMost)
	case op == OpOrder && o.Wish != WishRun && o.Wish != WishPause && o.Wish != WishAbort:
		refuse(w, http.StatusBadRequest, "wish: %q; %s, %s and %s are allowed", o.Wish, WishRun, WishPause, WishAbort)
	default:
		n.settle(w, r, Command{Op: op, Order: o})
	}
}
