package poppynotch.config;

import java.util.List;

/**
 * A customer with API keys and a quota.
 *
 * @param name unique in the configuration
 * @param apiKeys keys that identify requests of this tenant
 * @param priority overrides the priority of a route; -1 for none
 * @param countsTokens whether the quota is in tokens, else it is in requests
 * @param defaultRequestTokens the tokens that a request counts which does not state its number of
 *     tokens
 * @param ratePerS quota per second; 0 for no limit
 * @param burst quota that may be used at once besides the rate
 */
public record Tenant(
        String name,
        List<String> apiKeys,
        int priority,
        boolean countsTokens,
        double defaultRequestTokens,
        double ratePerS,
        double burst) {

    public boolean isLimited() {
        return ratePerS > 0;
    }
}
