package dogwoodlog

// The messages of the lines that tell what became of a request. Those who write them, who
// sample them and who explain a request from them must agree.
const (
	// Refused means that it was not passed on.
	Refused = "Refused."
	// Placed means that a place was found for a try.
	Placed = "Placed."
	// FirstEvent means that a stream's first event came.
	FirstEvent = "First event."
	// Silent means that an endpoint brought nothing for longer than a stream bears.
	Silent = "An endpoint is silent."
	// TryingAgain means that another try follows.
	TryingAgain = "Trying again."
	// NoFurtherTry means that none may follow.
	NoFurtherTry = "No further try."
	// Answered means that the caller has the whole answer.
	Answered = "Answered."
	// NotAnswered means that it was refused, failed or cut, or that the caller left.
	NotAnswered = "Not answered."
)
