package lists

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"geraniumnotch.example/geraniumnotch/mesh"
)

// Compile validates the lists and returns their compiled form. The error is a
// *ProblemsError with every problem; the problems have no line numbers.
func Compile(l Lists) (*Config, error) {
	found := &problems{}
	config := compile(l, nil, found)
	if err := found.err(); err != nil {
		return nil, err
	}
	return config, nil
}

// compiler builds a Config and collects the problems of all entries.
type compiler struct {
	lists Lists
	// positions is nil when the lists did not come from text.
	positions map[EntryKey]entryLines
	problems  *problems
	config    *Config
	// prefixes holds the route that last had a path prefix of a plan.
	prefixes map[prefixKey]EntryKey
}

// prefixKey identifies a path prefix within a plan.
type prefixKey struct {
	plan   mesh.PlanName
	prefix string
}

// compile compiles l and adds its problems to found. The Config may be used only
// when l has no problems.
func compile(l Lists, positions map[EntryKey]entryLines, found *problems) *Config {
	c := &compiler{
		lists: l, positions: positions, problems: found, prefixes: map[prefixKey]EntryKey{},
		config: &Config{
			Customers: map[mesh.CustomerID]*Customer{},
			ByToken:   map[[32]byte]*Customer{},
			Plans:     map[mesh.PlanName]*Plan{},
			Services:  map[mesh.ServiceName]*Service{},
			Routes:    map[mesh.RouteName]*Route{},
		},
	}
	c.checkSize()
	keys := l.Keys()
	compileEntry := map[EntryKind]func(EntryKey, *reader){
		KindPlan: c.compilePlan, KindService: c.compileService, KindRoute: c.compileRoute, KindCustomer: c.compileCustomer,
	}
	for _, kind := range []EntryKind{KindPlan, KindService, KindRoute, KindCustomer} {
		for _, key := range keys {
			if key.Kind == kind {
				compileEntry[kind](key, c.newReader(key))
			}
		}
	}
	c.reportUnknownKinds(keys)
	c.sortRoutes()
	return c.config
}

func (c *compiler) checkSize() {
	if len(c.lists) > MaxEntries {
		c.problems.add(Problem{
			List: ListAllowances, Value: fmt.Sprint(len(c.lists)),
			Expectation: fmt.Sprintf("at most %d entries in both lists", MaxEntries),
		})
	}
}

// newReader checks the list, the name and the field names of an entry and
// returns a reader of its fields.
func (c *compiler) newReader(key EntryKey) *reader {
	r := &reader{key: key, fields: c.lists[key], lines: c.positions[key], problems: c.problems}
	schema := schemas[key.Kind]
	if key.List != schema.list {
		r.addProblem("", string(key.List), "the list "+string(schema.list))
	}
	if !schema.name.MatchString(key.Name) {
		r.addProblem("", "", schema.nameExpectation)
	}
	for _, field := range slices.Sorted(maps.Keys(r.fields)) {
		if !slices.Contains(schema.fields, field) {
			r.addProblem(field, r.fields[field], "one of the keys "+strings.Join(schema.fields, ", "))
		}
	}
	return r
}

// reportUnknownKinds adds a problem for every entry of an unknown kind.
func (c *compiler) reportUnknownKinds(keys []EntryKey) {
	for _, key := range keys {
		if _, known := schemas[key.Kind]; !known {
			r := &reader{key: key, lines: c.positions[key], problems: c.problems}
			r.addProblem("", "", kindsExpectation(key.List))
		}
	}
}

func (c *compiler) compilePlan(key EntryKey, r *reader) {
	name := mesh.PlanName(key.Name)
	c.config.Plans[name] = &Plan{
		Name:          name,
		RatePerSecond: r.float(FieldRatePerSecond, minRate, MaxRate, nil),
		Burst:         r.integer(FieldBurst, 1, MaxBurst, nil),
		Concurrency:   r.integer(FieldConcurrency, 1, MaxConcurrency, nil),
	}
}

func (c *compiler) compileService(key EntryKey, r *reader) {
	name := mesh.ServiceName(key.Name)
	c.config.Services[name] = &Service{
		Name:       name,
		OtherShare: r.float(FieldOtherShare, 0, 0.9, new(DefaultOtherShare)),
		LongShare:  r.float(FieldLongShare, 0.05, 0.9, new(DefaultLongShare)),
		MaxQueue:   r.integer(FieldMaxQueue, 0, MaxQueueLimit, new(DefaultMaxQueue)),
	}
}

func (c *compiler) compileRoute(key EntryKey, r *reader) {
	route := &Route{
		Name:       mesh.RouteName(key.Name),
		PathPrefix: r.pathPrefix(FieldPathPrefix),
		Rank:       r.rank(FieldRank),
		Deadline:   r.duration(FieldDeadline, MinDeadline, MaxDeadline),
		Repeatable: r.boolean(FieldRepeatable),
		Keyed:      r.boolean(FieldKeyed),
		Long:       r.boolean(FieldLong),
	}
	if route.Keyed && route.Repeatable {
		r.addProblem(FieldKeyed, r.fields[FieldKeyed], "keyed or repeatable, not both")
	}
	service := r.text(FieldService)
	route.Service = c.config.Services[mesh.ServiceName(service)]
	if route.Service == nil && service != "" {
		r.addProblem(FieldService, service, "a service of the allowances list")
	}
	c.config.Routes[route.Name] = route
	c.addRouteToPlan(key, r, route)
}

// addRouteToPlan adds the route to the plan whose name stands before the slash
// in the route's name, and checks that its path prefix is unique in the plan.
func (c *compiler) addRouteToPlan(key EntryKey, r *reader, route *Route) {
	planName, _, ok := strings.Cut(key.Name, "/")
	if !ok {
		return // newReader has reported the name.
	}
	plan := c.config.Plans[mesh.PlanName(planName)]
	if plan == nil {
		r.addProblem("", "", fmt.Sprintf("a plan %q in the allowances list", planName))
		return
	}
	plan.Routes = append(plan.Routes, route)
	prefix := prefixKey{plan: plan.Name, prefix: route.PathPrefix}
	if other, duplicate := c.prefixes[prefix]; duplicate && route.PathPrefix != "" {
		r.addProblem(FieldPathPrefix, route.PathPrefix,
			fmt.Sprintf("a path prefix that no other route of the plan has, [%s] has it", other))
	}
	c.prefixes[prefix] = key
}

func (c *compiler) compileCustomer(key EntryKey, r *reader) {
	customer := &Customer{ID: mesh.CustomerID(key.Name), TokenSHA256: r.sha256(FieldTokenSHA256)}
	plan := r.text(FieldPlan)
	customer.Plan = c.config.Plans[mesh.PlanName(plan)]
	if customer.Plan == nil && plan != "" {
		r.addProblem(FieldPlan, plan, "a plan of the allowances list")
	}
	c.config.Customers[customer.ID] = customer
	if customer.TokenSHA256 == ([32]byte{}) {
		return // The hash is missing or malformed and has been reported.
	}
	if other := c.config.ByToken[customer.TokenSHA256]; other != nil {
		r.addProblem(FieldTokenSHA256, r.fields[FieldTokenSHA256],
			fmt.Sprintf("a token of its own, customer %s has the same", other.ID))
	}
	c.config.ByToken[customer.TokenSHA256] = customer
}

// sortRoutes sorts the routes of each plan by descending length of the path
// prefix, as Match requires, and by name.
func (c *compiler) sortRoutes() {
	for _, plan := range c.config.Plans {
		slices.SortFunc(plan.Routes, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)), cmp.Compare(a.Name, b.Name))
		})
	}
}
