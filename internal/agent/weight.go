package agent

import "github.com/bramleycourse/bramleycourse/pkg/decl"

// shareWeight returns the declared weight of an upstream in a place and group
// relative to the highest weight of the shares. A place or group without a
// share has weight 1.
func shareWeight(shares []decl.Share, place, group string) float64 {
	ownPlace, maxPlace, ownGroup, maxGroup := 1.0, 1.0, 1.0, 1.0
	for _, s := range shares {
		if s.Place != "" {
			maxPlace = max(maxPlace, s.Weight)
			if s.Place == place {
				ownPlace = s.Weight
			}
			continue
		}
		maxGroup = max(maxGroup, s.Weight)
		if s.Group == group {
			ownGroup = s.Weight
		}
	}
	return ownPlace * ownGroup / (maxPlace * maxGroup)
}
