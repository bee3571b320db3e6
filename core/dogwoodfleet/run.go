package dogwoodfleet

// RunState reports to a caller whether an endpoint ran its request.
type RunState string

// The run states. NotRun must be certain: it is reported only if no byte of the request
// reached an endpoint, or if the endpoint reported that it did not begin the request.
const (
	NotRun     RunState = "NotRun"
	WasRun     RunState = "Run"
	RunUnknown RunState = "Unknown"
)

// Reason is why a request was rejected or failed. Package dogwoodcaller maps it to an HTTP status.
type Reason string

// The reasons.
const (
	ReasonDeadline      Reason = "Deadline"      // the request could not finish in time
	ReasonShare         Reason = "Share"         // the customer is over its share of a full queue
	ReasonLimit         Reason = "Limit"         // the customer is over its stated limit
	ReasonSuspect       Reason = "Suspect"       // endpoints died running the request
	ReasonTooLarge      Reason = "TooLarge"      // the request fits no engine or gang
	ReasonNoEndpoint    Reason = "NoEndpoint"    // no endpoint of the service is in force
	ReasonDependency    Reason = "Dependency"    // a service that the requested one depends on is down
	ReasonText          Reason = "Text"          // the operators' text does not allow the request any more
	ReasonStore         Reason = "Store"         // the platform's table service is unreachable
	ReasonEndpointDied  Reason = "EndpointDied"  // the endpoint died or the connection to it broke
	ReasonEndpointError Reason = "EndpointError" // the endpoint answered with an error
	ReasonCancelled     Reason = "Cancelled"     // the caller disconnected
	ReasonShutdown      Reason = "Shutdown"      // this daemon is shutting down
	ReasonInternal      Reason = "Internal"
	ReasonBadRequest    Reason = "BadRequest" // the request is malformed
	ReasonKey           Reason = "Key"        // the API key is unknown or not valid for this service
	ReasonKeyMissing    Reason = "KeyMissing" // a non-idempotent call has no Idempotency-Key
	ReasonKeyReused     Reason = "KeyReused"  // the Idempotency-Key was used with another body
	ReasonRunning       Reason = "Running"    // another attempt with the Idempotency-Key is running
	ReasonOutcome       Reason = "Outcome"    // the outcome of an earlier attempt is unknown; the call won't run again
)

// Result is how a request with a grant ended at its endpoint.
type Result string

// The results that an entry daemon reports to the owner when it releases the grant.
const (
	ResultDone      Result = "Done"
	ResultCancelled Result = "Cancelled"
	ResultDied      Result = "Died"     // the endpoint died or the connection broke while the request ran
	ResultRefused   Result = "Refused"  // the endpoint refused the request, which was not run
	ResultTimedOut  Result = "TimedOut" // the deadline passed
	ResultFailed    Result = "Failed"   // the endpoint answered with an error
)
