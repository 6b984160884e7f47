package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// notifyHangups returns a channel that receives SIGHUP until the process exits. The
// default action of SIGHUP ends a process, and a host that drains has open requests
// until it exits, so the signal is never unregistered. Signals that find the channel
// full are dropped: one pending signal is enough.
func notifyHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// reloadRequests returns a channel that receives a request to read the settings for
// each SIGHUP until the context ends. Signals that arrive while a request is pending are
// merged into it.
func reloadRequests(ctx context.Context, hangups <-chan os.Signal) <-chan struct{} {
	requests := make(chan struct{}, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				select {
				case requests <- struct{}{}:
				default:
				}
			}
		}
	}()
	return requests
}
