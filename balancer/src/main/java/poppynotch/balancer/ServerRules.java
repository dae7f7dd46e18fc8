package poppynotch.balancer;

/**
 * Rules for servers that are warming up or draining, and for requests for the list.
 *
 * @param initialWarmth the fraction of its full work that a server can do when it starts
 * @param warmUpMs how long it takes to warm up
 * @param overloadMultiple a server that is warming up fails from this multiple of its work on
 * @param overloadWindowMs in a window of so long
 * @param drainGraceMs calls may still reach a draining server for so long
 * @param listRequestWithinMs a balancer asks for the list within this time
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
