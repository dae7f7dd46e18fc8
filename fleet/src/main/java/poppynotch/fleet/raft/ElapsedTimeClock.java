package poppynotch.fleet.raft;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.function.DoubleSupplier;

/**
 * Presents a monotonic clock of milliseconds as the {@link Clock} that MicroRaft requires. The
 * library uses only differences of its times, so the origin and the time zone are of no meaning.
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
