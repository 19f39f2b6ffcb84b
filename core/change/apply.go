package change

import (
	"github.com/go-faster/errors"

	"anvilstand/core/conf"
	"anvilstand/core/model"
)

// MaxKeys is the largest number of keys that an organisation can have at a time.
// Two allow it to rotate a key without an interruption. The text of ErrTooManyKeys
// contains the number.
const MaxKeys = 2

// Errors of Apply.
var (
	// ErrExists means that the object to create exists already.
	ErrExists = errors.New("exists already")
	// ErrNotFound means that the object to change does not exist.
	ErrNotFound = errors.New("does not exist")
	// ErrTooManyKeys means that the organisation already has MaxKeys keys.
	ErrTooManyKeys = errors.New("holds two keys already, withdraw one first")
	// ErrKeyTaken means that the key is granted already, to the same
	// organisation or another one.
	ErrKeyTaken = errors.New("is granted already")
)

// Apply returns the configuration with revision rev that results from applying a
// batch of changes to c in order. If one change does not apply, Apply returns an
// error that names it and shows keys as the first digits of their digests. c
// itself stays as it is.
func Apply(c *conf.Config, batch []Change, rev model.Revision) (*conf.Config, error) {
	d := conf.Edit(c)
	for i, ch := range batch {
		if err := applyChange(d, ch); err != nil {
			return nil, errors.Wrapf(err, "apply change %d (%s)", i+1, summaryOf(ch))
		}
	}
	return d.Build(rev), nil
}

func applyChange(d *conf.Draft, ch Change) error {
	switch ch := ch.(type) {
	case AddOrg:
		return addOrg(d, ch)
	case SetOrg:
		return setOrg(d, ch)
	case DropOrg:
		return dropOrg(d, ch)
	case Grant:
		return grant(d, ch)
	case Withdraw:
		return withdraw(d, ch)
	case AddService:
		d.PutService(ch.name)
	case DropService:
		return dropService(d, ch)
	case PutRoute:
		return putRoute(d, ch)
	case DropRoute:
		return dropRoute(d, ch)
	case SetDomain:
		d.SetDomain(ch.name, ch.out)
	case SetTarget:
		d.SetTarget(ch.name, ch.out)
	}
	return nil
}

func addOrg(d *conf.Draft, ch AddOrg) error {
	if _, ok := d.Current().Org(ch.name); ok {
		return errors.Wrapf(ErrExists, "organisation %s", ch.name)
	}
	d.PutOrg(ch.name, ch.org)
	return nil
}

func setOrg(d *conf.Draft, ch SetOrg) error {
	o, ok := d.Current().Org(ch.name)
	if !ok {
		return errors.Wrapf(ErrNotFound, "organisation %s", ch.name)
	}
	if ch.rate != nil {
		o = o.WithRate(*ch.rate, o.Burst())
	}
	if ch.burst != nil {
		o = o.WithRate(o.Rate(), *ch.burst)
	}
	if ch.rank != nil {
		o = o.WithRank(*ch.rank)
	}
	if ch.isolationRule != nil {
		o = o.WithIsolationRule(ch.isolationRule)
	}
	d.PutOrg(ch.name, o)
	return nil
}

func dropOrg(d *conf.Draft, ch DropOrg) error {
	if _, ok := d.Current().Org(ch.name); !ok {
		return errors.Wrapf(ErrNotFound, "organisation %s", ch.name)
	}
	d.DropOrg(ch.name)
	return nil
}

func grant(d *conf.Draft, ch Grant) error {
	o, ok := d.Current().Org(ch.org)
	if !ok {
		return errors.Wrapf(ErrNotFound, "organisation %s", ch.org)
	}
	if _, taken := d.Current().OrgByKey(ch.key); taken {
		return errors.Wrap(ErrKeyTaken, "key")
	}
	if len(o.Keys()) >= MaxKeys {
		return errors.Wrapf(ErrTooManyKeys, "organisation %s", ch.org)
	}
	d.AddKey(ch.org, ch.key)
	return nil
}

func withdraw(d *conf.Draft, ch Withdraw) error {
	if _, ok := d.Current().OrgByKey(ch.key); !ok {
		return errors.Wrap(ErrNotFound, "key")
	}
	d.DropKey(ch.key)
	return nil
}

func dropService(d *conf.Draft, ch DropService) error {
	if _, ok := d.Current().Service(ch.name); !ok {
		return errors.Wrapf(ErrNotFound, "service %s", ch.name)
	}
	d.DropService(ch.name)
	return nil
}

func putRoute(d *conf.Draft, ch PutRoute) error {
	if _, ok := d.Current().Service(ch.service); !ok {
		return errors.Wrapf(ErrNotFound, "service %s", ch.service)
	}
	d.PutRoute(ch.service, ch.route)
	return nil
}

func dropRoute(d *conf.Draft, ch DropRoute) error {
	if _, ok := d.Current().Service(ch.service); !ok {
		return errors.Wrapf(ErrNotFound, "service %s", ch.service)
	}
	d.DropRoute(ch.service, ch.route)
	return nil
}
