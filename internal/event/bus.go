package event

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
)

// Bus publishes events to subscribers. Create it with NewBus.
type Bus struct {
	channel *gochannel.GoChannel
}

// NewBus returns a bus that delivers the events of one publisher in the order in
// which they were published.
func NewBus() *Bus {
	c := gochannel.Config{BlockPublishUntilSubscriberAck: true}
	return &Bus{channel: gochannel.NewGoChannel(c, watermill.NopLogger{})}
}

// Publish sends an event to every subscriber of its type. It blocks until each
// subscriber has received the event, but does not wait for its handling.
func (b *Bus) Publish(e Event) error {
	p, err := json.Marshal(e)
	if err != nil {
		return fmt.Errorf("event: encode %s: %w", e.topic(), err)
	}
	m := message.NewMessage(watermill.NewShortUUID(), p)
	if err := b.channel.Publish(e.topic(), m); err != nil {
		return fmt.Errorf("event: publish %s: %w", e.topic(), err)
	}
	return nil
}

// Close ends all subscriptions.
func (b *Bus) Close() error {
	return b.channel.Close()
}

// Subscribe calls f with every event of type E until ctx is done. Calls do not
// overlap.
func Subscribe[E Event](ctx context.Context, b *Bus, f func(E)) error {
	var zero E
	ms, err := b.channel.Subscribe(ctx, zero.topic())
	if err != nil {
		return fmt.Errorf("event: subscribe to %s: %w", zero.topic(), err)
	}
	go func() {
		for m := range ms {
			m.Ack()
			var e E
			if json.Unmarshal(m.Payload, &e) == nil {
				f(e)
			}
		}
	}()
	return nil
}
