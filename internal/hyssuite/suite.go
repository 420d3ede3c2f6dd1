// Package hyssuite runs the tests of a package with fixed seeds, so that every
// run gives the same result.
//
// # Usage
//
//	func TestMain(m *testing.M) { hyssuite.Main(m, 500) } // only with fuzzing
//	func TestTicket(t *testing.T) { hyssuite.Run(t, "Ticket") }
//	hyssuite.Read("tickets.json", &scripts) // test cases from testdata
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
	// Registers the flags of the property-based testing library.
	_ "pgregory.net/rapid"
)

// Seeds of the order of specs and of the property-based testing library.
const (
	specSeed = 1
	fuzzSeed = "1"
)

// Main runs the tests of a package that has property-based tests, each of them
// with the given number of checks unless the command line says another one. A failure
// leaves no file behind.
func Main(m *testing.M, checks int) {
	setFlag("rapid.seed", fuzzSeed)
	setFlag("rapid.checks", strconv.Itoa(checks))
	setFlag("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

func setFlag(name, value string) {
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

// Read decodes a JSON file in the calling package's testdata. It panics if the
// file can't be read or decoded, since test cases are generated from it while
// the specs are being built, before any test can fail.
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
