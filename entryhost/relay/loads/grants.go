package loads

import (
	"math"
	"slices"
	"time"
)

// grant is a server that is reserved for an ask of a host.
type grant struct {
	host     string
	sequence int64
	server   string
	expires  time.Time
}

// settle frees the grants that have expired and those of the host that it has acted on:
// its report has the attempt, or it has chosen another server.
func (b *board) settle(report HostLoads, now time.Time) {
	b.grants = slices.DeleteFunc(b.grants, func(g grant) bool {
		acted := g.host == report.Host && g.sequence < report.Sequence && !slices.Contains(report.Pending, g.sequence)
		return acted || !now.Before(g.expires)
	})
}

// grant reserves the proposed server with the lowest cost for the host and returns its id.
// The attempts that all hosts have reported and the other grants are part of the cost, so
// that hosts that ask at the same moment choose different servers.
func (b *board) grant(report HostLoads, now time.Time) string {
	granted, lowest, reserved := "", math.Inf(1), b.reserved("")
	for _, proposal := range report.Proposals {
		load := b.servers[proposal.Server].plus(reserved[proposal.Server], 1)
		if cost := proposal.Cost + load.Cost(b.speeds.Slowdown(proposal.Server)); cost < lowest {
			granted, lowest = proposal.Server, cost
		}
	}
	if granted != "" {
		b.grants = append(b.grants, grant{host: report.Host, sequence: report.Sequence, server: granted, expires: now.Add(grantLifetime)})
	}
	return granted
}

// reserved returns the grants of all hosts but one as attempts.
func (b *board) reserved(except string) map[string]Load {
	result := map[string]Load{}
	for _, g := range b.grants {
		if g.host != except {
			result[g.server] = result[g.server].plus(Load{Reading: 1}, 1)
		}
	}
	return result
}
