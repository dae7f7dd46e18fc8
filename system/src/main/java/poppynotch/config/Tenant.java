package poppynotch.config;

import java.util.List;

/**
 * A customer with keys and a quota.
 *
 * @param priority takes precedence over a route's; -1 where it has none
 * @param countsTokens the quota is in tokens, else in requests
 * @param plainTokens what a request without a count of tokens counts
 * @param ratePerS quota a second; 0 for no limit
 * @param burst quota besides
 */
public record Tenant(
        String name,
        List<String> apiKeys,
        int priority,
        boolean countsTokens,
        double plainTokens,
        double ratePerS,
        double burst) {

    public boolean isLimited() {
        return ratePerS > 0;
    }
}
