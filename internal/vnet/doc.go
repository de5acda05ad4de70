// Package vnet is a simulated world: a clock in microseconds, machines that implement host.Host, and a network between
// them, whose faults are calls of methods. Exactly one goroutine of a world runs at any time, and which comes next is
// drawn from the world's seed, so that a run is the same again from its seed on any number of processors, with the race
// detector or without it.
//
// A World belongs to the goroutine that calls Run. What it calls (scripts, callbacks of stand-ins, hooks) and the
// goroutines that processes start by Go run one at a time in its place; no other goroutine may use anything of the
// world. Several worlds may run side by side.
//
// Code in it takes no time: the clock moves only once nothing is left to do at an instant. It waits at connections,
// listeners, dials and inboxes alone; a goroutine that waits anywhere else (a channel, a mutex that another one keeps
// while it waits) stops the whole world, which the watchdog then says.
package vnet
