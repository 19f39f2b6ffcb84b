package guard

// readUnframed reads a body whose end is not known here. While the request is served, the
// server waits for a single byte to notice that the caller leaves; that has no limit.
func (c *Conn) readUnframed(p []byte) (int, error) {
	if len(p) > 1 {
		c.setOwnDeadline(c.limits.bodyTimeout)
	} else {
		c.setOwnDeadline(0)
	}
	return c.Conn.Read(p)
}

// consumeBody sets the mode after a part of a body of which left bytes remain.
func (c *Conn) consumeBody(left int64) {
	if left > 0 {
		c.mode = fixedLengthBody{left: left}
		return
	}
	c.mode = readingHead{}
	c.setOwnDeadline(0)
}

// consumeChunks sets the mode after a part of a body in chunks and returns how many bytes of
// p belong to the body. The others are the beginning of the next head. A body in an
// unusual form is the last on its connection.
func (c *Conn) consumeChunks(body *chunkScanner, p []byte) int {
	n := body.scan(p)
	c.scan.head = append(c.scan.head, p[n:]...)
	switch body.part.(type) {
	case bodyEnd:
		c.mode = readingHead{}
		c.setOwnDeadline(0)
	case unusualBody:
		c.mode = unframedBody{}
	case nil, sizeLine, chunkData, dataEnd, trailer:
		c.mode = chunkedBody{body: body}
	}
	return n
}
