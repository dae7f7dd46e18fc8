package poppynotch.fleet.rollout;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Runs a gradual rollout: advances it from stage to stage based on the call metrics that processes
 * report, halts it, and rolls it back. Its decisions are in the {@link RolloutStage} that it
 * publishes: a controller that takes over continues from that stage and collects evidence anew.
 *
 * <p>It does no I/O, and the current time is passed in. Its owner, which holds the rollout's lease,
 * calls {@link #advance} about every 100 ms, on one thread; not thread-safe.
 */
public final class RolloutController {

    /**
     * The interval at which an unchanged stage is published again, so that processes know that it
     * is current.
     */
    private static final double PUBLISH_INTERVAL_MS = 1000;

    /** A stage is completed only while at least this fraction of serving processes reports. */
    private static final double MIN_REPORTING_FRACTION = 0.5;

    /** Duration of the time blocks in which reports are analysed. */
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
     * Begins or continues a rollout, and publishes its stage.
     *
     * @param token fencing token of the controller's lease; higher than those of all earlier
     *     controllers
     * @param last the current stage in the fleet, or null if there is none
     * @param publisher publishes each stage to the fleet
     * @param log receives a log line for each decision
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
                    "Rollout stage changed: rollout="
                            + plan.name()
                            + ", old="
                            + describe(previous)
                            + ", new="
                            + describe(stage)
                            + ", token="
                            + token
                            + ", cause="
                            + reason);
        }
    }

    private static String truncated(String reason) {
        return reason.length() > RolloutStage.MAX_REASON_LENGTH
                ? reason.substring(0, RolloutStage.MAX_REASON_LENGTH)
                : reason;
    }

    private static String describe(RolloutStage stage) {
        return "[phase="
                + nameOf(stage.phase())
                + ", stage="
                + stage.index()
                + ", canaryFraction="
                + stage.canaryFraction()
                + "]";
    }

    private static String nameOf(RolloutStage.Phase phase) {
        return phase.name().toLowerCase(Locale.ROOT);
    }

    /** The last published stage. */
    public RolloutStage stage() {
        return stage;
    }

    /**
     * Handles a report of a process.
     *
     * @param zone the process's zone
     * @param instanceId distinguishes the process from earlier ones of its name, as the counts of a
     *     new process start at zero
     * @param metrics the metrics of the process's calls since its start
     */
    public void onReport(
            double nowMs, String member, String zone, long instanceId, CanaryMetrics metrics) {
        reports.onReport(nowMs, member, zone, instanceId, metrics);
    }

    /**
     * Analyses reports, and publishes the next stage if it is due.
     *
     * @param servingCount the number of processes that currently serve clients
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
            publish(nowMs, RolloutStage.Phase.BACK, stage.index(), 0, gate.harmReason());
        } else {
            publish(
                    nowMs,
                    RolloutStage.Phase.HALTED,
                    stage.index(),
                    stage.canaryFraction(),
                    gate.harmReason());
        }
    }

    /**
     * Halts the rollout at its current stage, on an operator's command.
     *
     * @return why the command is rejected; empty if the rollout is halted, also if it already was
     */
    public Optional<String> halt(double nowMs) {
        return changePhase(
                nowMs,
                RolloutStage.Phase.RUNNING,
                RolloutStage.Phase.HALTED,
                "operators said halt");
    }

    /**
     * Resumes a halted rollout, on an operator's command; rejected if the canary was judged
     * harmful.
     *
     * @return why the command is rejected; empty if the rollout runs, also if it already did
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

    /** Rolls back, on an operator's command: the canary receives no more calls. Idempotent. */
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

    /** The stage, evidence and reporting processes, for operators; tools depend on the keys. */
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
