package agent

import "github.com/bramleycourse/bramleycourse/pkg/decl"

// shareWeight returns the declared weight of an upstream in a place and group
// relative to the highest that the shares allow. One without a share has
// weight 1.
func shareWeight(shares []decl.Share, place, group string) float64 {
	ownPlace, topPlace, ownGroup, topGroup := 1.0, 1.0, 1.0, 1.0
	for _, s := range shares {
		if s.Place != "" {
			topPlace = max(topPlace, s.Weight)
			if s.Place == place {
				ownPlace = s.Weight
			}
			continue
		}
		topGroup = max(topGroup, s.Weight)
		if s.Group == group {
			ownGroup = s.Weight
		}
	}
	return ownPlace * ownGroup / (topPlace * topGroup)
}
