//go:build !race

package cells

const every = 1
