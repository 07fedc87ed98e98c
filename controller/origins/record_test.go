package origins_test

import (
	"testing"
	"time"
)

// Guards against a process that has stood still for longer than streams are remembered and removes a version from the record that
// has served meanwhile: it is asked for a stream before it has noticed the gap.
func TestProcessThatStoodStillRemovesNoVersion(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		net := newNetwork(t, 2, "v1", "v2")
		still, awake := net.all[0], net.all[1]
		net.release("v2")
		net.run(100 * time.Second)
		for i := range 340 { // 85 s
			if i == 320 {
				awake.known.set("v1", "v2")
			}
			awake.control.Tick()
			time.Sleep(250 * time.Millisecond)
		}
		awake.begin("s", "v1")
		for _, r := range net.all {
			r.known.set("v2")
		}
		still.find("another")
		net.run(2 * time.Second)
		net.restartAll(time.Second, "v2")
		net.expectNoOther(t, []string{"s"}, "v1")
	})
}
