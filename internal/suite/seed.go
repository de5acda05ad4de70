package suite

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// Draw draws a script from a seed: some messages of all classes, endpoints that meet them with any fault of the table of
// outcomes, and a world in which endpoints come, go, are down and up. (Restarts take other times the two ways; scripts by hand have these.) What follows one another
// does so 40 ms apart, so that the ways through, which differ by a few milliseconds, meet the same things.
func Draw(seed uint64) string {
	d := rand.New(rand.NewPCG(seed, 0x5eed))
	chance := func(p float64) bool { return d.Float64() < p }
	var b strings.Builder
	fmt.Fprintf(&b, "settings tries=%d slots=%d settle=%dms\n", 2+d.IntN(4), 2+d.IntN(6), 100*(1+d.IntN(4)))
	names := []string{"a", "b", "c"}[:1+d.IntN(3)]
	for i, n := range names {
		later := ""
		if i > 0 && chance(0.2) {
			later = " later"
		}
		fmt.Fprintf(&b, "endpoint %s%s\n", n, later)
	}
	// What a call meets before its last byte has come it can meet only where that can be kept from coming.
	allBig := chance(0.25)
	meeting := func() string {
		k := kinds[d.IntN(len(kinds))]
		for (Meeting{Kind: k}).early() && !allBig {
			k = kinds[d.IntN(len(kinds))]
		}
		switch k {
		case "wait", "pushback":
			k += fmt.Sprintf("=%dms", 150+50*d.IntN(10))
		case "ok":
			if chance(0.3) {
				k += fmt.Sprintf("=%dms", 50+50*d.IntN(6))
			}
		}
		return k
	}
	for _, n := range names {
		for count := range 3 {
			if chance(0.5) {
				fmt.Fprintf(&b, "on %s %d %s\n", n, count+1, meeting())
			}
		}
		if chance(0.3) {
			fmt.Fprintf(&b, "on %s * %s\n", n, meeting())
		}
	}
	at := 10 * time.Millisecond
	type line struct {
		at   time.Duration
		text string
	}
	var lines []line
	add := func(format string, args ...any) {
		at += time.Duration(1+d.IntN(4)) * 40 * time.Millisecond
		lines = append(lines, line{at, fmt.Sprintf(format, args...)})
	}
	classes := []string{"free", "keyed", "unsafe", "ordered"}
	for m := range 1 + d.IntN(4) {
		big := ""
		if allBig {
			big = " big"
		}
		add("call m%d %s time=%dms%s", m, classes[d.IntN(len(classes))], 1500+500*d.IntN(8), big)
		for range d.IntN(3) {
			n := names[d.IntN(len(names))]
			switch d.IntN(6) {
			case 0:
				add("list %s leaving", n)
			case 1:
				add("list %s gone", n)
			case 2:
				add("list %s active", n)
			case 3:
				add("down %s", n)
			case 4:
				add("up %s", n)
			case 5:
				add("cancel m%d", d.IntN(m+1))
			}
		}
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at < lines[j].at })
	for _, l := range lines {
		fmt.Fprintf(&b, "%v %s\n", l.at, l.text)
	}
	fmt.Fprintln(&b, "until 9s")
	return b.String()
}
