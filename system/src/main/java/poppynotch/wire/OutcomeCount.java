package poppynotch.wire;

/**
 * Counts the outcomes of one route's attempts at a group of a service's servers, since a rollout
 * began.
 *
 * @param route name of the route
 * @param serverGroup group of servers of the new version, by a hash of their ids; {@link #BASELINE}
 *     for all servers of the serving version
 * @param ended attempts whose outcome allows a judgement of the server
 * @param failed ended attempts with an error, an invalid response or no response
 * @param slow ended attempts whose response began much later than expected of the serving version
 */
public record OutcomeCount(String route, int serverGroup, int ended, int failed, int slow) {

    /** The group of all servers of the serving version. */
    public static final int BASELINE = -1;
}
