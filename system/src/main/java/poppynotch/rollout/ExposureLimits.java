package poppynotch.rollout;

/**
 * Limits on the requests that may go to a new version before it is proven.
 *
 * @param share the fraction of the service's requests since the rollout was ordered
 * @param slackRequests further requests, whatever the service's traffic
 */
public record ExposureLimits(double share, double slackRequests) {

    /** The fraction of the limits that is used, as some attempts are counted late. */
    private static final double SAFETY_FRACTION = 0.8;

    /**
     * The number of attempts that may go to the version.
     *
     * @param endedAttempts the service's attempts that have ended since the rollout began
     */
    public long attempts(long endedAttempts) {
        return (long) (SAFETY_FRACTION * (slackRequests + share * endedAttempts));
    }
}
