package poppynotch.lab.virtual;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleConsumer;
import java.util.function.Function;
import poppynotch.balancer.AttemptLimits;
import poppynotch.balancer.BalancerSettings;
import poppynotch.balancer.RequestClass;
import poppynotch.balancer.ServerRules;
import poppynotch.balancer.Tenant;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.measure.DayScore;
import poppynotch.lab.measure.Result;
import poppynotch.lab.measure.RulesChecker;
import poppynotch.lab.policy.Policies;
import poppynotch.lab.world.CompositeWorldListener;
import poppynotch.lab.world.SidecarPort;
import poppynotch.lab.world.Sidecars;
import poppynotch.lab.world.SimulatedDay;

/**
 * Runs a simulated day on a virtual clock, on one thread: the same seed gives the same result, to
 * the last figure.
 */
public final class VirtualWorld implements Sidecars {

    /** Interval at which concurrency limits are sampled. */
    private static final double LIMIT_SAMPLE_INTERVAL_MS = 1000;

    /** Events between two reports of progress. */
    private static final int PROGRESS_EVENTS = 100_000;

    /**
     * The result of a day and the cost of running it.
     *
     * @param events tasks that ran on the clock
     * @param nanos real time
     * @param liveBytes what the day's state takes at its end, or -1 where that was not looked at
     */
    public record DayRun(
            Result result,
            long events,
            long nanos,
            long liveBytes,
            int sidecars,
            int modelServers) {}

    private final Experiment experiment;
    private final String policy;
    private final VirtualClock time = new VirtualClock();
    private final List<VirtualSidecar> sidecars = new ArrayList<>();

    /** Null where sidecars share nothing. */
    private final Peers peers;

    private SimulatedDay day;

    private VirtualWorld(
            Experiment experiment, String policy, Function<VirtualClock, Peers> fleet) {
        this.experiment = experiment;
        this.policy = policy;
        peers = policy.equals(Policies.SHARED) ? fleet.apply(time) : null;
    }

    /**
     * Runs one day; {@code progress} is called with the fraction that is over, from 0 to 1.
     *
     * @param fleet makes the fleet in which sidecars share, on the day's clock; asked where the
     *     policy shares
     * @param weighed whether the memory it takes is looked at, which wants this process to itself
     */
    public static DayRun play(
            Experiment experiment,
            long seed,
            String policy,
            Map<String, String> point,
            Function<VirtualClock, Peers> fleet,
            boolean weighed,
            DoubleConsumer progress) {
        return new VirtualWorld(experiment, policy, fleet).play(seed, point, weighed, progress);
    }

    private DayRun play(
            long seed, Map<String, String> point, boolean weighed, DoubleConsumer progress) {
        long began = System.nanoTime();
        DayScore score = new DayScore(experiment);
        double slack = experiment.world().rules().answerSlackMs();
        RulesChecker checker = new RulesChecker(experiment, time, slack, 0);
        day =
                new SimulatedDay(
                        experiment,
                        seed,
                        time,
                        slack,
                        new CompositeWorldListener(score, checker),
                        this);
        double[] begunAt = {Double.NaN};
        day.start(
                () -> {
                    begunAt[0] = time.now();
                    score.start(time.now());
                    checker.start(time.now());
                    sampleLimits(score, time.now() + experiment.durationMs());
                });
        double until = Double.POSITIVE_INFINITY;
        for (long count = 0; time.step(until); count++) {
            if (until == Double.POSITIVE_INFINITY && !Double.isNaN(begunAt[0])) {
                // Requests that the last moment brought have had their time by then, and its
                // messages too.
                until = begunAt[0] + day.lengthMs() + LIMIT_SAMPLE_INTERVAL_MS;
            }
            if (count % PROGRESS_EVENTS == 0) {
                progress.accept(Math.min(1, (time.now() - begunAt[0]) / day.lengthMs()));
            }
        }
        Result result = score.result("virtual", policy, seed, point, checker);
        long nanos = System.nanoTime() - began;
        int modelServers = 0;
        for (int tier = 0; tier < day.tiers(); tier++) {
            modelServers += day.modelServers(tier).size();
        }
        return new DayRun(
                result,
                time.events(),
                nanos,
                weighed ? liveBytes() : -1,
                sidecars.size(),
                modelServers);
    }

    private static long liveBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** Samples the first tier's limits, and schedules the next sample. */
    private void sampleLimits(DayScore score, double until) {
        sidecars.removeIf(sidecar -> !sidecar.isAlive());
        for (VirtualSidecar sidecar : sidecars) {
            if (sidecar.tier() == 0 && sidecar.limit() >= 0) {
                score.recordLimit(time.now(), sidecar.limit());
            }
        }
        if (time.now() + LIMIT_SAMPLE_INTERVAL_MS < until) {
            time.schedule(LIMIT_SAMPLE_INTERVAL_MS, () -> sampleLimits(score, until));
        }
    }

    @Override
    public SidecarPort start(Placement post, Runnable ready) {
        VirtualSidecar sidecar =
                new VirtualSidecar(
                        day,
                        post,
                        settings(experiment, post),
                        (settings, seed, host) -> Policies.make(policy, settings, seed, host),
                        peers);
        sidecars.add(sidecar);
        time.schedule(
                experiment.world().startMs(),
                () -> {
                    if (sidecar.isAlive()) {
                        ready.run();
                    }
                });
        return sidecar;
    }

    /** The settings of a sidecar at a position. */
    static BalancerSettings settings(Experiment experiment, Placement post) {
        Experiment.World world = experiment.world();
        Experiment.Rules rules = world.rules();
        Experiment.Tier tier = world.tiers().get(post.tier());
        List<RequestClass> classes =
                world.classes().stream()
                        .map(
                                kind ->
                                        new RequestClass(
                                                kind.name(),
                                                kind.latencyTargetMs(),
                                                kind.deadlineMs(),
                                                kind.value(),
                                                0,
                                                kind.idempotency(),
                                                kind.deduplicationScope(),
                                                kind.deduplicationWindowMs(),
                                                false))
                        .toList();
        List<Tenant> tenants =
                world.tenants().stream()
                        .map(
                                tenant ->
                                        new Tenant(
                                                tenant.name(), tenant.allowance(), tenant.share()))
                        .toList();
        return new BalancerSettings(
                post.sidecarsInTier(),
                post.position(),
                post.zone(),
                post.tier(),
                world.tiers().size(),
                true,
                true,
                0.05,
                rules.crossZonePrice(),
                classes,
                tenants,
                new AttemptLimits(
                        rules.maxAttempts(),
                        false,
                        true,
                        rules.maxRetryAfterMs(),
                        world.network().dialTimeoutMs()),
                new ServerRules(
                        tier.initialCapacityFraction().low(),
                        tier.warmUpMs().high(),
                        rules.overloadMultiple(),
                        rules.overloadWindowMs(),
                        rules.drainGraceMs(),
                        rules.listRequestWithinMs()));
    }
}
