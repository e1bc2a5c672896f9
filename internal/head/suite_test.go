package head_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHead(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "head")
}
