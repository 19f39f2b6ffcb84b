//go:build !race

package cells

// subsetStride of one runs every cell.
const subsetStride = 1
