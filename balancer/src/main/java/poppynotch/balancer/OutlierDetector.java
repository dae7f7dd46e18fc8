package poppynotch.balancer;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Ejects servers that fail. After a failure a server is on probation: it pauses, longer with each
 * further failure, and then has one slot until it has answered often enough. When most servers look
 * bad, none is ejected.
 */
final class OutlierDetector {

    /**
     * An error after this fraction of an attempt's time is late: unhealthy servers fail quickly.
     */
    private static final double LATE_ERROR_FRACTION = 0.5;

    /** The most doublings of a failing server's pause. */
    private static final int MAX_FAILURE_LEVEL = 5;

    /** The most doublings of the answers that end a probation. */
    private static final int MAX_PROBATION_DOUBLINGS = 3;

    /** A server's slowness from which it lags behind others. */
    private static final double LAGGING_SLOWNESS = 2;

    /** The fraction of a call's time from which a time-out speaks against a lagging server. */
    private static final double LONG_TIMEOUT_FRACTION = 0.9;

    /** The pause of a server that is well but for a connect that failed, in connect time-outs. */
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
     * Takes in how an attempt ended. Its slot is free, and is discarded if its server looks bad.
     */
    void onAttemptEnd(double nowMs, CallRecord call, Attempt attempt, AttemptResult result) {
        Slot slot = attempt.slot;
        AttemptOutcome outcome = result.outcome();
        connectionFailures.recordAttempt(slot, outcome);
        if (isConnectFailureAlone(slot, outcome)) {
            pool.discard(slot);
            pause(nowMs, slot.server, connectTimeoutMs() * FAILED_CONNECT_PAUSE);
        } else if (isFailure(call, attempt, result) && !hasSharedCause(outcome)) {
            eject(nowMs, slot.server, outcome);
            pool.discard(slot);
        } else if (outcome == AttemptOutcome.OK) {
            // Only an answer shows that a server is well: one that hangs ends calls too, by
            // time-outs.
            recordAnswer(nowMs, slot.server);
        } else if (outcome == AttemptOutcome.FAILED) {
            pool.discard(slot);
            pool.offerSpare(nowMs, slot.server);
        }
        if (outcome == AttemptOutcome.QUEUE_FULL) {
            report.recordFullServer();
            // It is crowded, not unhealthy: the slot is discarded, and no other taken there for a
            // while.
            pool.discard(slot);
            pause(nowMs, slot.server, connectTimeoutMs());
        }
    }

    /**
     * Whether only the connect failed: other connections to the server stand, so the first such
     * failure says nothing of the server itself.
     */
    private boolean isConnectFailureAlone(Slot slot, AttemptOutcome outcome) {
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
     * Whether an outcome speaks against the server: a time-out does only if it was a long one, and
     * an error only if it came early. Late ones are of calls behind it that ran out of the time
     * they were given. Where time-outs are many, the learned tail passes the time that calls have:
     * a server that lags behind others is then judged by that time.
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
     * Whether failures like this one have a cause that servers share: when half of all servers look
     * bad, giving them up would leave none. Servers that cannot be reached share less than those
     * that err or are slow, a zone at most: each kind counts alone.
     */
    boolean hasSharedCause(AttemptOutcome outcome) {
        boolean unreachable = outcome == AttemptOutcome.CONNECT_ERROR;
        long ejected =
                servers.ready().stream()
                        .filter(server -> server.onProbation && server.unreachable == unreachable)
                        .count();
        return ejected * 2 > servers.ready().size();
    }

    /** Ejects a server for some time on the fleet's advice, unless most look bad already. */
    void ejectOnAdvice(double nowMs, TrackedServer server, double untilMs) {
        if (!hasSharedCause(AttemptOutcome.FAILED)) {
            server.failureLevel = 1;
            eject(nowMs, server, AttemptOutcome.FAILED);
            pause(nowMs, server, untilMs - nowMs);
        }
    }

    /**
     * Puts a server that failed on probation: it pauses, longer each time; at the second failure in
     * a row it loses all its slots.
     */
    private void eject(double nowMs, TrackedServer server, AttemptOutcome outcome) {
        server.unreachable = outcome == AttemptOutcome.CONNECT_ERROR;
        server.failureLevel = Math.min(server.failureLevel + 1, MAX_FAILURE_LEVEL);
        server.probationAnswers = 0;
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

    /** An answer clears a server of its failures, or counts toward the end of its probation. */
    private void recordAnswer(double nowMs, TrackedServer server) {
        if (!server.onProbation) {
            server.failureLevel = 0;
            return;
        }
        server.probationAnswers++;
        int answersNeeded = 1 << Math.min(server.failureLevel, MAX_PROBATION_DOUBLINGS);
        if (server.probationAnswers >= answersNeeded) {
            usableCapacity.markStale();
            server.onProbation = false;
            server.failureLevel /= 2;
            pool.offerSpare(nowMs, server);
        }
    }

    /** Offers spares of servers whose pause is over. */
    void endPauses(double nowMs) {
        List<TrackedServer> rested =
                paused.stream().filter(server -> server.pausedUntilMs <= nowMs).toList();
        paused.removeAll(rested);
        rested.forEach(server -> pool.offerSpare(nowMs, server));
    }

    void forget(TrackedServer server) {
        paused.remove(server);
    }

    private double connectTimeoutMs() {
        return settings.get().limits().connectTimeoutMs();
    }
}
