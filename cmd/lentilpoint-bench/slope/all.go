package slope

// All returns all measurements in the order in which they are listed.
func All() []Measurement {
	return []Measurement{Peers, Streams, Requests, Servers, Hosts, Services, Organisations}
}

// Find returns the measurement with the name, and false if there is none.
func Find(name string) (Measurement, bool) {
	for _, measurement := range All() {
		if measurement.Name == name {
			return measurement, true
		}
	}
	return Measurement{}, false
}

// Names returns the names of all measurements.
func Names() []string {
	var names []string
	for _, measurement := range All() {
		names = append(names, measurement.Name)
	}
	return names
}
