package poppynotch.lab.experiment;

import java.util.List;
import java.util.Map;
import poppynotch.balancer.DeduplicationScope;
import poppynotch.balancer.Idempotency;

/**
 * An experiment: a simulated world, the faults injected into it, and the policies and seeds to run.
 * Times are milliseconds, rates are per second, and work is milliseconds of one core of speed 1.
 *
 * @param name its short name
 * @param description a description in one sentence
 * @param mode where it is run unless the command line says otherwise
 * @param durationMs how long requests arrive
 * @param seeds a day is drawn and run for each
 * @param policies the names of the balancing policies, each run on the same days
 * @param sweep values to try by key of the file; every combination is a point
 */
public record Experiment(
        String name,
        String description,
        Mode mode,
        double durationMs,
        List<Long> seeds,
        List<String> policies,
        World world,
        List<FaultInjection> faults,
        Map<String, List<String>> sweep) {

    /** Where an experiment is run. */
    public enum Mode {
        /** On a virtual clock, with the load balancers in this process. */
        VIRTUAL,
        /** In real time, with real sidecar processes on loopback sockets. */
        SOCKET
    }

    /** Which requests a cancel stops at a model server. */
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

        /** The position of a tier in the chain, or -1 if there is none of that name. */
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
     * Delays and costs of messages and connections.
     *
     * @param sameZoneMs one way within a zone
     * @param crossZoneMs one way between zones
     * @param jitter the fraction by which each message's delay varies either way
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
     * @param workFraction the fraction of a class's work that each call does here
     * @param calls how many calls a request of the tier before makes here, on average
     * @param speed a core's speed; work is measured at speed 1
     * @param slots requests that run at once; a request keeps its slot while it waits for the next
     *     tier
     * @param queueLength requests that wait for a slot at most; further ones are rejected
     * @param crowdedAt requests in flight per core from which a server is less efficient, or 0 for
     *     never
     * @param crowding by how much more work each costs at twice that many
     * @param initialCapacityFraction the fraction of its capacity that a server has when it starts
     * @param warmUpMs milliseconds until it has its full capacity
     * @param cellSize model servers in a cell, which drop each other's duplicates
     * @param errorFraction the fraction of the requests that fail by themselves
     * @param maxConnections the most connections that a server accepts
     * @param jam how a server jams after a long overload, or null if it never does
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
            Range initialCapacityFraction,
            Range warmUpMs,
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
     * @param share its weight among all requests
     * @param workMs the mean work of a request, over all tiers, if each tier were called once
     * @param spread the coefficient of variation of the work of each call, 0 for none
     */
    public record RequestClass(
            String name,
            double share,
            Range workMs,
            double spread,
            double latencyTargetMs,
            double deadlineMs,
            double value,
            Idempotency idempotency,
            DeduplicationScope deduplicationScope,
            double deduplicationWindowMs) {}

    /** A tenant: its part of the requests, and how many a second it may send over all sidecars. */
    public record Tenant(String name, double share, double allowance) {}

    /**
     * The clients, whose arrivals do not wait for answers.
     *
     * @param rate requests a second, or NaN where the load is given
     * @param load requests as a fraction of the capacity of the smallest tier, or NaN
     * @param swing the fraction by which the rate swings up and down, over ten seconds
     * @param retries how often a client retries at most
     * @param backoffMs how long it waits before that
     * @param patience the fraction of its class's deadline that it waits for an attempt
     * @param retryAfterHonourFraction the fraction of the clients that respect {@code Retry-After}
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
     * @param noticeMs how late it notices a change
     * @param periodMs the interval at which changes are published
     * @param capacity calls that it answers a second
     * @param timeoutMs after which a call that waited has failed
     */
    public record Discovery(Range noticeMs, Range periodMs, double capacity, double timeoutMs) {}

    /** The proxy in front of the first tier: how late it notices a dead sidecar. */
    public record Front(Range noticeMs) {}

    /** The figures of the rules, the limits of the sidecars and the prices of the score. */
    public record Rules(
            double answerSlackMs,
            double drainGraceMs,
            double listRequestWithinMs,
            double overloadMultiple,
            double overloadWindowMs,
            int maxAttempts,
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

    /** Requests per second that arrive without faults. */
    public double rate() {
        return Double.isNaN(world.clients().rate())
                ? world.clients().load() * capacity()
                : world.clients().rate();
    }
}
