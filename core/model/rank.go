package model

// distinctRanks is the number of route ranks that stay distinct within each rank of
// organisations, and of organisation ranks that stay distinct from each other. All
// lower ranks count as the last of them. The two lowest of the nine combinations
// both become RankLowest.
const distinctRanks = 3

// Within returns the rank of a request on a route of rank r that comes from an
// organisation whose rank takes precedence: requests are ordered by the rank of
// their organisation and, where it is equal, by the rank of their route.
func (r Rank) Within(org Rank) Rank {
	return min(RankLowest, distinctRanks*min(org, distinctRanks-1)+min(r, distinctRanks-1))
}
