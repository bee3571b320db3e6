// Package dogwoodquotas connects the meters of the entry daemons with the customers' homes. A
// customer's home is the daemon that divides the customer's limit into shares for the entry
// daemons. The package reports the demand of this daemon to the homes, grants shares for the
// customers whose home this daemon is, and rejects requests over their customer's limit before
// they request a slot.
package dogwoodquotas

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"dogwoodmux.example/core/decision/dogwoodownership"
	"dogwoodmux.example/core/decision/dogwoodquota"
	"dogwoodmux.example/core/dogwoodfleet"
	"dogwoodmux.example/core/dogwoodsettings"
	"dogwoodmux.example/core/duty/dogwoodowner"
)

// Error is the class of this package's errors.
var Error = errs.Class("quotas")

const (
	// scanInterval is how often the meter is checked for due reports: half the shortest time
	// between two reports.
	scanInterval = 250 * time.Millisecond
	// reportTimeout bounds one report. Shares remain valid if a report is lost.
	reportTimeout = time.Second
	// cleanUpInterval is how often customers without traffic are dropped, and the shares of
	// daemons that are gone revoked.
	cleanUpInterval = 5 * time.Second
	// maxConcurrentReports bounds the calls of one scan in flight.
	maxConcurrentReports = 32
)

// Member is a daemon that may be a customer's home.
type Member struct {
	Instance dogwoodfleet.InstanceID
	Peer     netip.AddrPort
}

// Caller calls other daemons.
type Caller interface {
	Call(ctx context.Context, peer netip.AddrPort, method string, args, reply any) error
}

// Slots grants requests their slots at endpoints.
type Slots interface {
	Acquire(ctx context.Context, acquireRequest *dogwoodowner.AcquireRequest) (dogwoodowner.Grant, error)
	ToldCold(ctx context.Context, endpoint dogwoodfleet.Endpoint, instance dogwoodfleet.InstanceID)
	Began(grant dogwoodowner.Grant, begun time.Time)
	Release(ctx context.Context, grant dogwoodowner.Grant, release dogwoodowner.Release)
}

// Options configure Quotas.
type Options struct {
	Self   dogwoodfleet.InstanceID
	Text   func() *dogwoodsettings.Text
	Alive  func() []Member
	Caller Caller
	Logger hclog.Logger
}

// Quotas enforces the customers' limits at this daemon. It is safe for concurrent use.
type Quotas struct {
	options Options

	mutex   sync.Mutex
	meter   *dogwoodquota.Meter
	home    *dogwoodquota.Home
	text    *dogwoodsettings.Text
	limits  map[dogwoodfleet.Customer]dogwoodquota.Rate
	daemons int
}

// New returns Quotas without any shares yet.
func New(options Options) *Quotas {
	quotas := &Quotas{options: options, home: dogwoodquota.NewHome(), daemons: 1}
	quotas.meter = dogwoodquota.NewMeter(quotas.limitLocked)
	return quotas
}

// limitLocked returns a customer's limit in the operators' text in force. The limits are computed
// once for each text. The caller holds the mutex.
func (quotas *Quotas) limitLocked(customer dogwoodfleet.Customer) dogwoodquota.Rate {
	if text := quotas.options.Text(); text != quotas.text {
		quotas.text = text
		quotas.limits = make(map[dogwoodfleet.Customer]dogwoodquota.Rate, len(text.Customers))
		for i := range text.Customers {
			stated := &text.Customers[i]
			quotas.limits[stated.Name] = dogwoodquota.Rate{Requests: stated.RequestsPerSecond, Tokens: stated.TokensPerSecond}
		}
	}
	return quotas.limits[customer]
}

// Admit returns nil if it admits a request, otherwise a refusal that marks the request as not run.
func (quotas *Quotas) Admit(request *dogwoodfleet.Request) *dogwoodowner.Refusal {
	quotas.mutex.Lock()
	defer quotas.mutex.Unlock()
	retryAfter, ok := quotas.meter.Admit(time.Now(), request.Customer, request.Tokens(), quotas.daemons)
	if ok {
		return nil
	}
	return &dogwoodowner.Refusal{
		Reason: dogwoodfleet.ReasonLimit, NotRun: true, RetryAfter: retryAfter, Detail: "the customer is over its stated limit",
	}
}

// Limited wraps slots so that first tries over their customer's limit are rejected.
func (quotas *Quotas) Limited(slots Slots) Slots {
	return &limited{Slots: slots, quotas: quotas}
}

