package slope

// All returns the measurements.
func All() []Measurement {
	return []Measurement{Peers, Streams, Requests, Servers, Hosts, Services, Organisations}
}

// Find returns the measurement of this name.
func Find(name string) (Measurement, bool) {
	for _, measurement := range All() {
		if measurement.Name == name {
			return measurement, true
		}
	}
	return Measurement{}, false
}

// Names returns the names of the measurements.
func Names() []string {
	var names []string
	for _, measurement := range All() {
		names = append(names, measurement.Name)
	}
	return names
}
