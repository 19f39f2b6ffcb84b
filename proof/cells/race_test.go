//go:build race

package cells

// subsetStride is the stride of subset. The race detector makes a cell ten times
// slower, so one cell in three runs: the same ones each time, with every step
// and every fault among them.
const subsetStride = 3
