package model

// subranks is the number of ranks of routes that are told apart within a rank
// of organisations.
const subranks = 3

// Within returns the rank of a route's request for an organisation whose rank
// goes first: requests of a more important organisation go before all others,
// and those of equal ones go by their routes.
func (r Rank) Within(org Rank) Rank {
	return min(RankLowest, subranks*min(org, subranks-1)+min(r, subranks-1))
}
