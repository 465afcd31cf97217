package lists

import (
	"cmp"
	"regexp"
	"slices"
	"strings"

	"github.com/samber/lo"
)

// Field names of the entries.
const (
	FieldPlan          = "plan"
	FieldTokenSHA256   = "token-sha256"
	FieldRatePerSecond = "rate-per-second"
	FieldBurst         = "burst"
	FieldConcurrency   = "concurrency"
	FieldOtherShare    = "other-share"
	FieldLongShare     = "long-share"
	FieldMaxQueue      = "max-queue"
	FieldService       = "service"
	FieldPathPrefix    = "path-prefix"
	FieldRank          = "rank"
	FieldDeadline      = "deadline"
	FieldRepeatable    = "repeatable"
	FieldKeyed         = "keyed"
	FieldLong          = "long"
)

// MaxNameBytes is the length of the longest name of a customer, plan or service,
// and of the longest part of a route's name after the slash.
const MaxNameBytes = 64

// kindSchema describes the entries of one kind.
type kindSchema struct {
	list ListName
	// fields are the allowed fields in the order in which Format writes them.
	fields []string
	name   *regexp.Regexp
	// nameExpectation describes the pattern in the text of a problem.
	nameExpectation string
}

const simpleNameExpectation = "a name of 1 to 64 letters, digits, dots, underscores or hyphens"

var (
	namePattern  = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)
	routePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}/[A-Za-z0-9._-]{1,64}$`)
)

// kindOrder is the order of kinds in the text and in the encoding.
var kindOrder = []EntryKind{KindCustomer, KindPlan, KindService, KindRoute}

var schemas = map[EntryKind]kindSchema{
	KindCustomer: {
		list: ListPlans, name: namePattern, nameExpectation: simpleNameExpectation,
		fields: []string{FieldPlan, FieldTokenSHA256},
	},
	KindPlan: {
		list: ListAllowances, name: namePattern, nameExpectation: simpleNameExpectation,
		fields: []string{FieldRatePerSecond, FieldBurst, FieldConcurrency},
	},
	KindService: {
		list: ListAllowances, name: namePattern, nameExpectation: simpleNameExpectation,
		fields: []string{FieldOtherShare, FieldLongShare, FieldMaxQueue},
	},
	KindRoute: {
		list: ListAllowances, name: routePattern, nameExpectation: "a route name of the form PLAN/NAME",
		fields: []string{
			FieldService, FieldPathPrefix, FieldRank, FieldDeadline, FieldRepeatable, FieldKeyed, FieldLong,
		},
	},
}

// kindsExpectation lists the kinds of a list for the text of a problem.
func kindsExpectation(list ListName) string {
	kinds := lo.Filter(kindOrder, func(k EntryKind, _ int) bool { return schemas[k].list == list })
	return "one of the kinds " + strings.Join(lo.Map(kinds, func(k EntryKind, _ int) string {
		return string(k)
	}), ", ")
}

// String returns the name of the key's section, for example "customer acme".
func (k EntryKey) String() string { return string(k.Kind) + " " + k.Name }

// compareKeys orders keys by list, kind and name. Unknown kinds come first.
func compareKeys(a, b EntryKey) int {
	return cmp.Or(
		cmp.Compare(slices.Index(kindOrder, a.Kind), slices.Index(kindOrder, b.Kind)),
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.List, b.List),
		cmp.Compare(a.Name, b.Name),
	)
}

// Keys returns the keys of all entries in canonical order.
func (l Lists) Keys() []EntryKey {
	keys := lo.Keys(l)
	slices.SortFunc(keys, compareKeys)
	return keys
}
