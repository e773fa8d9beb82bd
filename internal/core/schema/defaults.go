package schema

// Defaults of fields that are left out.
const (
	DefaultColdLimit         = 2
	DefaultMaxLimit          = 64
	DefaultShare             = 1.0
	DefaultWorkloadTimeoutMS = 60_000
	DefaultServiceTimeoutMS  = 10_000
	DefaultKeyWindowMS       = 3_600_000
)

// SetDefaults fills in the fields that are left out.
func (d *Domain) SetDefaults() { setDefault(&d.State, In) }

// SetDefaults fills in the fields that are left out.
func (t *Target) SetDefaults() {
	setDefault(&t.State, In)
	setDefault(&t.Kind, ModelTarget)
	setDefault(&t.ColdLimit, DefaultColdLimit)
	setDefault(&t.MaxLimit, max(DefaultMaxLimit, t.ColdLimit))
}

// SetDefaults fills in the fields that are left out.
func (t *Team) SetDefaults() { setDefault(&t.Share, DefaultShare) }

// SetDefaults fills in the fields that are left out.
func (w *Workload) SetDefaults() {
	setDefault(&w.Class, Interactive)
	setDefault(&w.TimeoutMS, DefaultWorkloadTimeoutMS)
}

// SetDefaults fills in the fields that are left out, those of the routes
// included.
func (s *Service) SetDefaults() {
	setDefault(&s.TimeoutMS, DefaultServiceTimeoutMS)
	setDefault(&s.KeyWindowMS, DefaultKeyWindowMS)
	for i := range s.Routes {
		setDefault(&s.Routes[i].Class, Interactive)
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
