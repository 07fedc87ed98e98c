package updates

import (
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/gaplink/gaplink/clock"
	"github.com/gaplink/gaplink/controller/registry"
	"github.com/gaplink/gaplink/packed"
	"github.com/gaplink/gaplink/peer"
	"github.com/gaplink/gaplink/store"
)

const (
	// maxList bounds a list of registrations, in bytes: some ten thousand servers.
	maxList = 16 << 20
	// listServes is how long a compressed list is reused: the routers of a fleet that start
	// together ask within a second or two.
	listServes = time.Second
)

// packedList is the last list of all registrations that was compressed for other routers. 3,000
// registrations are 900 KB, and 100 KB compressed.
type packedList struct {
	mu   sync.Mutex
	text []byte
	made time.Time
	// seq is the sequence number of the last change that it holds, and revision the store's
	// revision up to which it holds all changes.
	seq, revision int64
	// age is how old it was when it was made.
	age time.Duration
}

// listAll sets all registrations in an answer, as of the time at which the list was compressed.
func (c *Controller) listAll(answer *peer.UpdatesAnswer) error {
	c.list.mu.Lock()
	defer c.list.mu.Unlock()
	if c.list.text == nil || clock.Since(c.list.made) >= listServes {
		entries, last := c.Servers.All()
		text, err := packList(entries)
		if err != nil {
			return err
		}
		c.list.text, c.list.made = text, clock.Now()
		c.list.seq, c.list.revision, c.list.age = last, answer.Revision, answer.Ages.Servers
	}
	answer.All, answer.AllAge = c.list.text, clock.Since(c.list.made)
	answer.Ages.Servers = c.list.age + answer.AllAge
	answer.Seq, answer.Revision = c.list.seq, c.list.revision
	return nil
}

// receiveServers takes the registrations of an answer. A router that follows the store itself
// reads a list too: the list may hold changes that the store has not sent yet, and the next
// request asks only for those after it.
func (c *Controller) receiveServers(answer *peer.UpdatesAnswer) error {
	if answer.All == nil {
		c.Servers.TakeChanged(heard(answer.Servers, 0))
		return nil
	}
	list, err := unpackList(answer.All)
	if err != nil {
		return err
	}
	c.Servers.TakeListed(heard(list, max(answer.AllAge, 0)), answer.Revision)
	return nil
}

func packList(entries []registry.Heard) ([]byte, error) {
	text, err := msgpack.Marshal(registrations(entries))
	if err != nil {
		return nil, err
	}
	return packed.Pack(text)
}

func unpackList(text []byte) ([]peer.Registration, error) {
	text, err := packed.Unpack(text, maxList)
	if err != nil {
		return nil, err
	}
	var list []peer.Registration
	err = msgpack.Unmarshal(text, &list)
	return list, err
}

func registrations(entries []registry.Heard) []peer.Registration {
	list := make([]peer.Registration, 0, len(entries))
	for _, e := range entries {
		list = append(list, peer.Registration{Key: e.Key, Version: e.Version, Value: e.Value, Deleted: e.Deleted, Age: e.Age})
	}
	return list
}

// heard converts registrations that another router sent some time after it read them.
func heard(list []peer.Registration, since time.Duration) []registry.Heard {
	entries := make([]registry.Heard, 0, len(list))
	for _, r := range list {
		o := store.Object{Key: r.Key, Version: r.Version, Value: r.Value, Deleted: r.Deleted}
		entries = append(entries, registry.Heard{Object: o, Age: max(r.Age, 0) + since})
	}
	return entries
}
