package model

// Order is a request's position among those of its rank. Zero is shed last. The
// daemon where the request enters sets it, and it stays the same along the call
// chain.
type Order uint8

// Position is a request's position among the requests of all ranks: by rank first,
// then by order. A lower number is shed later.
type Position uint16

// OrdersPerRank is the number of different orders within a rank.
const OrdersPerRank = 256

// PositionCount is the number of positions, one more than the largest. As an admission
// level it admits every request, because a level admits the positions below it.
const PositionCount = Position(OrdersPerRank * (int(RankLowest) + 1))

// PositionOf returns the position of the order o within the rank r.
func PositionOf(r Rank, o Order) Position { return Position(r)*OrdersPerRank + Position(o) }

// Order returns the position's order within its rank.
func (p Position) Order() Order { return Order(p % OrdersPerRank) }

// Rank returns the position's rank.
func (p Position) Rank() Rank { return Rank(p / OrdersPerRank) }
