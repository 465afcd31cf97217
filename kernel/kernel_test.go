package kernel

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/samber/do/v2"
	. "github.com/smartystreets/goconvey/convey"

	"geraniumnotch.example/geraniumnotch/registry"
)

type recordingPlugin struct {
	name        string
	log         *[]string
	validateErr error
	startErr    error
}

func (r recordingPlugin) Provision(do.Injector) error { return nil }
func (r recordingPlugin) Validate() error             { return r.validateErr }

func (r recordingPlugin) Start(context.Context) error {
	*r.log = append(*r.log, "start "+r.name)
	return r.startErr
}

func (r recordingPlugin) Stop(context.Context) error {
	*r.log = append(*r.log, "stop "+r.name)
	return nil
}

func TestKernelLifeCycle(t *testing.T) {
	Convey("Given plug-ins registered out of order", t, func() {
		var log []string
		plugins = registry.New[ID, Descriptor]("plug-in")
		descriptors := map[ID]Descriptor{}
		register := func(id ID, after []ID, r recordingPlugin) {
			r.name, r.log = string(id), &log
			descriptors[id] = Descriptor{ID: id, After: after, New: func() Plugin { return r }}
		}
		build := func(ids ...ID) (*Kernel, error) {
			for _, d := range descriptors {
				Register(d)
			}
			return New(do.New(), ids...)
		}
		register("test.c", []ID{"test.b"}, recordingPlugin{})
		register("test.b", []ID{"test.a"}, recordingPlugin{})
		register("test.a", nil, recordingPlugin{})

		Convey("they start after their dependencies and stop before them", func() {
			k, err := build("test.c", "test.b", "test.a")
			So(err, ShouldBeNil)
			So(k.Start(context.Background()), ShouldBeNil)
			So(k.Stop(context.Background()), ShouldBeNil)
			So(log, ShouldResemble, []string{
				"start test.a", "start test.b", "start test.c", "stop test.c", "stop test.b", "stop test.a",
			})
		})
		Convey("an invalid plug-in keeps all from starting", func() {
			register("test.c", nil, recordingPlugin{validateErr: errors.New("bad")})
			_, err := build("test.a", "test.c")
			So(err, ShouldNotBeNil)
			So(log, ShouldBeEmpty)
		})
		Convey("a failed start stops what already ran", func() {
			register("test.b", []ID{"test.a"}, recordingPlugin{startErr: errors.New("no port")})
			k, err := build("test.a", "test.b")
			So(err, ShouldBeNil)
			So(k.Start(context.Background()), ShouldNotBeNil)
			So(log, ShouldResemble, []string{"start test.a", "start test.b", "stop test.a"})
		})
		Convey("a cycle and an unknown ID are errors", func() {
			register("test.a", []ID{"test.c"}, recordingPlugin{})
			_, err := build("test.a", "test.b", "test.c")
			So(errors.Is(err, ErrCycle), ShouldBeTrue)
			_, err = New(do.New(), "test.missing")
			So(errors.Is(err, ErrUnknownPlugin), ShouldBeTrue)
		})
	})
}
