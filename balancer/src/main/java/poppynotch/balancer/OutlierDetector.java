package poppynotch.balancer;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Ejects failing servers. After a failure a server is on probation: it is paused, longer with each
 * further failure, and then has one slot until enough calls have succeeded. While most servers look
 * unhealthy, none is ejected.
 */
final class OutlierDetector {

    /**
     * An error later than this fraction of the timeout is no failure: unhealthy servers fail early.
     */
    private static final double LATE_ERROR_FRACTION = 0.5;

    /** The maximum number of doublings of a failing server's pause. */
    private static final int MAX_FAILURE_LEVEL = 5;

    /** The maximum number of doublings of the successes that end a probation. */
    private static final int MAX_PROBATION_DOUBLINGS = 3;

    /** A server with a slowness above this lags behind others. */
    private static final double LAGGING_SLOWNESS = 2;

    /** Timeouts from this fraction of a call's time on are failures of a lagging server. */
    private static final double LONG_TIMEOUT_FRACTION = 0.9;

    /** The pause after a single failed connect to a healthy server, in connect timeouts. */
    private static final double FAILED_CONNECT_PAUSE = 2;

    private final CurrentSettings settings;
    private final ServerTable servers;
    private final SlotPool pool;
    private final UsableCapacity usableCapacity;
    private final ConnectionFailureTracker connectionFailures;
    private final StalledAttemptCanceller stalledAttempts;
    private final SaturationReport report;
    private final Set<TrackedServer> paused = new LinkedHashSet<>();

    OutlierDetector(
            CurrentSettings settings,
            ServerTable servers,
            SlotPool pool,
            UsableCapacity usableCapacity,
            ConnectionFailureTracker connectionFailures,
            StalledAttemptCanceller stalledAttempts,
            SaturationReport report) {
        this.settings = settings;
        this.servers = servers;
        this.pool = pool;
        this.usableCapacity = usableCapacity;
        this.connectionFailures = connectionFailures;
        this.stalledAttempts = stalledAttempts;
        this.report = report;
    }

    /**
     * Records an attempt's outcome. Its slot is free; it is discarded if the server looks
     * unhealthy.
     */
    void onAttemptEnd(double nowMs, CallRecord call, Attempt attempt, AttemptResult result) {
        Slot slot = attempt.slot;
        AttemptOutcome outcome = result.outcome();
        connectionFailures.recordAttempt(slot, outcome);
        if (isSingleConnectFailure(slot, outcome)) {
            pool.discard(slot);
            pause(nowMs, slot.server, connectTimeoutMs() * FAILED_CONNECT_PAUSE);
        } else if (isFailure(call, attempt, result) && !hasSharedCause(outcome)) {
            eject(nowMs, slot.server, outcome);
            pool.discard(slot);
        } else if (outcome == AttemptOutcome.OK) {
            // Only a success shows that a server is healthy: calls to a hung server end too, by
            // timeout.
            recordSuccess(nowMs, slot.server);
        } else if (outcome == AttemptOutcome.FAILED) {
            pool.discard(slot);
            pool.offerSpare(nowMs, slot.server);
        }
        if (outcome == AttemptOutcome.QUEUE_FULL) {
            report.recordFullServer();
            // The server is overloaded, not unhealthy: its slot is discarded, and it gets no new
            // one for a while.
            pool.discard(slot);
            pause(nowMs, slot.server, connectTimeoutMs());
        }
    }

    /**
     * Whether only this connect failed: while other connections to the server are open, the first
     * such failure does not show that the server is unhealthy.
     */
    private boolean isSingleConnectFailure(Slot slot, AttemptOutcome outcome) {
        TrackedServer server = slot.server;
        if (outcome == AttemptOutcome.OK) {
            server.connectFailed = false;
        }
        if (outcome != AttemptOutcome.CONNECT_ERROR || server.connectFailed) {
            return false;
        }
        server.connectFailed =
                pool.slotsOf(server).stream().anyMatch(other -> other != slot && other.connected);
        return server.connectFailed;
    }

