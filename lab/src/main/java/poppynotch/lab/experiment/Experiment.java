package poppynotch.lab.experiment;

import java.util.List;
import java.util.Map;
import poppynotch.balancer.DeduplicationScope;
import poppynotch.balancer.Idempotency;

/**
 * An experiment: a world, what goes wrong in it, and which policies are tried on which seeds. All
 * times are milliseconds, all rates a second, and work is milliseconds of one core of the yardstick
 * speed.
 *
 * @param name its short name
 * @param about what it shows, in one sentence
 * @param mode where it is played unless the command line says otherwise
 * @param durationMs how long requests arrive
 * @param seeds a day is drawn and played for each
 * @param policies the names of those that balance, each on the same days
 * @param sweep values to try by key of the file, every combination a point of its own
 */
public record Experiment(
        String name,
        String about,
        Mode mode,
        double durationMs,
        List<Long> seeds,
        List<String> policies,
        World world,
        List<FaultInjection> faults,
        Map<String, List<String>> sweep) {

    /** Where an experiment is played. */
    public enum Mode {
        /** On a clock of its own, with the decisions in this process. */
        VIRTUAL,
        /** In real time, with real sidecar processes on loopback sockets. */
        SOCKET
    }

    /** What a cancel stops at a model server. */
    public enum Cancel {
        NOTHING,
        QUEUED,
        ALL
    }

    /**
     * The world that the sidecars serve.
     *
     * @param startMs what a sidecar takes from its start until it is ready, on the virtual clock
     */
    public record World(
            List<String> zones,
            Network network,
            int sidecars,
            double startMs,
            List<Tier> tiers,
            List<RequestClass> classes,
            List<Tenant> tenants,
            Clients clients,
            Discovery discovery,
            Front front,
            Rules rules) {

        /** The place of a tier in the chain, or -1 where there is none of that name. */
        public int tier(String name) {
            for (int i = 0; i < tiers.size(); i++) {
                if (tiers.get(i).name().equals(name)) {
                    return i;
                }
            }
            return -1;
        }
    }

    /**
     * What messages cost.
     *
     * @param sameZoneMs one way within a zone
     * @param crossZoneMs one way between zones
     * @param jitter the part by which each message's time differs either way
     * @param handshakes round trips before the first request on a new connection
     * @param handshakeWorkMs work of a model server for each new connection
     * @param dialTimeoutMs after which a connection that did not come up has failed
     * @param idleCloseMs after which a model server closes an idle connection
     */
    public record Network(
            Range sameZoneMs,
            Range crossZoneMs,
            double jitter,
            double handshakes,
            double handshakeWorkMs,
            double dialTimeoutMs,
            double idleCloseMs) {}

    /**
     * One tier of model servers.
     *
     * @param serverCount how many there are at the start
     * @param workFraction the part of a class's work that each call does here
     * @param calls how many calls a request of the tier before makes here, on average
     * @param speed a core's speed, 1 for the yardstick
     * @param slots requests in work at once; a request keeps its slot while it waits for the next
     *     tier
     * @param queueLength requests that wait for a slot; a model server turns further ones away
     * @param crowdedAt requests held a core from which a model server is less efficient, or 0 for
     *     never
     * @param crowding by how much more work each costs at twice that many
     * @param coldShare the part of its capacity that a model server has when it starts
     * @param coldMs until it has all
     * @param cellSize model servers that drop each other's repeats
     * @param errorFraction the part of the requests that fail by themselves
     * @param maxConnections the most connections that a model server holds
     * @param jam what happens to a model server that has far more to do than it can, or null
     */
    public record Tier(
            String name,
            int serverCount,
            double workFraction,
            Range calls,
            int cores,
            Range speed,
            Range slots,
            Range queueLength,
            double crowdedAt,
            double crowding,
            Range coldShare,
            Range coldMs,
            int cellSize,
            double errorFraction,
            int maxConnections,
            Cancel cancel,
            Range reportPeriodMs,
            Jam jam) {}

    /**
     * A model server with more than {@code at} requests a core for {@code afterMs} works slower by
     * {@code factor} until it has had less than {@code below} a core for {@code restMs}, at most
     * for {@code mostMs}.
     */
    public record Jam(
            double enterAtPerCore,
            double afterMs,
            double factor,
            double leaveBelowPerCore,
            double recoveryMs,
            double maxMs) {}

    /**
     * A class of requests.
     *
     * @param share its part of all requests
     * @param workMs the mean work of a request, over all tiers, if each tier were called once
     * @param spread the coefficient of variation of the work of each call, 0 for none
     */
    public record RequestClass(
            String name,
            double share,
            Range workMs,
            double spread,
            double aimMs,
            double deadlineMs,
            double worth,
            Idempotency effect,
            DeduplicationScope group,
            double windowMs) {}

    /** A tenant: its part of the requests, and how many a second it may send over all sidecars. */
    public record Tenant(String name, double share, double allowance) {}

    /**
     * The clients, whose arrivals do not wait for answers.
     *
     * @param rate requests a second, or NaN where the load is given
     * @param load requests as a part of what the tier with the least capacity can do, or NaN
     * @param swing by which part the rate swings up and down, over ten seconds
     * @param retries how often a client asks again at most
     * @param backoffMs how long it waits before that
     * @param patience which part of its class's deadline it waits for a try
     * @param retryAfterHonourFraction the part of the clients that heed {@code Retry-After}
     */
    public record Clients(
            double rate,
            double load,
            double swing,
            int retries,
            Range backoffMs,
            Range patience,
            double retryAfterHonourFraction) {}

    /**
     * Discovery, one service for each tier's sidecars.
     *
     * @param noticeMs how late it learns of a change
     * @param periodMs it tells changes in rounds of this length
     * @param capacity calls that it answers a second
     * @param timeoutMs after which a call that waited has failed
     */
    public record Discovery(Range noticeMs, Range periodMs, double capacity, double timeoutMs) {}

    /** The front before the first tier: how late it notices a dead sidecar. */
    public record Front(Range noticeMs) {}

    /** The figures of the rules, and what the sidecars may do. */
    public record Rules(
            double answerSlackMs,
            double drainGraceMs,
            double askWithinMs,
            double tipMultiple,
            double fallMs,
            int tries,
            double maxRetryAfterMs,
            double crossZonePrice,
            double wastePrice,
            double lateFailPrice) {}

    /**
     * The most requests a second that the world can serve: that of the tier that runs out first.
     */
    public double capacity() {
        double work = 0;
        double shares = 0;
        for (RequestClass kind : world.classes()) {
            work += kind.share() * kind.workMs().mean();
            shares += kind.share();
        }
        work /= shares;
        double least = Double.POSITIVE_INFINITY;
        double calls = 1;
        for (Tier tier : world.tiers()) {
            calls *= tier.calls().mean();
            least =
                    Math.min(
                            least,
                            tier.serverCount()
                                    * tier.cores()
                                    * tier.speed().mean()
                                    * 1000
                                    / (work * tier.workFraction() * calls));
        }
        return least;
    }

    /** Requests a second that arrive on a day without faults. */
    public double rate() {
        return Double.isNaN(world.clients().rate())
                ? world.clients().load() * capacity()
                : world.clients().rate();
    }
}
