package hostnode

import (
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumnotch.example/geraniumnotch/inifile"
	"geraniumnotch.example/geraniumnotch/localendpoint"
	"geraniumnotch.example/geraniumnotch/mesh"
	"geraniumnotch.example/geraniumnotch/quota"
	"geraniumnotch.example/geraniumnotch/retrybudget"
	"geraniumnotch.example/geraniumnotch/rollout"
)

// Settings of a node beside an endpoint on the platform.
type Settings struct {
	Host          mesh.HostID
	FailureDomain mesh.FailureDomain
	Endpoint      localendpoint.Identity
	MemoryMB      int
	// Descriptors is the number of files that the process may open.
	Descriptors int
	// LinkMbps is the bandwidth of the host's link in Mbit/s.
	LinkMbps     float64
	Listen       Listen
	StoreAddress string
	// StoreWritesPerSecond is the rate of writes of all hosts that the store accepts.
	StoreWritesPerSecond float64
	// Drain limits the time from a stop signal to the end of the process.
	Drain time.Duration
	// PlanDeadline is the time within which a new plan must be active.
	PlanDeadline time.Duration
	RetryBudget  retrybudget.Bound
	// Quota is the bound on the calls of workspaces, zero if quotas are not enforced.
	Quota quota.Bound
	// ResponseBufferMB is the size of the buffers for long responses in MiB.
	ResponseBufferMB int
	// RemoteCostPerKB is the cost of 1 KiB between failure domains, as a fraction of the
	// value of a call.
	RemoteCostPerKB float64
	// Rollout bounds how new versions of services are brought in; nil if they are not.
	Rollout *rollout.Bounds
}

// Listen holds the addresses that the node listens on.
type Listen struct {
	// Calls is for clients and the endpoint of the host, Peers for other hosts,
	// Ready and Announcements for the platform and the endpoint.
	Calls, Peers, Ready, Announcements, Metrics string
	// PeersAdvertised is the address at which other hosts reach Peers. It differs from
	// Peers behind an address translation or a forwarder.
	PeersAdvertised string
}

// maxSettingsBytes limits the size of a settings file, which has about 30 lines.
const maxSettingsBytes = 64 << 10

// defaultStoreWritesPerSecond applies where the settings state no rate.
const defaultStoreWritesPerSecond = 400

// defaultDescriptors applies where the settings state no number of open files.
const defaultDescriptors = 4096

// defaultResponseBufferMB holds about 40 responses of 100 KB.
const defaultResponseBufferMB = 4

// defaultRemoteCostPerKB makes 5 KiB to another failure domain cost a tenth of a call.
const defaultRemoteCostPerKB = 0.02

// ErrSettings means that a settings file cannot be used. The error lists all
// problems.
var ErrSettings = errors.New("hostnode: invalid settings")

// LoadSettings reads a settings file.
func LoadSettings(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "hostnode: read settings"), ErrSettings)
	}
	s, err := ParseSettings(text)
	return s, errors.Wrapf(err, "%s", path)
}

