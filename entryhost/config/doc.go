// Package config distributes the configuration to the entry hosts and commits
// changes of it. The store task of each host owns the configuration in force,
// which results from applying all accepted revisions in order; its revision only
// increases. A few hosts of each data centre poll the table service and push new
// revisions to the others.
package config
