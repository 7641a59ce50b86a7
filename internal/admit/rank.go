package admit

import (
	"math"

	"github.com/bramleycourse/bramleycourse/internal/encap"
)

const (
	// maxRank is the highest rank; a depth of DepthUnit means no free slot.
	maxRank = encap.DepthUnit - 1
	// exactRank is the rank up to which ranks are numbers of flows. Above it they
	// grow with the logarithm up to maxFlows, in steps of 14%. Many flows
	// spread evenly by the hash alone, so coarse steps do there.
	exactRank = 24
	maxFlows  = 4096.0
)

// rank orders agents with a free slot by their open flows. It takes the place
// of the depth in the header and is below DepthUnit.
func (g *Gate) rank() encap.Depth {
	n := float64(g.flows())
	if n <= exactRank {
		return encap.Depth(n)
	}
	step := math.Log(maxFlows/exactRank) / float64(maxRank-exactRank)
	return min(maxRank, encap.Depth(exactRank+math.Log(n/exactRank)/step))
}
