package poppynotch.balancer;

/** The figures of the rules on cold and draining servers. */
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
