package clock

import (
	"golang.org/x/sys/unix"

	"redwingspread/internal/model"
)

// Boot returns the time since boot, including time in suspend (CLOCK_BOOTTIME). It panics on systems without that clock.
func Boot() model.Instant {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("clock: can't read CLOCK_BOOTTIME: " + err.Error())
	}
	return model.Instant(now.Nano())
}
