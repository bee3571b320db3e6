package dogwoodbuffer

import (
	"cmp"
	"sync"
	"time"
)

var (
	// ErrAnswerBound means that an answer holds as much as one answer may.
	ErrAnswerBound = Error.New("the answer's bound is reached")
	// ErrDaemonBound means that the daemon holds as much as it may.
	ErrDaemonBound = Error.New("the daemon's bound is reached")
)

// Budget counts the bytes that a daemon holds. It is safe for concurrent use.
type Budget struct {
	mutex  sync.Mutex
	bounds Bounds
	// answers are the answers that hold bytes and are not cut.
	answers map[*Answer]struct{}
	// answerBytes and bodyBytes are held by answers and by bodies.
	answerBytes, bodyBytes int64
	// heads are the heads that arrive and are not cut. headBytes are held by all heads.
	heads     map[*Head]struct{}
	headBytes int64
	// opened counts the answers and the heads that were opened.
	opened uint64
	// requests is the number of requests in progress. It exceeds its bound while answers that were cut for others end.
	requests int
}

// New returns a budget that nothing is counted toward.
func New(bounds Bounds) *Budget {
	return &Budget{bounds: bounds, answers: map[*Answer]struct{}{}, heads: map[*Head]struct{}{}}
}

// SetBounds replaces the bounds. What is held stays; the next reservation is checked against the new bounds.
func (budget *Budget) SetBounds(bounds Bounds) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.bounds = bounds
}

// BeginRequest counts the request with the given ID as one in progress until its end is reported with EndRequest. If there are too
// many, the stream whose caller has been behind for longest is cut in its place, provided that this is maxBehind at least. Otherwise
// it returns ErrDaemonBound and counts nothing.
func (budget *Budget) BeginRequest(id string) error {
	slowest, err := budget.beginRequest(id)
	if slowest.answer == nil {
		return err
	}
	slowest.answer.cut(slowest.cut)
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.requests++
	return nil
}

// beginRequest counts a request, or returns the stream that is to be cut before it is counted.
func (budget *Budget) beginRequest(id string) (slowest victim, err error) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.bounds.Requests == 0 || budget.requests < budget.bounds.Requests {
		budget.requests++
		return victim{}, nil
	}
	answer := budget.slowest()
	if answer == nil || time.Since(answer.behindSince) < maxBehind {
		return victim{}, ErrDaemonBound
	}
	return budget.drop(answer, BoundRequests, id), nil
}

// slowest returns the stream whose caller has been behind for longest.
func (budget *Budget) slowest() *Answer {
	var slowest *Answer
	for answer := range budget.answers {
		if answer.behindSince.IsZero() || answer.isWhole {
			continue
		}
		if slowest == nil || cmp.Or(answer.behindSince.Compare(slowest.behindSince), cmp.Compare(answer.number, slowest.number)) < 0 {
			slowest = answer
		}
	}
	return slowest
}

// EndRequest reports the end of a request that BeginRequest counted.
func (budget *Budget) EndRequest() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.requests--
}

// Requests returns the number of requests in progress.
func (budget *Budget) Requests() int {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.requests
}

// Held returns the bytes that are held for answers and for bodies.
func (budget *Budget) Held() (answers, bodies int64) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.answerBytes, budget.bodyBytes
}

// Cut says why an answer is cut.
type Cut struct {
	// Bound is the bound that was reached.
	Bound Bound
	// Held are the bytes that were held for the answer.
	Held int64
	// Behind is how long the caller had been behind; 0 for one that keeps up.
	Behind time.Duration
	// For is the ID of the request that reached the bound.
	For string
}

// Answer counts the bytes that are held for one answer.
type Answer struct {
	budget *Budget
	// request is the ID of the answer's request.
	request string
	// cut is called once if the answer is to be cut.
	cut func(cut Cut)
	// number orders answers by when they were opened.
	number uint64
	// held are the answer's bytes. isCut is true once the answer was cut, from when on it holds nothing.
	held  int64
	isCut bool
	// behindSince is since when the caller is behind; zero while it is offered no bytes. isWhole is true if they are of an answer that was
	// read whole before any of it was sent.
	behindSince time.Time
	isWhole     bool
}

// NewAnswer returns an answer that holds nothing. cut is called if the answer is to be cut, at most once, and possibly by the
// reservation of another answer. It must drop the answer's bytes soon and may not call Reserve.
func (budget *Budget) NewAnswer(request string, cut func(cut Cut)) *Answer {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.opened++
	return &Answer{budget: budget, request: request, cut: cut, number: budget.opened}
}

// Offer records that the caller of a stream is offered bytes, and counts as behind since the given time until Taken is called.
func (answer *Answer) Offer(since time.Time) {
	answer.offer(since, false)
}

// OfferWhole is Offer for an answer that was read whole before any of it is sent. It is not cut for a request.
func (answer *Answer) OfferWhole(since time.Time) {
	answer.offer(since, true)
}

func (answer *Answer) offer(since time.Time, whole bool) {
	answer.budget.mutex.Lock()
	defer answer.budget.mutex.Unlock()
	answer.behindSince, answer.isWhole = since, whole
}

