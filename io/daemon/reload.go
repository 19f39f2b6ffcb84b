package daemon

import (
	"reflect"

	"anvilstand/io/prefs"
)

// Reload logs whether settings that were read again differ from those in use.
// Every setting is bound to a listener or to the identity of the process, so
// changed settings take effect only at the next start.
func (d *Daemon) Reload(settings *prefs.Settings) {
	if reflect.DeepEqual(settings, d.settings) {
		d.log.Info("settings read again", "changed", false)
		return
	}
	d.log.Warn("settings read again", "changed", true, "inforce", "at the next start")
}
