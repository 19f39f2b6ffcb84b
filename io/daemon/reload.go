package daemon

import (
	"reflect"

	"anvilstand/io/prefs"
)

// Reload takes settings that were read again. All of them are bound to
// listeners and to the identity of the process, so that changed ones are in
// force from the next start; the log says whether there are any.
func (d *Daemon) Reload(p *prefs.Prefs) {
	if reflect.DeepEqual(p, d.prefs) {
		d.log.Info("settings read again", "changed", false)
		return
	}
	d.log.Warn("settings read again", "changed", true, "inforce", "at the next start")
}
