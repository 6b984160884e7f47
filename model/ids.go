package model

// OrganisationID identifies an organisation, that is a customer.
type OrganisationID string

// ServiceName is the name by which callers address a service.
type ServiceName string

// DataCentre is the name of a data centre.
type DataCentre string

// Version is the name of a version of a model or of a plain service.
type Version string

// ServerID identifies a backend server.
type ServerID string

// HostID identifies an entry host.
type HostID string

// MoveID identifies a version move.
type MoveID string

// RequestID identifies one caller request across entry hosts and logs.
type RequestID string

// Incarnation distinguishes the runs of one host; a later run has a larger one.
type Incarnation uint64

// Fingerprint is a hash of the content of a request of one organisation.
type Fingerprint uint64
