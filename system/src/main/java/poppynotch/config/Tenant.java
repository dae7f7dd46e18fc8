package poppynotch.config;

import java.util.List;

/**
 * A customer with API keys and a quota.
 *
 * @param name unique in the configuration
 * @param apiKeys API keys that identify requests of this tenant
 * @param priority overrides the priority of a route; -1 for none
 * @param countsTokens whether the unit of the quota is tokens, else it is requests
 * @param defaultRequestTokens the amount charged for a request that does not state its token count
 * @param ratePerS quota per second; 0 for no limit
 * @param burst quota that may be used at once in addition to the rate
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
