package poppynotch.fleet.raft;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.function.DoubleSupplier;

/**
 * Adapts a monotonic millisecond clock to the {@link Clock} that MicroRaft requires. The library
 * uses only differences between instants, so the origin and the time zone do not matter.
 */
final class ElapsedTimeClock extends Clock {

    private final DoubleSupplier nowMs;

    ElapsedTimeClock(DoubleSupplier nowMs) {
        this.nowMs = nowMs;
    }

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        return this;
    }

    @Override
    public Instant instant() {
        return Instant.ofEpochMilli((long) nowMs.getAsDouble());
    }
}
