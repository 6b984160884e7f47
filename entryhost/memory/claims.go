package memory

// Granter grants and takes back memory of a host. A Budget is one.
type Granter interface {
	ClaimFor(holder *Holder, bytes int64) bool
	ReleaseFor(holder *Holder, bytes int64)
}

// Claims is what one task has claimed for what servers send. It never gives way: the work that
// a server has done for a request would be lost.
type Claims struct {
	// granter is nil if there is no bound.
	granter Granter
	holder  *Holder
	held    int64
}

// NewClaims returns claims of a task, which are granted without a bound if granter is nil.
func NewClaims(granter Granter) *Claims {
	return &Claims{granter: granter, holder: NewHolder(nil)}
}

// Claim implements Claimant.
func (c *Claims) Claim(bytes int64) bool {
	if c.granter == nil {
		return true
	}
	if !c.granter.ClaimFor(c.holder, bytes) {
		return false
	}
	c.held += bytes
	return true
}

// Release implements Claimant.
func (c *Claims) Release(bytes int64) {
	if c.granter != nil && bytes > 0 {
		c.held -= bytes
		c.granter.ReleaseFor(c.holder, bytes)
	}
}

// Receive implements Claimant.
func (c *Claims) Receive(bytes int) { c.holder.Receive(bytes) }

// ReleaseAll releases what is still claimed.
func (c *Claims) ReleaseAll() { c.Release(c.held) }
