package clock

import (
	"golang.org/x/sys/unix"

	"redwingspread/internal/model"
)

// Boot returns the moment of the clock that goes on while the host sleeps; it panics where the system has no such clock.
func Boot() model.Instant {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("clock: the boot clock can't be read: " + err.Error())
	}
	return model.Instant(now.Nano())
}