    /**
     * Whether an outcome counts as a failure of the server: a timeout only if it was long, and an
     * error only if it came early, as late errors are due to downstream calls that ran out of time.
     * If timeouts are many, the tail latency grows beyond the time that calls have: timeouts at a
     * server that lags behind others are then compared with that time.
     */
    private static boolean isFailure(CallRecord call, Attempt attempt, AttemptResult result) {
        return switch (result.outcome()) {
            case CONNECT_ERROR, RESET -> true;
            case FAILED -> result.tookMs() < attempt.timeoutMs * LATE_ERROR_FRACTION;
            case TIMED_OUT ->
                    result.tookMs() >= call.latency.tailMs()
                            || (attempt.slot.server.slowness > LAGGING_SLOWNESS
                                    && result.tookMs() >= longTimeoutMs(call));
            default -> false;
        };
    }

    private static double longTimeoutMs(CallRecord call) {
        return call.requestClass.latencyTargetMs()
                * CallRecord.USEFUL_TARGET_FRACTION
                * LONG_TIMEOUT_FRACTION;
    }

    /**
     * Whether failures of this kind probably have a cause that servers share: if more than half of
     * all servers look unhealthy, ejecting more could leave none. Unreachable servers are counted
     * apart from failing and slow ones: their shared cause is the loss of one zone at most.
     */
    boolean hasSharedCause(AttemptOutcome outcome) {
        boolean unreachable = outcome == AttemptOutcome.CONNECT_ERROR;
        long ejected =
                servers.ready().stream()
                        .filter(server -> server.onProbation && server.unreachable == unreachable)
                        .count();
        return ejected * 2 > servers.ready().size();
    }

    /** Ejects a server for some time on the fleet's advice, unless most look unhealthy already. */
    void ejectOnAdvice(double nowMs, TrackedServer server, double untilMs) {
        if (!hasSharedCause(AttemptOutcome.FAILED)) {
            server.failureLevel = 1;
            eject(nowMs, server, AttemptOutcome.FAILED);
            pause(nowMs, server, untilMs - nowMs);
        }
    }

    /**
     * Puts a failed server on probation and pauses it, longer each time; at the second failure in a
     * row all its slots are discarded.
     */
    private void eject(double nowMs, TrackedServer server, AttemptOutcome outcome) {
        server.unreachable = outcome == AttemptOutcome.CONNECT_ERROR;
        server.failureLevel = Math.min(server.failureLevel + 1, MAX_FAILURE_LEVEL);
        server.probationSuccesses = 0;
        if (!server.onProbation) {
            server.onProbation = true;
            usableCapacity.markStale();
            report.recordEjection();
        }
        pause(nowMs, server, connectTimeoutMs() * (1 << server.failureLevel));
        if (server.failureLevel > 1) {
            pool.discardAllOf(server);
        }
        if (server.unreachable) {
            stalledAttempts.cancelAttemptsAt(nowMs, server);
        }
    }

    private void pause(double nowMs, TrackedServer server, double pauseMs) {
        paused.add(server);
        server.pausedUntilMs = Math.max(server.pausedUntilMs, nowMs + pauseMs);
        pool.offerSpare(nowMs, server);
    }

    /** Resets the failure level of a server, or brings the end of its probation nearer. */
    private void recordSuccess(double nowMs, TrackedServer server) {
        if (!server.onProbation) {
            server.failureLevel = 0;
            return;
        }
        server.probationSuccesses++;
        int successesNeeded = 1 << Math.min(server.failureLevel, MAX_PROBATION_DOUBLINGS);
        if (server.probationSuccesses >= successesNeeded) {
            usableCapacity.markStale();
            server.onProbation = false;
            server.failureLevel /= 2;
            pool.offerSpare(nowMs, server);
        }
    }

    /** Offers the spares of servers whose pause is over. */
    void endPauses(double nowMs) {
        List<TrackedServer> resumed =
                paused.stream().filter(server -> server.pausedUntilMs <= nowMs).toList();
        paused.removeAll(resumed);
        resumed.forEach(server -> pool.offerSpare(nowMs, server));
    }

    void forget(TrackedServer server) {
        paused.remove(server);
    }

    private double connectTimeoutMs() {
        return settings.get().limits().connectTimeoutMs();
    }
}
