// Package leader implements leader election with leases and fencing tokens on top of
// the list service: for each role, at most one process of the fleet does the role's
// work.
//
// A candidate opens a session at the list service, renews it with heartbeats and
// acquires roles that have no holder. Each grant of a role has a fencing token that
// is greater than the tokens of all earlier grants. The work of a role runs only
// while the candidate's lease is valid by its own clock. Safety does not depend on
// clocks, only on the tokens: every effect of the work carries the grant's token, and
// the receiver of an effect rejects a token that is older than one it has seen. The
// list service checks the tokens of writes (Grant.Do, Grant.Save), and Fence checks
// them for a folder.
//
// Sources: Burrows, "The Chubby lock service" (2006), for sequencers and sessions;
// Gray and Cheriton, "Leases" (1989), for counting a lease from the time before the
// request that renews it.
package leader
