//go:build race

package cells

// subsetStride is how many cells stand for one under the race detector, which is ten
// times slower. The part is the same each time, and has subsetStride step and fault.
const subsetStride = 3
