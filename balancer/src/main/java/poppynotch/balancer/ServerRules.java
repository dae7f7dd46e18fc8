package poppynotch.balancer;

/**
 * Rules for servers that are warming up or draining, and for requests for the list.
 *
 * @param coldShare the fraction of its full work that a server can do when it starts
 * @param coldMs how long it takes to warm up
 * @param tipMultiple a server that is warming up fails from this multiple of its work on
 * @param fallMs in a window of so long
 * @param drainGraceMs calls may still reach a draining server for so long
 * @param askWithinMs a balancer asks for the list within this time
 */
public record ServerRules(
        double coldShare,
        double coldMs,
        double tipMultiple,
        double fallMs,
        double drainGraceMs,
        double askWithinMs) {
    public ServerRules {
        Checks.positive("rules.coldShare", coldShare);
        Checks.finite("rules.coldShare", coldShare);
        Checks.notNegative("rules.coldMs", coldMs);
        Checks.finite("rules.coldMs", coldMs);
        Checks.finite("rules.askWithin", askWithinMs);
        Checks.positive("rules.tipMultiple", tipMultiple);
        Checks.positive("rules.fallMs", fallMs);
        Checks.notNegative("rules.drainGrace", drainGraceMs);
        Checks.positive("rules.askWithin", askWithinMs);
    }
}
