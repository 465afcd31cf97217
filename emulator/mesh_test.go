package emulator

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/lists"
	"geraniumnotch.example/geraniumnotch/mesh"
)

func TestMeshCarriesAnEditToACall(t *testing.T) {
	Convey("Given a mesh of the laronda deployment", t, func() {
		d, err := NamedDeployment("laronda")
		So(err, ShouldBeNil)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		m, err := StartMesh(ctx, MeshConfig{Deployment: d, HTTPStore: true, Behavior: func(mesh.ServiceName) Behavior { return Behavior{} }})
		So(err, ShouldBeNil)
		defer m.Close()
		status := func(path string) int {
			r, err := m.Hosts[4].NewRequest(ctx, http.MethodGet, path, CustomerPrimary)
			So(err, ShouldBeNil)
			resp, err := http.DefaultClient.Do(r)
			So(err, ShouldBeNil)
			defer func() { _ = resp.Body.Close() }()
			_, err = io.Copy(io.Discard, resp.Body)
			So(err, ShouldBeNil)
			return resp.StatusCode
		}
		So(status("/lookup/1"), ShouldEqual, http.StatusOK)
		So(status("/new/1"), ShouldEqual, http.StatusNotFound)

		Convey("an added route becomes active on every node and accepts calls", func() {
			edited := lists.Lists{}
			for k, f := range m.Config.Lists {
				edited[k] = f
			}
			edited[lists.EntryKey{List: lists.ListAllowances, Kind: lists.KindRoute, Name: "sample/new"}] = lists.Fields{
				"service": string(d.LookupService()), "path-prefix": "/new", "rank": "urgent", "deadline": "2s",
				"repeatable": "true", "keyed": "false", "long": "false",
			}
			_, err := m.ApplyLists(ctx, edited)
			So(err, ShouldBeNil)
			So(m.WaitReady(ctx), ShouldBeNil)
			So(status("/new/1"), ShouldEqual, http.StatusOK)
		})
	})
}
