package hysstandin

import (
	"math"
	"math/rand/v2"
)

// logNormal returns a sample of a log-normal distribution of mean 1.
func logNormal(r *rand.Rand, sigma float64) float64 {
	if sigma == 0 {
		return 1
	}
	return math.Exp(sigma*r.NormFloat64() - sigma*sigma/2)
}
