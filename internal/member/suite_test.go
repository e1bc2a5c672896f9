package member_test

import (
	"flag"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

func TestMember(t *testing.T) {
	for name, v := range map[string]string{"rapid.seed": "1", "rapid.checks": "1500", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, v)
		}
	}
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "member")
}
