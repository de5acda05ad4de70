package engine

import (
	"encoding/binary"
	"hash/fnv"
)

// Record is one line of a message's account in the store. Only the types of this package are records. A store needs no
// more than them to tell at its next start what is live: see the comment of each.
type Record interface{ record() }

// RecAccepted begins a message's life.
type RecAccepted struct {
	Message  Message
	Deadline Timestamp
}

// RecAttempts says that attempts are about to be written to their endpoints: each message has one more try, and from its
// first attempt on it may have run, until RecNeverRan says otherwise of just that attempt.
type RecAttempts struct {
	At   Timestamp
	List []RecAttempt
}

// RecAttempt is one message's part in RecAttempts.
type RecAttempt struct {
	ID   string
	Zone int
}

// RecNeverRan says that the newest attempt of a message provably never ran. Doubt that an earlier attempt left stays.
type RecNeverRan struct{ ID string }

// RecState replaces what a message has behind it: tries and doubt. The engine writes it where records were lost.
type RecState struct {
	ID        string
	Tries     int
	DoubtAt   Timestamp // 0: no attempt may have run
	DoubtZone int
	Settled   bool // the doubt is not of the newest attempt, or that one's outcome is known: RecNeverRan changes nothing
}

// RecPendingResult says that a message's end is decided and still to be told. Its body is of no more use.
type RecPendingResult struct {
	ID string
	PendingResult
	Undelivered *Undelivered `json:"-"` // for a keeper of undelivered messages, nil without one; no store needs it
}

// RecEnded says that nothing more is owed for a message. What is left of it is its id, until the stamp, where Until is
// not 0: from then on the store may forget it.
type RecEnded struct {
	ID          string
	Disposition Disposition
	Until       Timestamp
	Fingerprint uint64 // Message.Print
}

// RecClockStep says that the wall clock was stepped by so much (microseconds, forward is more): all stamps of earlier
// records are to be read with that added.
type RecClockStep struct{ By int64 }

// RecLedgerLeaf replaces what the store has under a number, of the books (Settings.Ledger): the newest text counts, and none is
// longer than ledger.LeafMost.
type RecLedgerLeaf struct {
	Number uint64
	Text   []byte
}

// RecNoop says nothing: it is written to see whether the store takes records.
type RecNoop struct{}

func (*RecAccepted) record()      {}
func (*RecAttempts) record()      {}
func (*RecNeverRan) record()      {}
func (*RecState) record()         {}
func (*RecPendingResult) record() {}
func (*RecEnded) record()         {}
func (*RecClockStep) record()     {}
func (*RecNoop) record()          {}
func (*RecLedgerLeaf) record()    {}

// Fingerprint is a fingerprint of all but the id: in the upper 32 bits of all but the body, too, in the lower of the body, where
// 0 stands for one that is not known any more. Each is FNV-1a, 64 bits, over lengths and bytes, folded. It is the same in
// every process.
func (m *Message) Fingerprint() uint64 {
	h := fnv.New64a()
	var n [8]byte
	put := func(v int) {
		binary.LittleEndian.PutUint64(n[:], uint64(v))
		h.Write(n[:])
	}
	fold := func() uint64 { return h.Sum64()>>32 ^ h.Sum64()&bodyPrint }
	for _, s := range []string{m.Class, m.Tenant, m.Key} {
		put(len(s))
		h.Write([]byte(s))
	}
	put(m.Destination)
	head := fold()
	h.Reset()
	put(len(m.Body))
	h.Write(m.Body)
	return head<<32 | max(fold(), 1)
}

// bodyPrint are the bits of a print that are of the body.
const bodyPrint = 1<<32 - 1

// sameMessage tells whether two hand-ins of one id are one message, as far as that is known of both.
func sameMessage(a, b uint64) bool {
	return a>>32 == b>>32 && (a == b || a&bodyPrint == 0 || b&bodyPrint == 0)
}
