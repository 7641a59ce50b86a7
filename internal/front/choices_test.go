package front

// choices enumerates the ways in which a play can go: each call of next goes on to the next one.
type choices struct {
	path, widths []int
	at           int
}

func (c *choices) choose(width int) int {
	if c.at == len(c.path) {
		c.path, c.widths = append(c.path, 0), append(c.widths, width)
	}
	c.widths[c.at] = width
	c.at++
	return c.path[c.at-1]
}

// next prepares the next play and reports whether there is one.
func (c *choices) next() bool {
	c.path, c.at = c.path[:c.at], 0
	for n := len(c.path) - 1; n >= 0; n-- {
		if c.path[n]++; c.path[n] < c.widths[n] {
			c.path, c.widths = c.path[:n+1], c.widths[:n+1]
			return true
		}
	}
	return false
}
