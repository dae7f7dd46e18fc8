package poppynotch.config;

/**
 * A service that routes send requests to.
 *
 * @param name unique in the configuration
 * @param maxConnections connections that one server accepts from all edges together
 * @param engineSlots requests that one server executes at once if it runs a model, else 0
 * @param kvTokens tokens that one server's prefix cache (KV cache) holds, or 0
 */
public record Backend(String name, int maxConnections, int engineSlots, long kvTokens) {

    /** Whether its servers run a model: they batch requests and cache parts of prompts. */
    public boolean hasEngine() {
        return engineSlots > 0;
    }
}