type limited struct {
	Slots
	quotas *Quotas
}

// Acquire rejects a first try over the limit, otherwise it acquires a slot.
func (limited *limited) Acquire(ctx context.Context, acquireRequest *dogwoodowner.AcquireRequest) (dogwoodowner.Grant, error) {
	if acquireRequest.Try <= 1 {
		if refusal := limited.quotas.Admit(&acquireRequest.Request); refusal != nil {
			return dogwoodowner.Grant{}, refusal
		}
	}
	return limited.Slots.Acquire(ctx, acquireRequest)
}

// Keep sends the due reports and cleans up until the context ends.
func (quotas *Quotas) Keep(ctx context.Context) error {
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	cleanedUp := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			quotas.sendDue(ctx, now)
			if now.Sub(cleanedUp) >= cleanUpInterval {
				cleanedUp = now
				quotas.cleanUp(now)
			}
		}
	}
}

// cleanUp revokes the shares of daemons that are gone and drops customers without traffic.
func (quotas *Quotas) cleanUp(now time.Time) {
	alive := quotas.options.Alive()
	quotas.mutex.Lock()
	defer quotas.mutex.Unlock()
	quotas.home.RevokeDead(func(entry dogwoodfleet.InstanceID) bool {
		return slices.ContainsFunc(alive, func(member Member) bool { return member.Instance == entry })
	})
	quotas.home.DropIdle(now)
}

// sendDue sends the due reports, grouped by home.
func (quotas *Quotas) sendDue(ctx context.Context, now time.Time) {
	alive := quotas.options.Alive()
	quotas.mutex.Lock()
	quotas.daemons = max(len(alive), 1)
	due := quotas.meter.Due(now)
	quotas.mutex.Unlock()
	if len(due) == 0 || len(alive) == 0 {
		return
	}
	members := make([]dogwoodownership.Member, len(alive))
	for i := range alive {
		members[i].Instance = alive[i].Instance
	}
	byHome := map[int][]dogwoodquota.Report{}
	for _, report := range due {
		home := dogwoodownership.Home(string(report.Customer), members)
		byHome[home] = append(byHome[home], report)
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentReports)
	for home, reports := range byHome {
		group.Go(func() error {
			quotas.report(ctx, alive[home], reports)
			return nil
		})
	}
	_ = group.Wait() // unanswered reports become due again
}

// report sends reports to a home and applies the shares that it returns.
func (quotas *Quotas) report(ctx context.Context, home Member, reports []dogwoodquota.Report) {
	args := ReportArgs{Entry: quotas.options.Self, Reports: reports}
	var reply ReportReply
	if home.Instance == quotas.options.Self {
		reply.Shares = quotas.grantShares(&args)
	} else {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		if err := quotas.options.Caller.Call(ctx, home.Peer, "Quota.Report", args, &reply); err != nil {
			quotas.options.Logger.Debug("report of demand failed", "home", home.Instance, "error", err)
			return
		}
	}
	quotas.mutex.Lock()
	defer quotas.mutex.Unlock()
	for _, share := range reply.Shares {
		quotas.meter.Learn(time.Now(), share, quotas.daemons)
	}
}

// grantShares returns the shares that this daemon, as the home, grants for reports.
func (quotas *Quotas) grantShares(args *ReportArgs) []dogwoodquota.Share {
	quotas.mutex.Lock()
	defer quotas.mutex.Unlock()
	now := time.Now()
	shares := make([]dogwoodquota.Share, 0, len(args.Reports))
	for _, report := range args.Reports {
		shares = append(shares, quotas.home.Grant(now, args.Entry, report, quotas.limitLocked(report.Customer)))
	}
	return shares
}

// ReportArgs holds the reports of an entry daemon to a home.
type ReportArgs struct {
	Entry   dogwoodfleet.InstanceID
	Reports []dogwoodquota.Report
}

// ReportReply holds the shares that the home grants.
type ReportReply struct {
	Shares []dogwoodquota.Share
}

// Receiver answers other daemons through net/rpc.
type Receiver struct {
	quotas *Quotas
}

// NewReceiver returns the RPC receiver; register it as "Quota".
func NewReceiver(quotas *Quotas) *Receiver {
	return &Receiver{quotas: quotas}
}

// Report applies the demand of an entry daemon and returns its shares.
func (receiver *Receiver) Report(args ReportArgs, reply *ReportReply) error {
	reply.Shares = receiver.quotas.grantShares(&args)
	return nil
}
