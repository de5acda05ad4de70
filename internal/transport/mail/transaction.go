package mailtransport

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"

	"curlewmux/control"
	"curlewmux/engine"
	"curlewmux/internal/mail"
)

const (
	rcptsMost = 100      // recipients of one transaction: RFC 5321 has every server take so many (4.5.3.1.8)
	blockSize = 32 << 10 // bytes of a mail that are written at once
	chunkFrom = 64 << 10 // bytes of a mail from which on BDAT spares work (no looking for dots on either side)
)

// transaction is one mail on its way to one or more recipients.
type transaction struct {
	k         *call
	c         *conn
	items     []int // in the order of their RCPT
	sender    string
	content   []byte // with the trace field ahead
	chunked   bool   // it goes by BDAT
	committed bool   // the last byte of the mail may have been written
}

// deliver carries out one transaction for items that share one, and tells whether the connection may carry another one of
// this call.
func (k *call) deliver(c *conn) bool {
	if c.mails > 0 {
		if !k.sweep() {
			k.t.put(c)
			return false
		}
		if !c.clean() { // more replies than there were recipients, or its end: what comes can't be told from a reply
			c.raw.Close()
			k.anew = true
			return false
		}
	}
	x := k.transaction(c)
	if len(x.items) == 0 { // none of them can go to this server
		k.tell()
		if k.open == 0 {
			k.t.put(c)
			return false
		}
		return true
	}
	if !k.t.mayCommit(k) {
		k.end(engine.Outcome{Result: control.Moot})
		k.t.put(c)
		return false
	}
	reused := c.mails > 0
	c.mails++
	began, err := x.run()
	k.tell()
	switch {
	case err == nil && c.spent():
		c.quit()
		return false
	case err == nil && k.open > 0:
		if k.permitted() {
			return true
		}
		k.t.put(c)
		return false
	case err == nil:
		k.abort.On(nil)
		if k.abort.Done() {
			c.raw.Close()
		} else {
			k.t.put(c)
		}
		return false
	}
	c.raw.Close()
	if reused && !began && gone(err) && !k.abort.Done() { // it had ended before: nothing of this was read
		k.anew = true
		return false
	}
	k.lost(x.items, x.committed, err)
	switch { // what is left of the call has not been written
	case errors.Is(err, errNobody): // it says nothing about the others
	case x.committed: // the endpoint may be ill; the module has learned what there is to learn
		k.end(engine.Outcome{Result: control.Moot})
	case errors.Is(err, errClosing) && !k.abort.Done():
		k.end(engine.Outcome{Result: control.Refused, RetryAfter: k.t.set.Partners[k.Kind].BusyWait})
	case k.abort.Done():
		k.end(engine.Outcome{Result: control.Moot})
	default:
		k.end(engine.Outcome{Result: control.ConnectFailed})
	}
	return false
}

// spent tells that a connection may carry no more mails.
func (c *conn) spent() bool {
	if c.over {
		return true
	}
	most := c.t.set.Partners[c.kind].PerConnection
	if most <= 0 {
		most = defaultPerConnection
	}
	if c.ext.mails > 0 {
		most = min(most, c.ext.mails)
	}
	return c.mails >= most
}

// transaction gathers the first item that can go to the server, and those with the same sender and content: as many
// recipients as one transaction may have, none of them twice. Items that this server can't take unchanged end.
func (k *call) transaction(c *conn) *transaction {
	x := &transaction{k: k, c: c}
	most := rcptsMost
	if c.ext.rcpts > 0 {
		most = min(most, c.ext.rcpts)
	}
	var content []byte
	names := map[string]bool{}
	for i, l := range k.left {
		if !l || len(x.items) == most {
			continue
		}
		e := &k.mails[i]
		sender, why := k.sender(i, &c.ext)
		if why != "" {
			k.never(i, why)
			continue
		}
		if len(x.items) == 0 {
			x.sender, content = sender, e.Content
			x.chunked = c.ext.chunking && (!k.kinds[i].Whole() || len(content) >= chunkFrom)
		}
		name := mail.Canonical(e.To.Addr)
		if sender != x.sender || names[name] || !bytes.Equal(e.Content, content) {
			continue
		}
		names[name] = true
		x.items = append(x.items, i)
	}
	if len(x.items) > 0 {
		x.content = append(k.trace(k.Items[x.items[0]].ID), content...)
	}
	return x
}

// trace is the field that this hop adds (RFC 5321, 4.4). It is made as the mail goes on and not as it came, so that a
// mail that is sent here twice is the same both times; when it came stands in the front's log under this id.
func (k *call) trace(id string) []byte {
	return fmt.Appendf(nil, "Received: by %s (curlewmux) id %s; %s\r\n",
		k.t.set.Name, mail.TraceID(id), k.t.host.Wall().UTC().Format("Mon, 02 Jan 2006 15:04:05 +0000"))
}

