package model

// Order is a request's fixed position among those of its rank. Zero is shed
// last. It is set where the request enters and is the same along the chain.
type Order uint8

// Place is a request's position among all requests: its rank, then its order.
// A lower place is shed later.
type Place uint16

// Orders is the number of orders within a rank.
const Orders = 256

// Places is the number of places. As a level it admits every request.
const Places = Place(Orders * (int(RankLowest) + 1))

// PlaceOf returns the place of a rank and an order.
func PlaceOf(r Rank, o Order) Place { return Place(r)*Orders + Place(o) }

// Order returns the order within the rank.
func (p Place) Order() Order { return Order(p % Orders) }

// Rank returns the rank that the place lies in.
func (p Place) Rank() Rank { return Rank(p / Orders) }
