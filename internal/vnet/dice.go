package vnet

// dice is a stream of pseudo-random numbers (splitmix64, Steele, Lea and Flood 2014). It is written out here since
// replays must be the same under every release of Go.
type dice struct{ state uint64 }

func (d *dice) next() uint64 {
	d.state += 0x9e3779b97f4a7c15
	z := d.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// n draws from 0 to n-1; 0 if n is less than 2.
func (d *dice) n(n int) int {
	if n < 2 {
		return 0
	}
	return int(d.next() >> 1 % uint64(n))
}

// chance is true in a share p of the draws.
func (d *dice) chance(p float64) bool { return p > 0 && float64(d.next()>>11)/(1<<53) < p }
