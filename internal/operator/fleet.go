package operator

import "fmt"

// Fleet is what a dispatcher is told of the others.
type Fleet struct {
	Instances int `toml:"instances"` // how many dispatchers there are, this one counted; in place of the site's settings
}

const mostInstances = 100_000

func (f *File) checkFleet() error {
	if n := f.Fleet; n != nil && (n.Instances < 1 || n.Instances > mostInstances) {
		return fmt.Errorf("fleet.instances: %d is out of range, 1 to %d", n.Instances, mostInstances)
	}
	return nil
}
