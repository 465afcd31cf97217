package soak

import (
	"fmt"
	"net/http"
	"strconv"

	"geraniumnotch.example/geraniumnotch/platform/standin"
)

// unknownKey is a key that no version has.
const unknownKey = "key-of-nobody"

// hasWorkspaces reports whether the configurations of a seed have workspaces: half of them,
// seed 7 among them, which always runs.
func hasWorkspaces(seed uint64) bool { return seed%4 >= 2 }

// versionKey returns the key that only one version has.
func versionKey(version int) string { return fmt.Sprint("key-of-version-", version) }

// workspaceOf returns the workspace whose key the call with the given ID has.
func workspaceOf(id string) string {
	n, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		panic(err)
	}
	return fmt.Sprint("workspace-", n%2)
}

// keyOf returns the key of a workspace that all versions have.
func keyOf(workspace string) string { return "key-of-" + workspace }

// workspaces returns those of the newest version, nil for none. The key of the version moves
// between them.
func (c *cluster) workspaces() []standin.Workspace {
	if !c.keyed {
		return nil
	}
	workspaces := make([]standin.Workspace, 2)
	for i := range workspaces {
		name := fmt.Sprint("workspace-", i)
		workspaces[i] = standin.Workspace{Name: name, Keys: []string{keyOf(name)}}
	}
	w := &workspaces[c.version%2]
	w.Keys = append(w.Keys, versionKey(c.version))
	return workspaces
}

// checkWorkspace checks the headers of a call that reached the endpoint.
func (h *host) checkWorkspace(r *http.Request, id string) {
	if !h.cluster.keyed {
		return
	}
	want := workspaceOf(id)
	name, hasKey := standin.ReceivedWorkspace(r, keyOf(want))
	if hasKey {
		h.cluster.fail("the endpoint of %s got the key of %s", h.name, id)
	}
	var version int
	if n, _ := fmt.Sscanf(r.Header.Get(workspaceNote), "version %d", &version); n == 1 {
		want = fmt.Sprint("workspace-", version%2)
	}
	if string(name) != want {
		h.cluster.fail("the endpoint of %s got %s as a call of %q, not of %q", h.name, id, name, want)
	}
}

// workspaceNote is a header in which a client says whose key it has, when it is not that of
// workspaceOf.
const workspaceNote = "Note"

// probeKeys calls a route that all versions have with a key that none has, and with those of
// the newest version and of the one before.
func (c *cluster) probeKeys(l *client) {
	if !c.keyed {
		return
	}
	l.make(l.newProbe("one", unknownKey))
	c.probeVersions(l, func(version int) *callRecord {
		call := l.newProbe("one", versionKey(version))
		call.note = fmt.Sprint("version ", version)
		return call
	})
}
