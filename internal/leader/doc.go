// Package leader is leader election with leases and fencing tokens over the list
// service: for each role at most one process of the fleet does the role's work.
//
// A candidate opens a session at the list service, renews it with heartbeats and
// acquires roles that have no holder. Each grant has a fencing token that is
// greater than that of every grant before it. The work of a role runs only while
// the candidate's lease is valid by its own clock; safety, however, rests on the
// tokens alone: every effect carries the grant's token, and whatever takes the
// effect rejects a token older than one it has seen. The list service does so for
// writes (Grant.Do, Grant.Save), Fence does so for a folder.
//
// Sources: Burrows, "The Chubby lock service" (2006), for sequencers and sessions;
// Gray and Cheriton, "Leases" (1989), for counting a lease from before the request
// that renews it.
package leader
