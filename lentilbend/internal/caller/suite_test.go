package caller

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCaller(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "caller")
}
