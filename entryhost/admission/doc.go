// Package admission decides when and where each request runs. The front task
// owns the set of dispatchers; one dispatcher task for each service owns that
// service's fair queues, in-flight counts, limits and prefix index.
package admission
