// Package routing chooses the backend server of a call. It has no sockets, no
// goroutines, no clock and no global random source: the present time and the random
// source are arguments.
//
// A Router is not safe for concurrent use; its owner guards it with one lock. A
// decision takes microseconds, so the lock is held briefly.
//
// The memory of a Router is bounded. BenchmarkMemory measures the largest parts on a
// 64-bit machine: about 180 bytes for a prompt block, 165 bytes for a shared prefix (the
// leading blocks that many prompts have in common), 250 bytes for a server, and 160 bytes
// plus its id for a request in flight. With the defaults and 920 servers that is
// about 12 MB for 65,536 blocks and under 1 MB for everything else.
package routing