// sender is the MAIL command for an item at a server, or why the server can't take it unchanged.
func (k *call) sender(i int, x *extensions) (line, why string) {
	e, need := &k.mails[i], &k.kinds[i]
	size := int64(len(e.Content) + len(k.trace(k.Items[i].ID)))
	utf8 := need.EightHead || !mail.ASCII(e.From.Addr) || !mail.ASCII(e.To.Addr)
	switch {
	case x.size > 0 && size > x.size:
		return "", fmt.Sprintf("SIZE: the mail has %d bytes, the server takes %d", size, x.size)
	case utf8 && !x.utf8:
		return "", "SMTPUTF8: the mail needs it, and the server does not offer it"
	case need.EightBit && !x.eightBit:
		return "", "8BITMIME: the content needs it, and the server does not offer it"
	case !need.Whole() && !x.chunking:
		return "", "CHUNKING: the content does not end with a line end, and the server does not offer it"
	}
	line = "MAIL FROM:<" + e.From.Addr + ">"
	if x.size > 0 {
		line += " SIZE=" + strconv.FormatInt(size, 10)
	}
	if need.EightBit {
		line += " BODY=8BITMIME"
	}
	if utf8 {
		line += " SMTPUTF8"
	}
	for _, p := range e.From.Params {
		switch p.Name {
		case "SIZE", "AUTH", "SMTPUTF8": // of the hop before, or told by the mail itself
		case "BODY":
			if p.Value != "7BIT" && p.Value != "8BITMIME" {
				return "", "MAIL: parameter BODY=" + p.Value + " is not supported"
			}
		case "RET", "ENVID":
			if x.dsn {
				line += " " + p.Name + "=" + p.Value
			}
		default:
			return "", "MAIL: parameter " + p.Name + " is not supported"
		}
	}
	for _, p := range e.To.Params {
		if p.Name != "NOTIFY" && p.Name != "ORCPT" {
			return "", "RCPT: parameter " + p.Name + " is not supported"
		}
	}
	return line, ""
}

// recipient is the RCPT command for an item.
func (k *call) recipient(i int, x *extensions) string {
	to := &k.mails[i].To
	line := "RCPT TO:<" + to.Addr + ">"
	if x.dsn {
		for _, p := range to.Params {
			line += " " + p.Name + "=" + p.Value
		}
	}
	return line
}

// run is the transaction. began says that something of its replies was read. After an error the connection must be closed:
// items without an outcome then ended by it, as far as the transaction had come. Without one the connection may go on.
func (x *transaction) run() (began bool, err error) {
	k, c := x.k, x.c
	commands := make([]string, 0, len(x.items)+3)
	if c.open {
		commands = append(commands, "RSET")
	}
	commands = append(commands, x.sender)
	for _, i := range x.items {
		commands = append(commands, k.recipient(i, &c.ext))
	}
	if !x.chunked {
		commands = append(commands, "DATA")
	}
	if c.ext.pipelining {
		if err := x.send(commands...); err != nil {
			return false, err
		}
	}
	next := func(limit time.Duration) (mail.Reply, error) {
		if !c.ext.pipelining {
			if err := x.send(commands[0]); err != nil {
				return mail.Reply{}, err
			}
			commands = commands[1:]
		}
		return x.reply(limit)
	}
	if c.open {
		r, err := next(commandTime)
		if err != nil {
			return false, err
		}
		if r.Code != 250 {
			return true, fmt.Errorf("%w: RSET: %s", mail.ErrReply, r.String())
		}
		c.open = false
	}
	sender, err := next(commandTime)
	if err != nil {
		return false, err
	}
	if sender.Code == 421 && c.mails > 1 { // no more on this connection: another one may do
		return false, fmt.Errorf("MAIL: %s: %w", sender.String(), errClosing)
	}
	if sender.Kind() == 2 {
		c.open = true
	} else {
		for _, i := range x.items {
			if err := x.refuse(i, "MAIL", &sender); err != nil {
				return true, err
			}
		}
		if !c.ext.pipelining {
			return true, nil
		}
	}
	accepted := make([]int, 0, len(x.items))
	for n, i := range x.items {
		r, err := next(commandTime)
		switch {
		case err != nil:
			return true, err
		case sender.Kind() != 2: // its outcome is that of MAIL
		case r.Kind() == 2:
			accepted = append(accepted, i)
		case (r.Code == 452 || r.Code == 552) && n > 0 && len(accepted) > 0:
			// Too many recipients for one transaction (RFC 5321, 4.5.3.1.10): it goes with the next.
		default:
			if err := x.refuse(i, "RCPT", &r); err != nil {
				return true, err
			}
		}
	}
	x.items = accepted
	if x.chunked {
		if len(accepted) == 0 {
			return true, nil
		}
		return true, x.chunk()
	}
	if len(accepted) == 0 && !c.ext.pipelining {
		return true, nil
	}
	r, err := next(dataTime)
	switch {
	case err != nil:
		return true, err
	case r.Code == 354 && len(accepted) == 0: // only a final dot could end that now, and it would send a mail
		return true, errNobody
	case r.Code == 354:
		return true, x.data()
	case r.Kind() == 2:
		return true, fmt.Errorf("%w: DATA: %s", mail.ErrReply, r.String())
	}
	for _, i := range accepted {
		if err := x.refuse(i, "DATA", &r); err != nil {
			return true, err
		}
	}
	return true, nil
}

