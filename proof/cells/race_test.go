//go:build race

package cells

// every is how many cells stand for one under the race detector, which is ten
// times slower. The part is the same each time, and has every step and fault.
const every = 3
