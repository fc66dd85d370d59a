// Package ledger implements the state machine of one shard of the at-most-once
// record. It has no sockets, goroutines, clock or global random source: an adapter
// calls Shard.Step with events and performs the returned actions.
//
// A record is an order, which is never dispatched twice, or a draft, which stores
// its request and may run again. Both are committed by a compare-and-swap of the
// shard's tail before they are dispatched. A takeover is a write of the tail with the
// next fencing number, so an earlier holder cannot commit any more, however long
// it was paused. Clocks pace writes and takeovers and end the retention of keys;
// no other decision depends on them.
//
// # Failure of the holder
//
// The holder may fail at any point of a submission. Sending the same key again is
// always safe. The result depends on when the holder failed:
//
//   - Before the commit took effect: no trace; the key counts as new and runs.
//   - After the commit, before the dispatch: an order is answered OutcomeUnknown,
//     although it did not run, because the successor cannot find that out. A draft
//     runs at the successor.
//   - After the dispatch, before the outcome is committed: an order is answered
//     with the outcome when the service offers a look-up and it finds one, else
//     OutcomeUnknown. The first caller may already have its response. A draft
//     runs again at the successor.
//   - After the outcome is committed: the stored response.
//
// An order that its service does not find stays OutcomeUnknown: an earlier holder
// that is paused between commit and dispatch may still send it.
//
// The answer NotRun means that the submission was not dispatched and never will be.
// From the holder named in the stored tail it also means that no earlier submission
// of the key has run. From a daemon that is not the holder, or cannot check because
// the key-value service is away, it applies only to this submission: a caller that
// lost an earlier answer sends the key again until it gets another answer.
//
// # Responses
//
// The response of an order is answered as soon as it arrives and is committed
// with the next group. The response of a draft is answered after it is committed,
// so that a second run cannot change a response that was already given.
package ledger
