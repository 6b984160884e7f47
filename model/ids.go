package model

// OrganisationID names a customer.
type OrganisationID string

// ServiceName names a service that callers address.
type ServiceName string

// DataCentre names a data centre.
type DataCentre string

// Version names a version of a model or of a plain service.
type Version string

// ServerID names a backend server.
type ServerID string

// HostID names an entry host.
type HostID string

// MoveID names a version move.
type MoveID string

// RequestID identifies one caller request across entry hosts and logs.
type RequestID string

// Incarnation tells restarts of one host apart; a later start has a larger one.
type Incarnation uint64

// Fingerprint identifies the content of a request of one organisation.
type Fingerprint uint64