// ParseSettings parses settings in the INI format. Its error lists all problems.
func ParseSettings(text []byte) (*Settings, error) {
	sections, problems := inifile.Parse(text, maxSettingsBytes)
	p := &settingsParser{values: map[string]inifile.Value{}, problems: problems}
	for _, section := range sections {
		for _, v := range section.Values {
			p.values[section.Name+"."+v.Key] = v
		}
	}
	s := &Settings{
		Host:          mesh.HostID(p.text("host", "name")),
		FailureDomain: mesh.FailureDomain(p.text("host", "failure-domain")),
		MemoryMB:      p.number("host", "memory-mb", 16, 1<<20),
		LinkMbps:      p.fraction("host", "link-mbps"),
		Listen: Listen{
			Calls: p.address("listen", "calls"), Peers: p.address("listen", "peers"), Ready: p.address("listen", "ready"),
			Announcements: p.address("listen", "announcements"), Metrics: p.address("listen", "metrics"),
		},
		StoreAddress: p.address("store", "address"), StoreWritesPerSecond: defaultStoreWritesPerSecond,
		Drain:        p.seconds("bounds", "drain-s"),
		PlanDeadline: p.milliseconds("bounds", "plan-deadline-ms"),
		RetryBudget: retrybudget.Bound{
			Ratio: p.fraction("bounds", "repeat-ratio"), Slack: p.fraction("bounds", "repeat-slack"), Window: p.seconds("bounds", "repeat-window-s"),
		},
	}
	if p.values["store.writes-per-s"].Text != "" {
		s.StoreWritesPerSecond = p.positive("store", "writes-per-s")
	}
	s.Descriptors = defaultDescriptors
	if p.values["host.max-descriptors"].Text != "" {
		s.Descriptors = p.number("host", "max-descriptors", 64, 1<<20)
	}
	s.ResponseBufferMB, s.RemoteCostPerKB = defaultResponseBufferMB, defaultRemoteCostPerKB
	if p.values["limits.response-buffer-mb"].Text != "" {
		s.ResponseBufferMB = p.number("limits", "response-buffer-mb", 0, 1<<14)
	}
	if p.values["placement.remote-cost-per-kb"].Text != "" {
		s.RemoteCostPerKB = p.fraction("placement", "remote-cost-per-kb")
	}
	s.Quota = p.quotaBound()
	if p.values["bounds.exposure-share"].Text != "" {
		s.Rollout = &rollout.Bounds{Share: p.fraction("bounds", "exposure-share")}
		if p.values["bounds.exposure-slack"].Text != "" {
			s.Rollout.Slack = p.fraction("bounds", "exposure-slack")
		}
		if s.Rollout.Share > 1 {
			p.addProblem("bounds", "exposure-share", "a number from 0 to 1")
		}
	}
	s.Listen.PeersAdvertised = s.Listen.Peers
	if p.values["listen.peers-advertised"].Text != "" {
		s.Listen.PeersAdvertised = p.address("listen", "peers-advertised")
	}
	s.Endpoint = localendpoint.Identity{
		Service: mesh.ServiceName(p.text("endpoint", "service")), Address: p.address("endpoint", "address"), FailureDomain: s.FailureDomain,
	}
	return s, p.err()
}

type settingsParser struct {
	values   map[string]inifile.Value
	problems []inifile.Problem
}

func (p *settingsParser) addProblem(section, key, expected string) {
	v := p.values[section+"."+key]
	p.problems = append(p.problems, inifile.Problem{Section: section, Key: key, Line: v.Line, Value: v.Text, Expected: expected})
}

func (p *settingsParser) err() error {
	if len(p.problems) == 0 {
		return nil
	}
	err := ErrSettings
	for _, problem := range p.problems {
		err = errors.Wrap(err, problem.Error())
	}
	return err
}

func (p *settingsParser) text(section, key string) string {
	text := p.values[section+"."+key].Text
	if text == "" {
		p.addProblem(section, key, "a value")
	}
	return text
}

func (p *settingsParser) address(section, key string) string {
	text := p.values[section+"."+key].Text
	if _, err := netip.ParseAddrPort(text); err != nil {
		p.addProblem(section, key, "an IP address and port")
	}
	return text
}

func (p *settingsParser) number(section, key string, minValue, maxValue int) int {
	n, err := strconv.Atoi(p.values[section+"."+key].Text)
	if err != nil || n < minValue || n > maxValue {
		p.addProblem(section, key, "a whole number from "+strconv.Itoa(minValue)+" to "+strconv.Itoa(maxValue))
	}
	return n
}

func (p *settingsParser) fraction(section, key string) float64 {
	f, err := strconv.ParseFloat(p.values[section+"."+key].Text, 64)
	if err != nil || !(f >= 0) || f > 1e9 {
		p.addProblem(section, key, "a number of 0 or more")
	}
	return f
}

func (p *settingsParser) seconds(section, key string) time.Duration {
	return p.duration(section, key, time.Second)
}

func (p *settingsParser) milliseconds(section, key string) time.Duration {
	return p.duration(section, key, time.Millisecond)
}

func (p *settingsParser) duration(section, key string, unit time.Duration) time.Duration {
	return time.Duration(p.positive(section, key) * float64(unit))
}

func (p *settingsParser) positive(section, key string) float64 {
	f, err := strconv.ParseFloat(p.values[section+"."+key].Text, 64)
	if err != nil || !(f > 0) || f > 1e9 {
		p.addProblem(section, key, "a number above 0")
	}
	return f
}
