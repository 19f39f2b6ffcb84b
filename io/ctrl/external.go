package ctrl

import (
	"slices"

	"anvilstand/core/conf"
	"anvilstand/core/model"
)

// Configured carries a configuration that operators keep outside of anvilstand,
// instead of in its configuration history.
type Configured struct{ config *conf.Config }

// Evacuated carries the failure domains that are out of service. They apply to
// a configuration that is kept outside of anvilstand.
type Evacuated struct{ out []model.Domain }

// Confirmed reports that the store has confirmed a version of the configuration that is
// kept outside of anvilstand to be that of its last change.
type Confirmed struct{ version uint64 }

func (Configured) isCommand() {}
func (Evacuated) isCommand()  {}
func (Confirmed) isCommand()  {}

// NewConfirmed returns the command for a confirmed version, which is greater than zero.
func NewConfirmed(version uint64) Confirmed { return Confirmed{version: version} }

// NewConfigured returns the command for a configuration. Handling it has no effect
// unless the revision is higher than that of the last such configuration.
func NewConfigured(c *conf.Config) Configured { return Configured{config: c} }

// NewEvacuated returns the command for the failure domains that are out of
// service; domains that are not listed are in service.
func NewEvacuated(out []model.Domain) Evacuated { return Evacuated{out: out} }

// external is the configuration kept outside of anvilstand. Once there is one,
// it is in force instead of the configuration history. The zero value has none.
type external struct {
	config *conf.Config // as received
	out    []model.Domain
	merged *conf.Config // config with the domains in out marked as out of service
}

// configure takes a configuration with a higher revision than the present one.
func (x *external) configure(c *conf.Config) {
	if x.config != nil && c.Revision() <= x.config.Revision() {
		return
	}
	x.config = c
	x.merge()
}

func (x *external) evacuate(out []model.Domain) {
	if slices.Equal(x.out, out) {
		return
	}
	x.out = slices.Clone(out)
	if x.config != nil {
		x.merge()
	}
}

func (x *external) merge() {
	d := conf.Edit(x.config)
	for _, name := range x.out {
		d.SetDomain(name, true)
	}
	x.merged = d.Build(x.config.Revision())
}

// config returns the configuration in force.
func (l *Loop) config() *conf.Config {
	if l.external.merged != nil {
		return l.external.merged
	}
	return l.node.Config()
}
