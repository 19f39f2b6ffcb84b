package ctrl

import (
	"slices"

	"anvilstand/core/conf"
	"anvilstand/core/model"
)

// Configured brings a whole configuration that the operators keep elsewhere
// than in the project's own line of revisions.
type Configured struct{ config *conf.Config }

// Evacuated brings the failure domains that are out of service, beside a
// configuration of the operators' own.
type Evacuated struct{ out []model.Domain }

func (Configured) isCommand() {}
func (Evacuated) isCommand()  {}

// NewConfigured returns the command that brings a configuration.
func NewConfigured(c *conf.Config) Configured { return Configured{config: c} }

// NewEvacuated returns the command that brings the failure domains that are out
// of service.
func NewEvacuated(out []model.Domain) Evacuated { return Evacuated{out: out} }

// given is a configuration from elsewhere. The zero value holds none.
type given struct {
	config *conf.Config // as it came
	out    []model.Domain
	force  *conf.Config // with the domains that are out
}

// configure takes a configuration, unless a later one is in force.
func (g *given) configure(c *conf.Config) {
	if g.config != nil && c.Revision() <= g.config.Revision() {
		return
	}
	g.config = c
	g.merge()
}

func (g *given) evacuate(out []model.Domain) {
	if slices.Equal(g.out, out) {
		return
	}
	g.out = slices.Clone(out)
	if g.config != nil {
		g.merge()
	}
}

func (g *given) merge() {
	d := conf.Edit(g.config)
	for _, name := range g.out {
		d.SetDomain(name, true)
	}
	g.force = d.Commit(g.config.Revision())
}

// config returns the configuration in force.
func (l *Loop) config() *conf.Config {
	if l.given.force != nil {
		return l.given.force
	}
	return l.node.Config()
}