// refuse notes what a reply says that is no 2yz; 3yz has no place there.
func (x *transaction) refuse(i int, stage string, r *mail.Reply) error {
	if r.Kind() == 3 {
		return fmt.Errorf("%w: %s: %s", mail.ErrReply, stage, r.String())
	}
	x.k.no(i, stage, r)
	if r.Code == 421 { // the server closes the connection: nothing of the rest has run either
		for _, o := range x.items {
			x.k.no(o, stage, r)
		}
		return errClosing
	}
	return nil
}

// data sends the content behind DATA.
func (x *transaction) data() error {
	return x.body(mail.AppendDotted(make([]byte, 0, len(x.content)+len(x.content)/64+8), x.content))
}

// chunk sends the content as one chunk, with QUIT behind it. Replies have no number, and BDAT has no reply of its own kind
// as DATA has the 354. The reply to QUIT shows which replies came before it.
func (x *transaction) chunk() error {
	x.c.over = true
	b := fmt.Appendf(make([]byte, 0, len(x.content)+64), "BDAT %d LAST\r\n", len(x.content))
	return x.body(append(append(b, x.content...), "QUIT\r\n"...))
}

// chunkReplies reads the replies to a chunk: the last ones before the reply to QUIT. An earlier one is a late copy.
func (x *transaction) chunkReplies(count int) ([]mail.Reply, error) {
	var list []mail.Reply
	for len(list) <= count+maxLateReplies {
		r, err := x.reply(finalTime)
		switch {
		case err != nil:
			return nil, err
		case r.Code == codeBye && len(list) >= count:
			return list[len(list)-count:], nil
		}
		list = append(list, r)
	}
	return nil, fmt.Errorf("%w: more of them than commands", mail.ErrReply)
}

const (
	codeBye        = 221 // the reply to QUIT
	maxLateReplies = 8   // late copies of replies ahead of those to a chunk
)

// body writes a mail in blocks. Until the last one is begun the mail can't have run; from then on it may have.
func (x *transaction) body(b []byte) error {
	if err := x.due(); err != nil {
		return err
	}
	for len(b) > 0 {
		n := min(len(b), blockSize)
		if n == len(b) {
			if x.k.abort.Done() {
				return errClosing
			}
			x.committed = true
		}
		if err := x.c.write(b[:n], x.until(blockTime)); err != nil {
			return err
		}
		b = b[n:]
	}
	return x.final()
}

// final reads what became of the mail: one reply for all recipients, or over LMTP one for each in the order of their RCPT.
func (x *transaction) final() error {
	k, c := x.k, x.c
	lmtp := k.t.set.Partners[k.Kind].Protocol == mail.LMTP
	next := func(int) (mail.Reply, error) { return x.reply(finalTime) }
	if x.chunked {
		count := 1
		if lmtp {
			count = len(x.items)
		}
		replies, err := x.chunkReplies(count)
		if err != nil {
			return err
		}
		next = func(n int) (mail.Reply, error) { return replies[n], nil }
	}
	for n := range x.items {
		r, err := next(n)
		if err != nil {
			return err
		}
		those := x.items
		if lmtp {
			those = x.items[n : n+1]
		}
		for _, i := range those {
			switch r.Kind() {
			case 2:
				k.add(i, engine.Outcome{Result: control.OK})
			case 3:
				k.add(i, engine.Outcome{Result: control.Unreadable}) // it has no meaning here
			default:
				k.no(i, "the mail", &r)
			}
		}
		if r.Code == 421 {
			if lmtp {
				continue // replies for the others may still come
			}
			return errClosing
		}
		if !lmtp {
			break
		}
		if c.br.Buffered() == 0 {
			k.tell()
		}
	}
	c.open = false
	return nil
}

// due tells that no reply has come but those that were read. With one too many each would be taken for the one before,
// and the last RCPT's for that of the mail.
func (x *transaction) due() error {
	if x.c.br.Buffered() > 0 {
		return fmt.Errorf("%w: more of them than commands", mail.ErrReply)
	}
	return nil
}

// send writes commands in one.
func (x *transaction) send(lines ...string) error {
	if err := x.due(); err != nil {
		return err
	}
	var b []byte
	for _, l := range lines {
		b = append(append(b, l...), "\r\n"...)
	}
	return x.c.write(b, x.until(commandTime))
}

// until is a time limit for writing, bounded by the time of the last item.
func (x *transaction) until(limit time.Duration) time.Time {
	var last engine.Time
	for _, i := range x.items {
		last = max(last, x.k.Items[i].Deadline)
	}
	return x.c.within(limit, x.k.t.clock.Time(last))
}

// reply reads one reply; items that come due meanwhile end.
func (x *transaction) reply(limit time.Duration) (mail.Reply, error) {
	at := x.c.t.host.Now().Add(limit)
	if x.k.due(x.items) == 0 { // all have ended, and only the connection's sake is left
		return x.c.reply(x.c.t.host.Now().Add(tidyTime), nil)
	}
	return x.c.reply(x.k.until(x.items, at), x.k.lateFor(x.items, at))
}
