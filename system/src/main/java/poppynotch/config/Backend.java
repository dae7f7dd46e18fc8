package poppynotch.config;

/**
 * A service that routes send requests to.
 *
 * @param name unique in the configuration
 * @param maxConnections connections that one server accepts from all edges together
 * @param engineSlots requests that one server executes concurrently if it runs a model, else 0
 * @param kvTokens capacity of one server's prefix cache (KV cache) in tokens, or 0
 */
public record Backend(String name, int maxConnections, int engineSlots, long kvTokens) {

    /** Whether the servers run a model, so that they batch requests and cache prompt prefixes. */
    public boolean hasEngine() {
        return engineSlots > 0;
    }
}
