package store_test

import (
	"fmt"

	"github.com/go-kit/log"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/event"
	"lentilbend.example/internal/platformpb"

	"lentilbend.example/lentilbend/internal/store"
)

func newStore() *store.Store {
	return &store.Store{Bus: event.NewBus(), Logger: log.NewNopLogger()}
}

// values is a small valid table.
func values(revision uint64) []*platformpb.Value {
	return []*platformpb.Value{
		{Name: "DataCentres", Revision: revision, Text: "DataCentre = []"},
		{Name: "Routes", Revision: revision, Text: "Route = []"},
		workspaces(revision, "a"),
	}
}

func workspaces(revision uint64, name string) *platformpb.Value {
	return &platformpb.Value{
		Name:     "Workspaces",
		Revision: revision,
		Text:     fmt.Sprintf("[[Workspace]]\nName = %q\nKeyDigests = []\n", name),
	}
}

func answer(revision uint64, vs ...*platformpb.Value) *platformpb.ValuesAnswer {
	return &platformpb.ValuesAnswer{Revision: revision, Values: vs}
}

// holder returns the name of the only workspace in force.
func holder(s *store.Store) string {
	return s.Table().Workspaces[0].Name
}

var _ = Describe("Store", func() {
	It("puts a valid revision in force and keeps it when a later one is invalid", func() {
		s := newStore()
		s.ApplyPlatform(0, answer(1, values(1)...))
		Expect(holder(s)).To(Equal("a"))
		s.ApplyPlatform(1, answer(2, &platformpb.Value{Name: "Routes", Revision: 2, Text: "Route = 3"}))
		Expect(s.Table().Revision).To(Equal(uint64(1)))
		Expect(s.Newest()).To(Equal(uint64(2)))
		Expect(s.Dump().(store.Dump).Refused.Findings).To(HaveLen(1))
		s.ApplyPlatform(2, answer(3, &platformpb.Value{Name: "Routes", Revision: 3, Text: "Route = []"}))
		Expect(s.Table().Revision).To(Equal(uint64(3)))
	})

	It("never goes back, whatever the platform or a peer answers", func() {
		s := newStore()
		s.ApplyPlatform(0, answer(5, append(values(1), workspaces(5, "new"))...))
		s.ApplyPlatform(0, answer(4, values(1)...))
		s.ApplyPlatform(4, answer(6, workspaces(6, "from a later start")))
		Expect(s.ApplyPeer(0, store.Version{Revision: 3, Digest: 1}, values(3))).To(BeTrue())
		Expect(s.Table().Revision).To(Equal(uint64(5)))
		Expect(holder(s)).To(Equal("new"))
	})

	It("reaches the same version through peers as through the platform", func() {
		a, b := newStore(), newStore()
		a.ApplyPlatform(0, answer(1, values(1)...))
		b.ApplyPlatform(0, answer(1, values(1)...))
		a.ApplyPlatform(1, answer(2, workspaces(2, "b")))
		a.ApplyPlatform(2, answer(3, &platformpb.Value{Name: "Routes", Revision: 3, Text: "bad"}))
		v, vs := a.Since(1)
		Expect(v.Revision).To(Equal(uint64(2)))
		Expect(vs).To(HaveLen(1))
		Expect(b.ApplyPeer(1, v, vs)).To(BeTrue())
		Expect(b.Accepted()).To(Equal(a.Accepted()))
	})

	It("asks for all values when a peer's changes do not fit", func() {
		a, b := newStore(), newStore()
		a.ApplyPlatform(0, answer(1, values(1)...))
		b.ApplyPlatform(0, answer(1, append(values(1), workspaces(1, "other"))...))
		a.ApplyPlatform(1, answer(2, &platformpb.Value{Name: "Routes", Revision: 2, Text: "Route = [] # x"}))
		v, vs := a.Since(1)
		Expect(b.ApplyPeer(1, v, vs)).To(BeFalse())
		Expect(holder(b)).To(Equal("other"))
		v, vs = a.Since(0)
		Expect(b.ApplyPeer(0, v, vs)).To(BeTrue())
		Expect(holder(b)).To(Equal("a"))
	})

	It("checks what a peer relays as if the platform had sent it", func() {
		a, b := newStore(), newStore()
		a.ApplyPlatform(0, answer(1, values(1)...))
		v, vs := a.Since(0)
		vs[0].Text = "DataCentre = 1"
		Expect(b.ApplyPeer(0, v, vs)).To(BeFalse())
		Expect(b.Table()).To(BeNil())
	})

	It("takes deleted values out", func() {
		s := newStore()
		s.ApplyPlatform(0, answer(1, append(values(1),
			&platformpb.Value{Name: "Services/x", Revision: 1, Text: "Slots = 0"})...))
		Expect(s.Table()).To(BeNil())
		s.ApplyPlatform(1, answer(2, &platformpb.Value{Name: "Services/x", Revision: 2, Deleted: true}))
		Expect(s.Table()).NotTo(BeNil())
	})
})
