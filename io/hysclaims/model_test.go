package hysclaims_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hyssopshore/core/hysclaim"
	"hyssopshore/core/hysquery"
	"hyssopshore/internal/hysmodel"
	"hyssopshore/io/hysclaims"
)

// TestAtMostOnce compares the claims of three daemons, which may restart at any
// time, with a simple oracle: an id is never won twice, and the first claim of an
// id is won if the store has no fault.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		s := hysmodel.NewStore()
		s.StaleMayMiss = true
		start := func() *hysclaims.Claims {
			return hysclaims.New(nil, hysclaims.WithStore(s.Get, s.Put), hysclaims.WithMinWriteInterval(0))
		}
		daemons := []*hysclaims.Claims{start(), start(), start()}
		won := make(map[hysquery.RequestID]hysclaim.Claim)
		tried := make(map[hysquery.RequestID]bool)
		newest := 0
		fault := rapid.SampledFrom([]string{"", "refuse", "stale", "drop", "lose", "hold"})
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				d := rapid.IntRange(0, 2).Draw(t, "daemon")
				minute := rapid.SampledFrom([]int{0, 1, 80, 81, 160}).Draw(t, "minute")
				id := idAt(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "id")), minute)
				s.Faults = rapid.SliceOfN(fault, 0, 4).Draw(t, "faults")
				mustWin := len(s.Faults) == 0 && !tried[id] && minute >= newest
				claim, mine, err := daemons[d].Claim(ctx, id)
				s.Faults = nil
				tried[id] = true
				newest = max(newest, minute)
				if mustWin && (err != nil || !mine) {
					t.Fatalf("a first claim without a fault is not won: %v", err)
				}
				if !mine || err != nil {
					return
				}
				if earlier, ok := won[id]; ok {
					t.Fatalf("%s is won twice: by %s and %s", id, earlier.Nonce, claim.Nonce)
				}
				won[id] = claim
			},
			"record": func(t *rapid.T) {
				if len(won) == 0 {
					t.Skip("nothing is won")
				}
				id := idAt(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "id")), 0)
				claim, ok := won[id]
				if !ok {
					t.Skip("not won")
				}
				_ = daemons[0].Record(ctx, claim, hysquery.Answer{RequestID: id})
			},
			"restart": func(t *rapid.T) {
				daemons[rapid.IntRange(0, 2).Draw(t, "daemon")] = start()
			},
			"deliver held writes": func(*rapid.T) { s.Deliver() },
		})
	})
}

// TestGroupCommit prints the number of claims per write of the store, which must
// rise with the load.
func TestGroupCommit(t *testing.T) {
	last := 0.0
	for _, concurrent := range []int{1, 8, 64, 512} {
		perWrite, rate := measureLoad(t, concurrent)
		t.Logf("%d concurrent claims: %.1f claims per write, %.0f claims/s", concurrent, perWrite, rate)
		if perWrite < last {
			t.Errorf("claims per write fell to %.2f from %.2f", perWrite, last)
		}
		last = perWrite
	}
	if last < 8 {
		t.Errorf("%.1f claims per write at the highest load", last)
	}
}

// TestGroupCommitOfNineDaemons prints the same for nine daemons, whose
// compare-and-swaps conflict. Every claim must still be won.
func TestGroupCommitOfNineDaemons(t *testing.T) {
	for _, concurrent := range []int{1, 8, 64} {
		daemons, counts := newLoadFixture(t, 9)
		claims, span := claimUnderLoad(t, daemons, concurrent)
		t.Logf("nine daemons with %d concurrent claims each: %.2f claims per write, %.0f claims/s, %.0f writes/s",
			concurrent, claims/float64(counts().Writes), claims/span.Seconds(), float64(counts().Writes)/span.Seconds())
	}
}

func measureLoad(t *testing.T, concurrent int) (perWrite, rate float64) {
	daemons, counts := newLoadFixture(t, 1)
	claims, span := claimUnderLoad(t, daemons, concurrent)
	return claims / float64(counts().Writes), claims / span.Seconds()
}

// claimUnderLoad claims new ids for half a second, the given number concurrently
// at each daemon. It returns the number of claims and the elapsed time.
func claimUnderLoad(t *testing.T, daemons []*hysclaims.Claims, concurrent int) (float64, time.Duration) {
	const span = 500 * time.Millisecond
	done := make(chan error, len(daemons)*concurrent)
	start := time.Now()
	for i := range cap(done) {
		go func() {
			for time.Since(start) < span {
				if _, won, err := daemons[i%len(daemons)].Claim(context.Background(), freshID()); err != nil || !won {
					done <- errors.Join(err, errors.New("a fresh claim is not won"))
					return
				}
			}
			done <- nil
		}()
	}
	for range cap(done) {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	claims := 0.0
	for _, c := range daemons {
		claims += float64(c.Counts().Claims)
	}
	return claims, time.Since(start)
}
