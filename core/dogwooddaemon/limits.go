package dogwooddaemon

import (
	"encoding/json"

	"github.com/hashicorp/go-hclog"

	"dogwoodmux.example/core/decision/dogwoodbuffer"
	"dogwoodmux.example/core/decision/dogwoodconnection"
	"dogwoodmux.example/core/dogwoodproblem"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/core/edge/dogwoodserver"
)

const (
	bytesPerMB = 1_000_000
	// otherDescriptors are the descriptors that are left for files.
	otherDescriptors = 200
	// headCopies is how often a daemon copies the head of a request that it serves: for the call, and for a try.
	headCopies = 2
	// refusalRetryAfter is the Retry-After, in seconds, of a request that is refused before it has arrived.
	refusalRetryAfter = "1"
)

// limits bound what the clients of a daemon's listeners may take.
type limits struct {
	memory      *dogwoodbuffer.Budget
	connections dogwoodconnection.Bounds
}

func newLimits(settings *dogwoodsettings.Daemon) *limits {
	memory := int64(settings.MemoryMB) * bytesPerMB
	return &limits{
		memory:      dogwoodbuffer.New(dogwoodbuffer.NewBounds(memory)),
		connections: dogwoodconnection.NewBounds(max(settings.FileDescriptors-otherDescriptors, 0), memory),
	}
}

// options returns the options of a server whose requests have heads of at most headBytes.
func (limits *limits) options(headBytes, connections int, logger hclog.Logger) dogwoodserver.Options {
	return dogwoodserver.Options{
		Shutdown: errShutdown, Memory: limits.memory, RetryAfter: refusalRetryAfter, RefusalBody: refusalBody, Logger: logger,
		MaxHeadBytes: func() int { return headBytes }, MaxConnections: func() int { return connections },
	}
}

// refusalBody returns the problem that tells a client that its request was refused before it had arrived.
func refusalBody(status int, detail string) (mediaType, body string) {
	problem := dogwoodproblem.New(status, "refused", detail)
	problem.NotRun = dogwoodproblem.True
	encoded, err := json.Marshal(problem)
	if err != nil {
		encoded = []byte("{}") // only a type that JSON can't represent fails
	}
	return dogwoodproblem.ContentType, string(encoded)
}
