package lists

import "strings"

// Match returns the route of the customer's plan with the longest path prefix
// of path, or nil. A prefix matches whole path segments only: /orders matches
// /orders and /orders/7, but not /orders-old. The path is the decoded path of
// the URL. A path with empty or dot segments matches no route, because an
// endpoint could resolve it to a path of another route.
func (c *Config) Match(customer *Customer, path string) *Route {
	if customer == nil || customer.Plan == nil || !isCleanPath(path) {
		return nil
	}
	for _, route := range customer.Plan.Routes {
		if hasPathPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// isCleanPath reports whether path is absolute and has no empty segment and no
// segment "." or "..".
func isCleanPath(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.Contains(path, "//") {
		return false
	}
	if !strings.Contains(path, "/.") {
		return true
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return false
		}
	}
	return true
}
