//go:build hold

// Package hold keeps modules in go.mod until the code that needs them lands.
package hold

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/gin-gonic/gin"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/phuslu/log"
	_ "github.com/sony/gobreaker/v2"
	_ "github.com/vmihailenco/msgpack/v5"
	_ "go.uber.org/fx"
	_ "go.uber.org/fx/fxtest"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/gonum/stat"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/plotutil"
	_ "gonum.org/v1/plot/vg"
)
