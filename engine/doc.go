// Package engine runs the life of a message as one state machine: submission, attempts, end. It owns the decision module
// (package control), the table of messages, the calls out, the list of endpoints and the ids of ended messages. It does
// no I/O, reads no clock and starts no goroutine: Handle takes an event with a time and returns effects, and NextWake
// returns when the engine wants to be called again. The same events give the same effects, byte for byte.
//
// An effect that must wait for the store names the batch of records that it waits for. So a record is stored before the
// engine acts on it, however late the store answers.
package engine
