package oper

// registerMetrics adds metrics that are read from the newest view of the control
// state at each scrape.
func (o *Oper) registerMetrics() {
	o.meter.CounterFunc("faults_total", "Changes and records refused because they do not read or apply.",
		func() float64 { return float64(o.loop.View().RefusedCount()) })
	o.meter.GaugeFunc("revision", "Revision of the configuration in force here.",
		func() float64 { return float64(o.loop.View().Config().Revision()) })
	o.meter.GaugeFunc("members", "Daemons known.",
		func() float64 { return float64(len(o.loop.View().Members())) })
	o.meter.GaugeFunc("leftout", "Daemons known that have ended or refuse connections.",
		func() float64 { return float64(len(o.loop.View().LeftOut())) })
	o.meter.GaugeFunc("doubled", "Names that more than one process claims.",
		func() float64 { return float64(len(o.loop.View().DuplicateNames())) })
	o.meter.GaugeFunc("outside_seconds", "Time since the failure domain heard from the store or another domain.",
		func() float64 { return o.loop.View().IsolatedFor().Seconds() })
	o.meter.GaugeFunc("watcher", "Whether the daemon follows the store for its failure domain.", func() float64 {
		if _, ok := o.loop.View().WatcherIndex(); ok {
			return 1
		}
		return 0
	})
}
