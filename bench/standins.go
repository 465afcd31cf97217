package bench

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"geraniumnotch.example/geraniumnotch/emulator"
	"geraniumnotch.example/geraniumnotch/kvstore/memory"
	"geraniumnotch.example/geraniumnotch/kvstore/standin"
	"geraniumnotch.example/geraniumnotch/mesh"
)

type standinOptions struct {
	Listen string `long:"listen" required:"yes" value-name:"IP:PORT" description:"address to serve on"`
}

// run serves a stand-in of the platform's key-value store until the context ends.
func (o standinOptions) run(ctx context.Context, stdout io.Writer) error {
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return errors.Wrap(err, "bench: listen on the address of the stand-in")
	}
	server := &http.Server{Handler: standin.New(memory.New(), hclog.NewNullLogger()), ReadHeaderTimeout: time.Minute}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	fmt.Fprintf(stdout, "stand-in of the platform's service on %s\n", listener.Addr())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "bench: serve the stand-in")
	}
	return nil
}

type endpointOptions struct {
	ID          string        `long:"id" required:"yes" description:"ID of the endpoint"`
	Service     string        `long:"service" required:"yes" description:"service that it offers"`
	Announce    string        `long:"announce" required:"yes" value-name:"IP:PORT" description:"announcement address of the host's node"`
	Entry       string        `long:"entry" value-name:"IP:PORT" description:"entry address of the host's node, for nested calls"`
	Slots       int           `long:"slots" default:"20" description:"calls that run at the same time"`
	Connections int           `long:"connections" default:"100" description:"connections that it accepts"`
	ServiceTime time.Duration `long:"service-time" default:"5ms" description:"time to run a call"`
}

// announceRetryInterval is the time between two attempts to announce the endpoint
// to its node, which may start later than the endpoint.
const announceRetryInterval = 200 * time.Millisecond

// run serves a sample endpoint until the context ends, and then removes it from
// its node and stops it.
func (o endpointOptions) run(ctx context.Context, stdout io.Writer) error {
	cfg := emulator.EndpointConfig{
		ID: mesh.EndpointID(o.ID), Service: mesh.ServiceName(o.Service), Slots: o.Slots, Connections: o.Connections,
		AnnounceAddress: o.Announce, EntryAddress: o.Entry, Record: emulator.NewRecord(true),
	}
	endpoint, err := emulator.StartEndpoint(cfg, emulator.Behavior{ServiceTime: o.ServiceTime})
	for err != nil {
		if sleepErr := Sleep(ctx, announceRetryInterval); sleepErr != nil {
			return err
		}
		endpoint, err = emulator.StartEndpoint(cfg, emulator.Behavior{ServiceTime: o.ServiceTime})
	}
	fmt.Fprintf(stdout, "endpoint %s of %s on %s\n", o.ID, o.Service, endpoint.Address())
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return endpoint.Deregister(stopCtx)
}

// Sleep waits for d. When the context ends first, it returns the context's error.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
