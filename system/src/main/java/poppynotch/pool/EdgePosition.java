package poppynotch.pool;

/**
 * Where a sidecar stands among all.
 *
 * @param zone of its machine
 * @param sidecars how many there are, at least 1
 * @param number which of them this one is
 * @param heardPart the part of the others' prompts that this one hears of
 */
record EdgePosition(String zone, int sidecars, int number, double heardPart) {

    /**
     * The design's rank of the next slot on a server, k·B + ((own number + hash) mod B): no two
     * sidecars hold the same at one server.
     */
    double slotRank(long nowMs, PooledServer server) {
        return server.lowestFree(nowMs) * (double) sidecars + (number + server.hash()) % sidecars;
    }

    boolean isLocal(PooledServer server) {
        return server.record().zone().equals(zone);
    }
}
