package poppynotch.pool;

import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Ranks servers without a model by the rank of their lowest free slot. All other criteria are
 * expressed in rounds; one round is the difference in rank between two successive slots of a
 * server.
 *
 * <p>Created for one request; confined to the edge's event loop.
 */
final class SlotNumberRanking implements ToDoubleFunction<PooledServer> {

    private static final double ROUNDS_PER_WAITING_REQUEST = 2;
    private static final double CROSS_ZONE_ROUNDS = 0.5;
    private static final double NEW_CONNECTION_ROUNDS = 0.5;

    /** The penalty of a server that fails all its requests. */
    private static final double FAILURE_RATE_ROUNDS = 8;

    private final long nowMs;
    private final EdgePosition position;
    private final Predicate<String> hasIdleConnection;

    /**
     * Creates a ranking for a request that is sent now.
     *
     * @param hasIdleConnection whether an idle connection to the server with the given id is open
     */
    SlotNumberRanking(long nowMs, EdgePosition position, Predicate<String> hasIdleConnection) {
        this.nowMs = nowMs;
        this.position = position;
        this.hasIdleConnection = hasIdleConnection;
    }

    /** Returns the rank of a server; the lowest rank is the best. */
    @Override
    public double applyAsDouble(PooledServer server) {
        double rounds =
                server.reportedLoad().waiting(nowMs) * ROUNDS_PER_WAITING_REQUEST
                        + server.outlierDetector().failureRate(nowMs) * FAILURE_RATE_ROUNDS
                        + (position.isInSameZone(server) ? 0 : CROSS_ZONE_ROUNDS)
                        + (hasIdleConnection.test(server.id()) ? 0 : NEW_CONNECTION_ROUNDS);
        return position.slotRank(nowMs, server) + rounds * position.edgeCount();
    }
}
