package main

import "errors"

var errNotReady = errors.New("a daemon is not ready before the disruption")
