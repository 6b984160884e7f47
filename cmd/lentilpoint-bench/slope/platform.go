package slope

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/lentilpoint/lentilpoint/cmd/lentilpoint-bench/cluster"
	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/model"
	"github.com/lentilpoint/lentilpoint/settings"
)

// Services measures the reads and writes of the platform by the number of services,
// each of which has a lease.
var Services = Measurement{
	Name:        "services",
	Description: "reads and writes of the platform by the number of services with a lease, at 6 entry hosts",
	Driver:      "services",
	Excluded:    "requests, claims and moves",
	Sizes:       []int{2, 8, 16, 24, 32},
	Measure:     measureServices,
}

// Hosts measures the reads and writes of the platform by the number of entry hosts.
var Hosts = Measurement{
	Name:        "hosts",
	Description: "reads and writes of the platform by the number of entry hosts in one data centre, at 2 services",
	Driver:      "entry hosts",
	Excluded:    "requests, claims and moves",
	Sizes:       []int{2, 4, 8, 12, 22},
	Measure: func(ctx context.Context, size int, seed uint64) (map[string]float64, error) {
		return measurePlatform(ctx, cluster.Options{Seed: seed, EntryHosts: size}, size)
	},
}

// platformSettleTime is the time for which the cluster runs before it is measured.
const platformSettleTime = 6 * time.Second

func measureServices(ctx context.Context, size int, seed uint64) (map[string]float64, error) {
	var changes []config.Change
	for i := range size - 2 {
		changes = append(changes, config.Change{PutService: &model.Service{
			Name: model.ServiceName(fmt.Sprintf("service-%d", i)), Kind: model.ServiceEngine, DefaultDeadline: time.Minute,
			Shares: []model.VersionShare{{Version: model.Version(fmt.Sprintf("service-%d-v1", i)), Share: model.FullShare}},
		}})
	}
	return measurePlatform(ctx, cluster.Options{Seed: seed, EntryHosts: 6, Changes: changes}, 6)
}

// measurePlatform counts the reads and writes of the platform by idle entry hosts that
// use the daemon's default intervals.
func measurePlatform(ctx context.Context, options cluster.Options, hosts int) (map[string]float64, error) {
	options.DataCentres = []model.DataCentre{"jkt"}
	options.Settings = func(values *settings.Settings) {
		values.ConfigInterval = 500 * time.Millisecond
		values.HostsInterval = time.Second
		values.LoadInterval = time.Second
	}
	c, err := cluster.Start(ctx, options)
	if err != nil {
		return nil, err
	}
	defer c.Stop()
	time.Sleep(platformSettleTime)
	before := c.Platform.Counts()
	time.Sleep(idleMeasurePeriod)
	after := c.Platform.Counts()
	seconds := idleMeasurePeriod.Seconds()
	return map[string]float64{
		"platform_reads_per_s":           float64(after.Reads-before.Reads) / seconds,
		"platform_reads_per_s_and_host":  float64(after.Reads-before.Reads) / seconds / float64(hosts),
		"platform_writes_per_s":          float64(after.Writes-before.Writes) / seconds,
		"platform_writes_per_s_and_host": float64(after.Writes-before.Writes) / seconds / float64(hosts),
	}, nil
}

// Organisations measures the memory of the configuration and the CPU time of a change
// and of a key lookup by the number of organisations.
var Organisations = Measurement{
	Name:        "organisations",
	Description: "the configuration of an entry host by the number of organisations",
	Driver:      "organisations",
	Excluded:    "requests",
	Sizes:       []int{100, 1000, 3000, 6000, 9100},
	Measure:     measureOrganisations,
}

// measureOrganisations builds the configuration and applies revisions that change one
// organisation each, like most real changes.
func measureOrganisations(_ context.Context, size int, _ uint64) (map[string]float64, error) {
	before := heapBytes()
	configuration := config.Empty()
	for i := range size {
		configuration, _ = config.Apply(configuration, organisationRecord(configuration.Revision+1, i, 1))
	}
	heap := heapBytes() - before
	const revisions = 200
	started := cpuTime()
	for i := range revisions {
		configuration, _ = config.Apply(configuration, organisationRecord(configuration.Revision+1, i%size, 2))
	}
	apply := (cpuTime() - started) / revisions
	started = cpuTime()
	for i := range revisions {
		configuration.OrganisationByKey(keyDigest(i % size))
	}
	lookup := (cpuTime() - started) / revisions
	return map[string]float64{
		"heap_bytes":           heap,
		"apply_us_per_change":  float64(apply.Nanoseconds()) / 1000,
		"lookup_us":            float64(lookup.Nanoseconds()) / 1000,
		"configuration_length": float64(len(configuration.Organisations)),
	}, nil
}

func organisationRecord(revision model.Revision, number, weight int) config.RevisionRecord {
	return config.RevisionRecord{Revision: revision, Changes: []config.Change{{PutOrganisation: &model.Organisation{
		ID: model.OrganisationID(fmt.Sprintf("organisation-%d", number)), Weight: weight, KeySHA256: []string{keyDigest(number)},
	}}}}
}

func keyDigest(number int) string {
	digest := sha256.Sum256([]byte(fmt.Sprintf("key-%d", number)))
	return hex.EncodeToString(digest[:])
}
