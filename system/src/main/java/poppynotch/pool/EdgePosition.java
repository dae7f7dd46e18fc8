package poppynotch.pool;

/**
 * The position of this edge among all edges.
 *
 * @param zone the zone of this edge
 * @param edgeCount the number of edges, at least 1
 * @param edgeNumber the index of this edge among them, from 0
 * @param visiblePromptFraction the fraction of the other edges' prompts that this edge is notified
 *     of, 0 to 1
 */
record EdgePosition(String zone, int edgeCount, int edgeNumber, double visiblePromptFraction) {

    /**
     * The rank of the lowest free slot on a server: k·B + ((edge number + hash of the server) mod
     * B), with k the slot's number and B the number of edges. No two edges have the same rank at
     * one server, so edges that all prefer their lowest rank spread over the servers.
     */
    double slotRank(long nowMs, PooledServer server) {
        return server.lowestFreeSlot(nowMs) * (double) edgeCount
                + (edgeNumber + server.hash()) % edgeCount;
    }

    boolean isInSameZone(PooledServer server) {
        return server.record().zone().equals(zone);
    }
}
