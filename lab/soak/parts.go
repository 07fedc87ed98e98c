package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// PartPeriod is a time in which requests with a fatal part in their prompts are sent at one rate, and in the first part of which all
// routers are killed together, again and again.
type PartPeriod struct {
	Episode PoisonEpisode
	Kills   []RefusalKill
}

const (
	// partStream is the stream of random numbers from which the period is drawn.
	partStream = 1 << 35
	// partMargin is the time before the period, and minPartKills to maxPartKills the kills in it.
	partMargin                 = 2 * time.Second
	minPartKills, maxPartKills = 0, 5
)

// partRates are the rates at which requests with the part are sent, per second.
var partRates = []float64{0.7, 1.5, 3.3, 10, 30}

// DrawPartPeriod draws the period of a run.
func DrawPartPeriod(seed uint64, length time.Duration) PartPeriod {
	rng := rand.New(rand.NewPCG(seed, partStream))
	rate := partRates[rng.IntN(len(partRates))]
	p := PartPeriod{Episode: PoisonEpisode{
		At: partMargin, Duration: length - 2*partMargin, kind: streamKind(), body: fmt.Sprintf("part of %d", seed),
		part: true, first: rng.IntN(2) == 0, interval: time.Duration(float64(time.Second) / rate),
	}}
	p.Kills = drawKills(rng, partMargin, minPartKills+rng.IntN(maxPartKills-minPartKills+1))
	return p
}

// streamKind returns the kind of request that streams and may be taken up.
func streamKind() requestKind {
	for _, k := range requestKinds {
		if k.stream && !k.runsOnce() {
			return k
		}
	}
	return requestKinds[0]
}
