// Package standin implements stand-ins for the systems around lentilpoint: the
// platform and its store, model engines, plain services, and the links between
// entry hosts. They run on loopback or in memory, record the requests that they
// execute, and inject faults on request. Most are one task that owns its state;
// their HTTP handlers send messages to the task.
package standin
