package dogwoodbuffer

const (
	// smallHeadBytes is what a head with some fifty lines takes.
	smallHeadBytes = 32 << 10
	// smallHeadShare is the part of the bound of heads that only small ones may use, so that those of ordinary callers find room beside
	// large ones.
	smallHeadShare = 4
	// headLineBytes is what a line of a parsed head takes: an entry of its map, the name, the value's slice and garbage of the map as it grows.
	headLineBytes = 128
	// headCopies is how often a byte of a head is held: in the connection's buffer and in the strings of the parsed head.
	headCopies = 2
)

// HeadSize is the size of a request's head: its request line and its headers.
type HeadSize struct {
	Lines, Bytes int
}

// Memory returns the bytes that a head of this size takes once it is parsed, with copies of its headers.
func (size HeadSize) Memory(copies int) int64 {
	return int64(headCopies)*int64(size.Bytes) + headLineBytes*int64(size.Lines)*int64(1+copies)
}

// Head counts the bytes that the head of one request takes, from its first byte until the request has ended.
type Head struct {
	budget *Budget
	// cut is called once if the head is to be dropped while it arrives.
	cut func()
	// number orders heads by when they were opened.
	number uint64
	held   int64
	// isComplete is true once the whole head has arrived, isCut once it was dropped, from when on it holds nothing.
	isComplete, isCut bool
}

// NewHead returns a head that holds nothing. cut is called, at most once, if it is to be dropped for others while it arrives, possibly by
// the reservation of another head. It may not call Reserve.
func (budget *Budget) NewHead(cut func()) *Head {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.opened++
	return &Head{budget: budget, cut: cut, number: budget.opened}
}

// Reserve changes what the head holds to bytes. If heads would hold more than their bound, those that still arrive and hold most are cut;
// of equal ones, the oldest. ErrDaemonBound means that this head is one of them, or that all others have arrived. A head that is alone may
// hold more than the bound.
func (head *Head) Reserve(bytes int64) error {
	victims, err := head.budget.reserveHead(head, bytes)
	for _, victim := range victims {
		victim.cut()
	}
	return err
}

func (budget *Budget) reserveHead(head *Head, bytes int64) (victims []*Head, err error) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if head.isCut {
		return nil, ErrDaemonBound
	}
	bound := budget.bounds.Heads
	if bytes > smallHeadBytes {
		bound -= bound / smallHeadShare
	}
	budget.headBytes += bytes - head.held
	head.held = bytes
	if !head.isComplete {
		budget.heads[head] = struct{}{}
	}
	for budget.headBytes > bound && budget.headBytes > head.held && !head.isCut {
		largest := budget.largestHead(head)
		budget.dropHead(largest)
		if largest != head {
			victims = append(victims, largest)
		}
	}
	if head.isCut {
		return victims, ErrDaemonBound
	}
	return victims, nil
}

// largestHead returns the head that holds most of those that arrive and of the given one, which makes a reservation; of equal ones, the one
// that was opened first.
func (budget *Budget) largestHead(largest *Head) *Head {
	for head := range budget.heads {
		if head.held > largest.held || head.held == largest.held && head.number < largest.number {
			largest = head
		}
	}
	return largest
}

// dropHead counts a head as one that holds nothing and gets no further bytes.
func (budget *Budget) dropHead(head *Head) {
	delete(budget.heads, head)
	budget.headBytes -= head.held
	head.held, head.isCut = 0, true
}

// Complete changes what a head that has arrived holds to bytes. It is no longer cut for others. ErrDaemonBound means that it was cut, or
// that there is no room for it.
func (head *Head) Complete(bytes int64) error {
	if err := head.Reserve(bytes); err != nil {
		return err
	}
	head.budget.mutex.Lock()
	defer head.budget.mutex.Unlock()
	if head.isCut {
		return ErrDaemonBound
	}
	delete(head.budget.heads, head)
	head.isComplete = true
	return nil
}

// Close takes all bytes off a head whose request has ended.
func (head *Head) Close() {
	head.budget.mutex.Lock()
	defer head.budget.mutex.Unlock()
	head.budget.dropHead(head)
}

// HeadBytes returns the bytes that are held for heads.
func (budget *Budget) HeadBytes() int64 {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.headBytes
}
