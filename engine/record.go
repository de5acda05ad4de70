package engine

import (
	"encoding/binary"
	"hash/fnv"
)

// Record is one change that the store keeps. Only the types of this package are records. From its records alone a store
// can rebuild its live state at its next start: see the comment of each type.
type Record interface{ record() }

// RecAccepted says that a message was accepted.
type RecAccepted struct {
	Message  Message
	Deadline Timestamp
}

// RecAttempts says that attempts are about to be written to their endpoints. Each of the messages has one more try. From
// its first attempt on a message may have run, unless RecNeverRan withdraws exactly that attempt.
type RecAttempts struct {
	At   Timestamp
	List []RecAttempt
}

// RecAttempt is the attempt at one message in RecAttempts.
type RecAttempt struct {
	ID   string
	Zone int
}

// RecNeverRan says that the newest attempt of a message provably never ran. Doubt from an earlier attempt stays.
type RecNeverRan struct{ ID string }

// RecState replaces the tries and the doubt of a message. The engine writes it where records were lost.
type RecState struct {
	ID        string
	Tries     int
	DoubtAt   Timestamp // 0 if no attempt may have run
	DoubtZone int
	Settled   bool // the doubt is not from the newest attempt, or its outcome is known, so that RecNeverRan changes nothing
}

// RecPendingResult says that a message's end is decided and its client has yet to be notified. Its body is no longer
// needed.
type RecPendingResult struct {
	ID string
	PendingResult
	Undelivered *Undelivered `json:"-"` // for the store of undelivered messages, nil if there is none; other stores ignore it
}

// RecEnded says that a message has ended and no notification is pending. If Until is not 0, the store keeps the id at
// least until then; otherwise it forgets the message at once.
type RecEnded struct {
	ID          string
	Disposition Disposition
	Until       Timestamp
	Fingerprint uint64 // Message.Fingerprint
}

// RecClockStep says that the wall clock was stepped by By microseconds, positive if forward. By has to be added to all
// timestamps of earlier records.
type RecClockStep struct{ By int64 }

// RecLedgerLeaf replaces the ledger's leaf with this number (Settings.Ledger). The newest text counts. None is longer
// than ledger.MaxLeafBytes.
type RecLedgerLeaf struct {
	Number uint64
	Text   []byte
}

// RecNoop has no meaning: it is written to find out whether the store accepts records.
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

// Fingerprint returns a hash of the message without its id. The upper 32 bits cover class, tenant, key and destination,
// the lower 32 the body; 0 there means that the body is no longer known. Each half is a 64-bit FNV-1a over lengths and
// bytes, folded to 32 bits. It is the same in every process.
func (m *Message) Fingerprint() uint64 {
	h := fnv.New64a()
	var n [8]byte
	put := func(v int) {
		binary.LittleEndian.PutUint64(n[:], uint64(v))
		h.Write(n[:])
	}
	fold := func() uint64 { return h.Sum64()>>32 ^ h.Sum64()&bodyMask }
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

// bodyMask masks the bits of a fingerprint that cover the body.
const bodyMask = 1<<32 - 1

// sameMessage reports whether two submissions of one id are the same message, as far as both fingerprints show.
func sameMessage(a, b uint64) bool {
	return a>>32 == b>>32 && (a == b || a&bodyMask == 0 || b&bodyMask == 0)
}
