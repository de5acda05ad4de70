package sim

import "time"

// dice is a stream of pseudo-random numbers (splitmix64, Steele, Lea and Flood 2014), written out so that a seed means
// the same under every release of Go. Streams for different uses are made apart, so that a draw more in one of them
// changes nothing in another.
type dice struct{ state uint64 }

// stream is one of the streams of a seed.
func stream(seed uint64, use string, n int) *dice {
	d := dice{seed ^ 0x5ca1ab1e0ddba11}
	for _, c := range []byte(use) {
		d.state ^= uint64(c)
		d.next()
	}
	d.state ^= uint64(n) << 1
	d.next()
	return &d
}

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

// in draws from least to most.
func (d *dice) in(least, most int) int { return least + d.n(most-least+1) }

// span draws a time in whole microseconds.
func (d *dice) span(least, most time.Duration) time.Duration {
	return least + time.Duration(d.n(int((most-least)/time.Microsecond)+1))*time.Microsecond
}

func (d *dice) share() float64 { return float64(d.next()>>11) / (1 << 53) }

func (d *dice) between(least, most float64) float64 { return least + (most-least)*d.share() }

func (d *dice) chance(p float64) bool { return d.share() < p }

// pick draws one of a list with weights.
func (d *dice) pick(weights ...int) int {
	sum := 0
	for _, w := range weights {
		sum += w
	}
	at := d.n(sum)
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return 0
}
