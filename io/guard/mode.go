package guard

// mode is what the next bytes of a connection are.
type mode interface{ isMode() }

type (
	// readingHead is the mode in which bytes belong to a head.
	readingHead struct{}
	// fixedLengthBody is the mode for the remaining bytes of a body.
	fixedLengthBody struct{ left int64 }
	// chunkedBody is the mode of a body in chunks.
	chunkedBody struct{ body *chunkScanner }
	// unframedBody is the mode of a body whose end only the server finds.
	unframedBody struct{}
	// endOfInput is the mode after an unframed body.
	endOfInput struct{}
	// hijacked is the mode of a connection that a handler took over.
	hijacked struct{}
)

func (readingHead) isMode()     {}
func (fixedLengthBody) isMode() {}
func (chunkedBody) isMode()     {}
func (unframedBody) isMode()    {}
func (endOfInput) isMode()      {}
func (hijacked) isMode()        {}
