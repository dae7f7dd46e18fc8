package poppynotch.balancer;

/**
 * Rules for servers that are warming up or draining, and for requests for the list.
 *
 * @param initialWarmth the fraction of its full load that a server can handle when it starts
 * @param warmUpMs how long it takes to warm up
 * @param overloadMultiple a warming server fails at this multiple of the load that it can handle
 * @param overloadWindowMs the window over which that load is measured
 * @param drainGraceMs how long calls may still reach a draining server
 * @param listRequestWithinMs the time within which a balancer requests the list
 */
public record ServerRules(
        double initialWarmth,
        double warmUpMs,
        double overloadMultiple,
        double overloadWindowMs,
        double drainGraceMs,
        double listRequestWithinMs) {
    public ServerRules {
        Checks.positive("rules.coldShare", initialWarmth);
        Checks.finite("rules.coldShare", initialWarmth);
        Checks.notNegative("rules.coldMs", warmUpMs);
        Checks.finite("rules.coldMs", warmUpMs);
        Checks.finite("rules.askWithin", listRequestWithinMs);
        Checks.positive("rules.tipMultiple", overloadMultiple);
        Checks.positive("rules.fallMs", overloadWindowMs);
        Checks.notNegative("rules.drainGrace", drainGraceMs);
        Checks.positive("rules.askWithin", listRequestWithinMs);
    }
}
