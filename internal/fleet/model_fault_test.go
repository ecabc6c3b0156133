package fleet

import (
	"time"

	"pgregory.net/rapid"
)

// fault is one fault or repair.
type fault struct {
	At     int // milliseconds from the start of the faults
	Kind   string
	Host   int
	Target int
}

// faultKinds are the kinds of faults and repairs that the test injects.
var faultKinds = []string{
	"crash host", "start host", "pause host", "resume host", "isolate host", "cut host from instance",
	"crash instance", "start instance", "isolate instance", "heal", "store down", "store up", "lose answers", "stop host", "isolate pair", "strand instance",
}

// inject applies one fault.
func (c *checker) inject(f fault) {
	host := c.hostIDs()[f.Host]
	target := c.instanceIDs()[f.Target]
	switch f.Kind {
	case "crash host":
		c.hosts[host].down = true
	case "start host":
		if c.hosts[host].down {
			c.startHost(host)
		}
	case "pause host":
		c.hosts[host].paused = true
	case "resume host":
		c.resume(host)
	case "isolate host":
		c.isolate(string(host))
	case "cut host from instance":
		c.cutLinks[[2]string{string(host), string(target)}] = true
	case "crash instance":
		c.instances[target].down = true
	case "start instance":
		c.instances[target].down = false
	case "isolate instance":
		c.isolate(string(target))
	case "heal":
		c.heal()
	case "store down":
		c.store.down = true
	case "store up":
		c.store.down = false
	case "lose answers":
		c.store.answersToLose = 2
	case "isolate pair":
		c.isolatePair(string(host), string(target))
	case "strand instance":
		c.strandInstance(string(host), string(target))
	case "stop host":
		c.deliver(c.hosts[host], c.hosts[host].machine, Stop{})
	}
}

// strandInstance cuts all hosts but one off from an instance, and that host off from the other hosts but not from the other instances.
func (c *checker) strandInstance(host, target string) {
	for _, id := range c.hostIDs() {
		if string(id) != host {
			c.cutLink(string(id), host)
			c.cutLink(string(id), target)
		}
	}
}

// isolatePair cuts one host and one instance off from all other nodes.
func (c *checker) isolatePair(host, target string) {
	names := []string{"store"}
	for _, id := range c.hostIDs() {
		names = append(names, string(id))
	}
	for _, id := range c.instanceIDs() {
		names = append(names, string(id))
	}
	for _, name := range names {
		if name != host && name != target {
			for _, inside := range []string{host, target} {
				c.cutLinks[[2]string{inside, name}] = true
				c.cutLinks[[2]string{name, inside}] = true
			}
		}
	}
}

// healAll ends all faults and restarts every host.
func (c *checker) healAll() {
	c.heal()
	c.store.down = false
	c.store.answersToLose = 0
	for _, id := range c.instanceIDs() {
		c.instances[id].down = false
	}
	for _, id := range c.hostIDs() {
		c.resume(id)
		c.hosts[id].down = true
		c.startHost(id)
	}
}

// drawFaults draws a random schedule of faults.
func drawFaults(t *rapid.T) []fault {
	one := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			At:     rapid.IntRange(0, int(faultPeriod/time.Millisecond)).Draw(t, "at"),
			Kind:   rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			Host:   rapid.IntRange(0, 2).Draw(t, "host"),
			Target: rapid.IntRange(0, 2).Draw(t, "target"),
		}
	})
	return rapid.SliceOfN(one, 1, 12).Draw(t, "faults")
}
