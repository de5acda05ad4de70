// Package judge holds what dispatchers did against the rules, from outside: it is told what crossed the sockets, what
// discovery wrote to them and what the world did to partners and processes, and believes nothing that a dispatcher says.
// It does no I/O, reads no clock and starts no goroutine; the same history gives the same violations.
//
// A rig tells events in the order of their times. Those at a dispatcher's own sockets count where it sees them: a Call
// when its last byte was taken by the dispatcher's kernel, an answer as heard when it has come to that kernel. Where a
// rig sees the far end alone and the way there takes no time worth speaking of, it leaves Later unset, and the one event
// counts for both ends.
//
// A judge keeps all messages and calls that it was told of, about 1 KB for each.
package judge
