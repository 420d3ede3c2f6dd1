package hysgather_test

import (
	"testing"

	"hyssopshore/internal/hyssuite"
)

// TestGather runs the specs of the package.
func TestGather(t *testing.T) {
	hyssuite.Run(t, "Gather")
}
