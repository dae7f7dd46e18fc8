package poppynotch.simulation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import poppynotch.config.Tenant;
import poppynotch.pool.QuotaTolerance;

/**
 * A tenant's requests at all edges, and a check that no window of time has more of them granted
 * than its quota allows. The figures are of the size that deployments have.
 */
final class QuotaTraffic {

    private static final long STEP_MS = 20;
    private static final long WINDOW_MS = 8000;
    private static final double RULE_SLACK = 190_000;
    private static final double RULE_OVER = 0.1;
    static final double RATE_PER_S = 100_000;
    private static final double BURST = 160_000;
    private static final int MOST_TOKENS = 4000;

    private record Granted(long atMs, long tokens) {}

    private final Optional<Tenant> tenant;
    private final double demandPerS;
    private final Deque<Granted> window = new ArrayDeque<>();
    private long inWindow;
    private long most;
    private long mostAtMs;
    private long total;
    private long steps;

    private QuotaTraffic(Optional<Tenant> tenant, double demandPerS) {
        this.tenant = tenant;
        this.demandPerS = demandPerS;
    }

    /** Nobody asks for anything. */
    static QuotaTraffic none() {
        return new QuotaTraffic(Optional.empty(), 0);
    }

    /** A tenant that asks for some times its rate. */
    static QuotaTraffic times(double demand) {
        Tenant hot = new Tenant("t", List.of("k"), 0, true, 200, RATE_PER_S, BURST);
        return new QuotaTraffic(Optional.of(hot), demand * RATE_PER_S);
    }

    Optional<Tenant> tenant() {
        return tenant;
    }

    QuotaTolerance tolerance() {
        return new QuotaTolerance(RULE_OVER, RULE_SLACK, WINDOW_MS);
    }

    /** What any window may have. */
    static double allowed() {
        return (RATE_PER_S * WINDOW_MS / 1000 + BURST) * (1 + RULE_OVER) + RULE_SLACK;
    }

    /** The most that a window has had. */
    long most() {
        return most;
    }

    /** When that window ended. */
    long mostAtMs() {
        return mostAtMs;
    }

    /** For how long there were requests, in seconds. */
    double askedS() {
        return steps * STEP_MS / 1000.0;
    }

    /** All that was granted. */
    long total() {
        return total;
    }

    /** Begins; edges get uneven shares of the requests. */
    void begin(SimulatedFleet world, SplittableRandom random) {
        if (tenant.isPresent()) {
            world.time().after(STEP_MS, () -> step(world, random));
        }
    }

    private void step(SimulatedFleet world, SplittableRandom random) {
        world.time().after(STEP_MS, () -> step(world, random));
        long now = world.time().getAsLong();
        steps++;
        while (!window.isEmpty() && window.peek().atMs() <= now - WINDOW_MS) {
            inWindow -= window.poll().tokens();
        }
        List<VirtualEdge> edges = world.edges();
        double due = demandPerS * STEP_MS / 1000;
        while (due > 0) {
            long tokens = 1 + random.nextInt(MOST_TOKENS);
            due -= tokens;
            // The product of two draws: a few edges get much of it.
            int at = random.nextInt(1 + random.nextInt(edges.size()));
            VirtualEdge edge = edges.get(at);
            if (edge.isUp() && !edge.isFrozen() && edge.take(tenant.orElseThrow(), tokens)) {
                window.add(new Granted(now, tokens));
                inWindow += tokens;
                total += tokens;
                if (inWindow > most) {
                    most = inWindow;
                    mostAtMs = now;
                }
            }
        }
    }
}
