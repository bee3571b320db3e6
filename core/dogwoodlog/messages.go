package dogwoodlog

// The messages of the log lines that record the progress of a request. The packages that log
// them, the sampling in Writer and the tool that explains a request from its log lines share
// these constants.
const (
	// Refused means that the request was not sent to an endpoint.
	Refused = "Refused."
	// Placed means that a slot was found for a try.
	Placed = "Placed."
	// FirstEvent means that the first event of a stream arrived.
	FirstEvent = "First event."
	// Late means that a stream was answered later than its route allows.
	Late = "A stream was late."
	// Yields means that a request waits for engines that more urgent requests need.
	Yields = "Waits for more urgent requests."
	// Minimum means that a request got a slot ahead of more urgent ones, for its rank's minimum.
	Minimum = "Placed for its rank's minimum."
	// Silent means that an endpoint sent nothing for longer than a stream's silence limit.
	Silent = "An endpoint is silent."
	// TryingAgain means that another try follows.
	TryingAgain = "Trying again."
	// NoFurtherTry means that no further try is allowed.
	NoFurtherTry = "No further try."
	// Answered means that the whole answer was sent to the caller.
	Answered = "Answered."
	// NotAnswered means that the request was rejected or failed, its answer was cut, or the
	// caller disconnected.
	NotAnswered = "Not answered."
)
