package fulmarassign_test

import (
	"os"
	"testing"

	"github.com/fulmardrum/fulmardrum/internal/fulmarseed"
)

func TestMain(m *testing.M) {
	fulmarseed.Fix()
	os.Exit(m.Run())
}
