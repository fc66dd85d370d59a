// Package routing chooses the backend server of a call. It has no sockets, no
// goroutines, no clock and no global random source: the present time and the random
// source are arguments.
//
// A Router is not safe for concurrent use; its owner guards it with one lock. A
// decision takes microseconds, so the lock is held briefly.
//
// The memory of a Router is bounded. The largest parts, measured on a 64-bit
// machine by BenchmarkMemory: a prompt block takes about 180 bytes, a head (the
// shared first blocks of many prompts) about 165 bytes, a server about 250 bytes
// and a request in flight about 160 bytes plus its id. With the defaults and 920 servers that is
// about 12 MB for 65,536 blocks and under 1 MB for everything else.
package routing
