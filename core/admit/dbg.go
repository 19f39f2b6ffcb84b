package admit

func (g *Gate) Dbg() { g.limiter.dbg = true }
