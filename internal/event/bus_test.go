package event_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lentilbend.example/internal/event"
)

var _ = Describe("Bus", func() {
	It("delivers events in order to each subscriber of their type", func() {
		b := event.NewBus()
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		first, second := make(chan uint64, 100), make(chan uint64, 100)
		for _, c := range []chan uint64{first, second} {
			Expect(event.Subscribe(ctx, b, func(e event.TableAccepted) { c <- e.Revision })).To(Succeed())
		}
		for i := range uint64(100) {
			Expect(b.Publish(event.TableAccepted{Revision: i})).To(Succeed())
			Expect(b.Publish(event.ListRead{Revision: i})).To(Succeed())
		}
		for i := range uint64(100) {
			Eventually(first, "10s").Should(Receive(Equal(i)))
			Eventually(second, "10s").Should(Receive(Equal(i)))
		}
	})
})
