package config_test

import (
	"testing"

	"github.com/lentilpoint/lentilpoint/entryhost/config"
	"github.com/lentilpoint/lentilpoint/model"
)

// targetSizeConfiguration returns a configuration of 9,100 organisations.
func targetSizeConfiguration() *model.Configuration {
	changes := make([]config.Change, 9100)
	for i := range changes {
		changes[i] = config.Change{PutOrganisation: organisation(i)}
	}
	current, _ := config.Apply(config.Empty(), config.RevisionRecord{Revision: 1, Changes: append(changes, config.Change{PutService: advisor()})})
	return current
}

// BenchmarkApply measures one small revision at 9,100 organisations.
func BenchmarkApply(b *testing.B) {
	current := targetSizeConfiguration()
	for name, change := range map[string]config.Change{
		"service":      {PutService: advisor()},
		"organisation": {PutOrganisation: organisation(77)},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				config.Apply(current, config.RevisionRecord{Revision: 2, Changes: []config.Change{change}})
			}
		})
	}
}

// BenchmarkOrganisationByKey measures a lookup with the index and by a scan.
func BenchmarkOrganisationByKey(b *testing.B) {
	current := targetSizeConfiguration()
	scan := *current
	scan.Keys = nil
	for name, configuration := range map[string]*model.Configuration{"index": current, "scan": &scan} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				configuration.OrganisationByKey(digest(5000))
			}
		})
	}
}

// BenchmarkSnapshot measures a snapshot of 9,100 organisations.
func BenchmarkSnapshot(b *testing.B) {
	content, err := config.EncodeSnapshot(targetSizeConfiguration())
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		current := targetSizeConfiguration()
		for b.Loop() {
			_, _ = config.EncodeSnapshot(current)
		}
		b.ReportMetric(float64(len(content)), "bytes")
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			_, _ = config.DecodeSnapshot(content)
		}
	})
}
