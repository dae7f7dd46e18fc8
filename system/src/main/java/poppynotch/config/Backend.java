package poppynotch.config;

/**
 * A service that routes name.
 *
 * @param maxConnections connections that one server takes from all callers
 * @param engineSlots requests that one server works on at once where it serves a model, else 0
 * @param kvTokens tokens that one server keeps, or 0
 */
public record Backend(String name, int maxConnections, int engineSlots, long kvTokens) {

    /** Whether its servers run a model: they batch requests and keep parts of prompts. */
    public boolean hasEngine() {
        return engineSlots > 0;
    }
}
