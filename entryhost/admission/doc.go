// Package admission decides when and where each request runs. The front task
// owns the set of dispatchers. One dispatcher task for each service owns that
// service's fair queue, in-flight counts, concurrency limits and prefix index.
package admission