// Taken records that the caller has taken the bytes that it was offered.
func (answer *Answer) Taken() {
	answer.budget.mutex.Lock()
	defer answer.budget.mutex.Unlock()
	answer.behindSince = time.Time{}
}

// Behind returns how long the caller has been behind, 0 for one that keeps up.
func (answer *Answer) Behind() time.Duration {
	answer.budget.mutex.Lock()
	defer answer.budget.mutex.Unlock()
	return answer.behind()
}

// behind is Behind. The mutex is held.
func (answer *Answer) behind() time.Duration {
	if answer.behindSince.IsZero() {
		return 0
	}
	return time.Since(answer.behindSince)
}

// Reserve counts bytes toward the answer. It returns ErrAnswerBound if the answer would hold more than its bound, unless it
// holds nothing. If the daemon would hold more than its bound, the answers that hold most are cut. ErrDaemonBound means that
// this answer is one of them.
func (answer *Answer) Reserve(bytes int64) error {
	return answer.reserve(bytes, true)
}

// ReserveWhole is Reserve without the bound of one answer, for an answer that is read whole before any of it is sent. Its
// size is bounded by its reader.
func (answer *Answer) ReserveWhole(bytes int64) error {
	return answer.reserve(bytes, false)
}

func (answer *Answer) reserve(bytes int64, bounded bool) error {
	victims, err := answer.budget.reserveAnswer(answer, bytes, bounded)
	for _, victim := range victims {
		victim.answer.cut(victim.cut)
	}
	return err
}

// victim is an answer that is to be cut.
type victim struct {
	answer *Answer
	cut    Cut
}

// reserveAnswer counts bytes toward an answer and returns the answers that are to be cut for it.
func (budget *Budget) reserveAnswer(answer *Answer, bytes int64, bounded bool) (victims []victim, err error) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if answer.isCut {
		return nil, ErrDaemonBound
	}
	if bounded && answer.held > 0 && answer.held+bytes > budget.bounds.Answer {
		return nil, ErrAnswerBound
	}
	answer.held += bytes
	budget.answerBytes += bytes
	budget.answers[answer] = struct{}{}
	for budget.answerBytes > budget.answerBound() {
		victims = append(victims, budget.drop(budget.largest(), BoundDaemon, answer.request))
	}
	if answer.isCut {
		return victims, ErrDaemonBound
	}
	return victims, nil
}

// answerBound returns how much all answers may hold now.
func (budget *Budget) answerBound() int64 {
	return min(budget.bounds.kind(), max(budget.bounds.Daemon-budget.bodyBytes, budget.bounds.Daemon/reservedShare))
}

// largest returns the answer that holds most; of several, the one that was opened first.
func (budget *Budget) largest() *Answer {
	var largest *Answer
	for answer := range budget.answers {
		if largest == nil || answer.held > largest.held || answer.held == largest.held && answer.number < largest.number {
			largest = answer
		}
	}
	return largest
}

// drop cuts an answer for a request that has reached a bound.
func (budget *Budget) drop(answer *Answer, bound Bound, request string) victim {
	cut := Cut{Bound: bound, Held: answer.held, Behind: answer.behind(), For: request}
	budget.close(answer)
	return victim{answer, cut}
}

// close counts an answer as one that holds nothing and gets no further bytes.
func (budget *Budget) close(answer *Answer) {
	delete(budget.answers, answer)
	budget.answerBytes -= answer.held
	answer.held, answer.isCut = 0, true
}

// Held returns the bytes that the answer holds.
func (answer *Answer) Held() int64 {
	answer.budget.mutex.Lock()
	defer answer.budget.mutex.Unlock()
	return answer.held
}

// Release takes bytes off the answer. It does nothing once the answer is cut.
func (answer *Answer) Release(bytes int64) {
	budget := answer.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	bytes = min(bytes, answer.held)
	answer.held -= bytes
	budget.answerBytes -= bytes
	if answer.held == 0 {
		delete(budget.answers, answer)
	}
}

// Close takes all bytes off an answer that has ended.
func (answer *Answer) Close() {
	budget := answer.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.close(answer)
}

// ReserveBody counts bytes of a request's body. It returns ErrDaemonBound, and counts nothing, if bodies or the daemon would
// hold more than their bound.
func (budget *Budget) ReserveBody(bytes int64) error {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if !budget.bodyFits(bytes) {
		return ErrDaemonBound
	}
	budget.bodyBytes += bytes
	return nil
}

// BodyFits reports whether ReserveBody would succeed now.
func (budget *Budget) BodyFits(bytes int64) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.bodyFits(bytes)
}

func (budget *Budget) bodyFits(bytes int64) bool {
	return budget.bodyBytes+bytes <= min(budget.bounds.kind(), budget.bounds.Daemon-budget.answerBytes)
}

// MaxBody returns the size of the largest body that can be held while nothing else is. ReadAll needs a byte more, in which the
// end of the body shows.
func (budget *Budget) MaxBody() int64 {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.bounds.kind() - 1
}

// ReleaseBody takes bytes of bodies off.
func (budget *Budget) ReleaseBody(bytes int64) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.bodyBytes -= bytes
}
