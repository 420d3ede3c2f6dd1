// Package hyssuite runs the tests of a package with fixed seeds, so that every
// run gives the same verdict.
//
// # Usage
//
//	func TestMain(m *testing.M) { hyssuite.Main(m, 500) } // only with fuzzing
//	func TestTicket(t *testing.T) { hyssuite.Run(t, "Ticket") }
//	hyssuite.Read("tickets.json", &scripts) // the scripts of a test
package hyssuite

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	// Registers the flags of the fuzzing library.
	_ "pgregory.net/rapid"
)

// The seeds of the order of specs and of the fuzzing library.
const (
	specSeed = 1
	fuzzSeed = "1"
)

// Main runs the tests of a package that fuzzes, each fuzzing test with the
// given number of checks. A failure leaves no file behind.
func Main(m *testing.M, checks int) {
	flag.Parse()
	set("rapid.seed", fuzzSeed)
	set("rapid.checks", strconv.Itoa(checks))
	set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// Run runs the specs of the calling package.
func Run(t *testing.T, name string) {
	t.Helper()
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = specSeed
	ginkgo.RunSpecs(t, name, suite, reporter)
}

// Read decodes a JSON file of the calling package's testdata. Tests are made from such
// files before they run, so that one that can't be read panics.
func Read(name string, into any) {
	path := filepath.Join("testdata", name)
	data, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		panic(fmt.Errorf("hyssuite.Read: %s: %w", path, err))
	}
}
