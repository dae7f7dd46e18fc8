package poppynotch.fleet.rollout;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Runs a gradual rollout: takes it from stage to stage by what processes report of their calls,
 * halts it, and rolls it back. What it has decided is in the {@link RolloutStage} that it
 * publishes: a controller that takes over continues from there, with the evidence gathered anew.
 *
 * <p>It does no I/O, and the current time is passed in. Its owner, which holds the rollout's lease,
 * calls {@link #advance} every 100 ms or so, on one thread; not thread-safe.
 */
public final class RolloutController {

    /**
     * The stage is published this often where nothing changes, so that processes know it to be
     * current.
     */
    private static final double PUBLISH_INTERVAL_MS = 1000;

    /** A stage ends only while at least this fraction of the serving processes reports. */
    private static final double MIN_REPORTING_FRACTION = 0.5;

    /** Reports are analysed in blocks of this duration. */
    private static final double BLOCK_MS = 1000;

    private final RolloutPlan plan;
    private final long token;
    private final Consumer<RolloutStage> publisher;
    private final Consumer<String> log;
    private final CanaryGate gate;
    private final CanaryReportCollector reports = new CanaryReportCollector();

    private RolloutStage stage;
    private double stageSinceMs;
    private double publishedMs;
    private double blockSinceMs;
    private long canaryCallsInStage;

    /**
     * Begins a rollout, or continues it, and publishes the stage.
     *
     * @param token fencing token of the lease under which it runs; higher than that of any
     *     controller before
     * @param last the stage in force in the fleet, or null
     * @param publisher publishes each stage to the fleet
     * @param log receives a line for each decision
     */
    public RolloutController(
            double nowMs,
            RolloutPlan plan,
            long token,
            RolloutStage last,
            Consumer<RolloutStage> publisher,
            Consumer<String> log) {
        this.plan = plan;
        this.token = token;
        this.publisher = publisher;
        this.log = log;
        gate = new CanaryGate(plan);
        blockSinceMs = nowMs;
        stageSinceMs = nowMs;
        boolean continues = last != null && last.rolloutName().equals(plan.name());
        stage = continues ? last : firstStage();
        publish(
                nowMs,
                stage.phase(),
                Math.min(stage.index(), plan.stageFractions().size() - 1),
                stage.canaryFraction(),
                continues ? "taken over" : "begun");
    }

    private RolloutStage firstStage() {
        return new RolloutStage(
                plan.name(),
                plan.serverKind(),
                plan.serverIds(),
                RolloutStage.Phase.RUNNING,
                0,
                plan.stageFractions().get(0),
                token,
                0,
                "begun");
    }

    private void publish(
            double nowMs, RolloutStage.Phase phase, int number, double fraction, String reason) {
        RolloutStage previous = stage;
        boolean changed =
                previous.phase() != phase
                        || previous.canaryFraction() != fraction
                        || !reason.equals(previous.reason());
        stage =
                new RolloutStage(
                        plan.name(),
                        plan.serverKind(),
                        plan.serverIds(),
                        phase,
                        number,
                        fraction,
                        token,
                        previous.token() == token ? previous.sequence() + 1 : 1,
                        truncated(reason));
        publishedMs = nowMs;
        publisher.accept(stage);
        if (changed) {
            log.accept(
                    "Rollout "
                            + plan.name()
                            + ": "
                            + describe(previous)
                            + " -> "
                            + describe(stage)
                            + ", token="
                            + token
                            + ", cause: "
                            + reason);
        }
    }

    private static String truncated(String reason) {
        return reason.length() > RolloutStage.MAX_REASON_LENGTH
                ? reason.substring(0, RolloutStage.MAX_REASON_LENGTH)
                : reason;
    }

    private static String describe(RolloutStage stage) {
        return nameOf(stage.phase())
                + " (stage="
                + stage.index()
                + ", fraction="
                + stage.canaryFraction()
                + ")";
    }

    private static String nameOf(RolloutStage.Phase phase) {
        return phase.name().toLowerCase(Locale.ROOT);
    }

    /** The stage that was published last. */
    public RolloutStage stage() {
        return stage;
    }

    /**
     * A process has reported.
     *
     * @param zone the process's zone
     * @param instanceId tells the process from an earlier one of its name, whose counts ended with
     *     it
     * @param metrics of its calls since its start
     */
    public void onReport(
            double nowMs, String member, String zone, long instanceId, CanaryMetrics metrics) {
        reports.onReport(nowMs, member, zone, instanceId, metrics);
    }

    /**
     * Analyses reports, and publishes the next stage where that is due.
     *
     * @param servingCount how many processes serve clients now
     */
    public void advance(double nowMs, int servingCount) {
        if (nowMs >= blockSinceMs + BLOCK_MS) {
            blockSinceMs = nowMs;
            for (CanaryMetrics zoneMetrics : reports.takeBlock()) {
                gate.addBlock(zoneMetrics);
                canaryCallsInStage += zoneMetrics.calls().canary();
            }
        }
        if (stage.phase() == RolloutStage.Phase.RUNNING) {
            advanceStage(nowMs, servingCount);
        }
        if (nowMs >= publishedMs + PUBLISH_INTERVAL_MS) {
            publish(nowMs, stage.phase(), stage.index(), stage.canaryFraction(), stage.reason());
        }
    }

    private void advanceStage(double nowMs, int servingCount) {
        if (gate.isHarmful()) {
            stopHarmful(nowMs);
            return;
        }
        boolean enoughEvidence =
                canaryCallsInStage >= plan.minCanaryCalls()
                        && reports.reportingCount(nowMs) >= servingCount * MIN_REPORTING_FRACTION;
        if (nowMs < stageSinceMs + plan.bakeMs() || !enoughEvidence) {
            return;
        }
        stageSinceMs = nowMs;
        canaryCallsInStage = 0;
        int next = stage.index() + 1;
        if (next < plan.stageFractions().size()) {
            publish(
                    nowMs,
                    RolloutStage.Phase.RUNNING,
                    next,
                    plan.stageFractions().get(next),
                    "baked: " + gate.failureSummary());
        } else {
            publish(nowMs, RolloutStage.Phase.DONE, stage.index(), 1, "all stages baked");
        }
    }

    private void stopHarmful(double nowMs) {
        if (plan.rollBackOnHarm()) {
            publish(nowMs, RolloutStage.Phase.BACK, stage.index(), 0, gate.harm());
        } else {
            publish(
                    nowMs,
                    RolloutStage.Phase.HALTED,
                    stage.index(),
                    stage.canaryFraction(),
                    gate.harm());
        }
    }

    /**
     * An operator halts the rollout at its stage.
     *
     * @return why that is rejected; empty where it was done or was so already
     */
    public Optional<String> halt(double nowMs) {
        return changePhase(
                nowMs,
                RolloutStage.Phase.RUNNING,
                RolloutStage.Phase.HALTED,
                "operators said halt");
    }

    /**
     * An operator resumes a halted rollout; one whose canary was judged harmful is not resumed.
     *
     * @return why that is rejected; empty where it was done or was so already
     */
    public Optional<String> resume(double nowMs) {
        if (gate.isHarmful()) {
            return Optional.of(
                    "this version was judged bad; a release of another name can try it again");
        }
        stageSinceMs = nowMs;
        return changePhase(
                nowMs,
                RolloutStage.Phase.HALTED,
                RolloutStage.Phase.RUNNING,
                "operators said resume");
    }

    /** An operator rolls back: the canary receives no calls any more; may be repeated. */
    public void rollBack(double nowMs) {
        if (stage.phase() != RolloutStage.Phase.BACK) {
            publish(nowMs, RolloutStage.Phase.BACK, stage.index(), 0, "operators said back");
        }
    }

    private Optional<String> changePhase(
            double nowMs, RolloutStage.Phase from, RolloutStage.Phase to, String reason) {
        if (stage.phase() == to) {
            return Optional.empty();
        }
        if (stage.phase() != from) {
            return Optional.of("the release is " + nameOf(stage.phase()));
        }
        publish(nowMs, to, stage.index(), stage.canaryFraction(), reason);
        return Optional.empty();
    }

    /** The stage, the evidence and who reports, for operators; the keys are read by their tools. */
    public Map<String, Object> status(double nowMs, int servingCount) {
        Map<String, Object> status = new TreeMap<>();
        status.put("release", plan.name());
        status.put("phase", nameOf(stage.phase()));
        status.put("stage", stage.index());
        status.put("part", stage.canaryFraction());
        status.put("why", stage.reason());
        status.put("token", token);
        status.put("failures", gate.failureSummary());
        status.put("slow", gate.slownessSummary());
        status.put("evidence", gate.evidence());
        status.put("calls_this_stage", canaryCallsInStage);
        status.put("calls_wanted", plan.minCanaryCalls());
        status.put("baked_ms", (long) (nowMs - stageSinceMs));
        status.put("heard", reports.reportingCount(nowMs));
        status.put("serving", servingCount);
        status.put("refused", reports.rejectedCount());
        return status;
    }
}
