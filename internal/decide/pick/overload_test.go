package pick

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against refused bookings at an owner that gets one and a half times its
// capacity, a third of it bookings and the rest searches. Without a reserve one booking in
// three was refused. Nearly all bookings must be accepted, and as many searches as fit
// beside them.
func TestUrgentRequestsMayUseReserve(t *testing.T) {
	const (
		slots = 6
		usual = 95 * time.Millisecond
		rate  = 95 // requests per second; the owner can serve 63
	)
	draw := rand.New(rand.NewPCG(3, 4))
	l := &simOwner{state: State{Slots: slots}, slotFreeAt: make([]time.Duration, slots)}
	bookings, booked, searches, found := 0, 0, 0, 0
	for now := time.Duration(0); now < 30*time.Second; now += time.Millisecond {
		l.advance(now)
		if draw.Float64() > rate/1000.0 {
			continue
		}
		service := time.Duration((0.7 + 0.6*draw.Float64()) * float64(usual))
		urgent := draw.IntN(3) == 0
		taken := !l.state.FullFor(urgent)
		if taken {
			l.send(now, service)
		}
		switch {
		case urgent && taken:
			booked++
			fallthrough
		case urgent:
			bookings++
		case taken:
			found++
			fallthrough
		default:
			searches++
		}
	}
	require.Greater(t, float64(booked)/float64(bookings), 0.95)
	require.Greater(t, float64(found)/float64(searches), 0.4)
}
