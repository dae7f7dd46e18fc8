package poppynotch.pool;

import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/** Ranks servers without a model: the design's rank, with all else counted in rounds of ranks. */
final class SlotNumberRanking {

    private static final double ROUNDS_PER_WAITING = 2;
    private static final double ROUNDS_ACROSS_ZONES = 0.5;
    private static final double ROUNDS_PER_CONNECTION = 0.5;

    /** What a server that fails all its calls is ranked behind others by. */
    private static final double ROUNDS_PER_FAILURE = 8;

    private SlotNumberRanking() {}

    /** Ranks for a call now; the lowest is the best. */
    static ToDoubleFunction<PooledServer> of(
            long nowMs, EdgePosition placement, Predicate<String> connected) {
        return server -> {
            double rounds =
                    server.load().waiting(nowMs) * ROUNDS_PER_WAITING
                            + server.ejection().failureShare(nowMs) * ROUNDS_PER_FAILURE
                            + (placement.isLocal(server) ? 0 : ROUNDS_ACROSS_ZONES)
                            + (connected.test(server.id()) ? 0 : ROUNDS_PER_CONNECTION);
            return placement.slotRank(nowMs, server) + rounds * placement.sidecars();
        };
    }
}
