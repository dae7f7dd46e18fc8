package poppynotch.lab.fleet;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.apache.commons.math3.random.RandomDataGenerator;
import org.apache.commons.math3.random.Well19937c;
import poppynotch.canary.VersionCounts;
import poppynotch.fleet.membership.SwimSettings;
import poppynotch.fleet.rollout.CanaryMetrics;
import poppynotch.fleet.rollout.RolloutController;
import poppynotch.fleet.rollout.RolloutParticipant;
import poppynotch.fleet.rollout.RolloutPlan;
import poppynotch.fleet.rollout.RolloutStage;
import poppynotch.fleet.wire.CompositePayload;
import poppynotch.fleet.wire.RolloutStagePayload;

/**
 * Trial of a gradual rollout of a server version on virtual time, in a fleet of processes that call
 * the servers. Controller, stages, reports, canary analysis and membership are the product's; calls
 * and servers are a model: each call goes to the new version by the stage's fraction, and fails or
 * is slow at its version's rates.
 */
public final class RolloutTrial {

    private static final double STEP_MS = 100;
    private static final double START_MS = 15_000;
    private static final double POLL_INTERVAL_MS = 1000;

    /** The controller's lease is handed over within its duration and two seconds. */
    private static final double CONTROLLER_HANDOVER_MS = 7000;

    private static final String NEW_VERSION = "new";

    /** Methods of a rollout. */
    public enum RolloutMethod {
        /** Stages that the controller advances by canary analysis. */
        STAGED,
        /** The same stages, advanced by time alone. */
        TIMER,
        /** All calls go to the new version from the start. */
        AT_ONCE
    }

    /**
     * How a version behaves.
     *
     * @param fails fraction of its calls that fail
     * @param slow fraction of its calls that are slow
     * @param fromMs from when it does so, since the start of the rollout; before, it behaves as the
     *     old version
     * @param abovePart it does so only while more than this fraction of the calls goes to it
     */
    public record Behaviour(double fails, double slow, double fromMs, double abovePart) {}

    /**
     * The settings of a trial.
     *
     * @param processes how many processes call, beside two that may run the controller
     * @param callsPerSecond of each process
     * @param lengthMs how long calls are counted
     * @param conductorEnds milliseconds from the start until the first controller ends; 0 for never
     * @param gateOpen seeds a defect: failures and slow calls are never counted
     */
    public record Setting(
            int processes,
            double callsPerSecond,
            Behaviour old,
            Behaviour fresh,
            RolloutMethod way,
            RolloutPlan plan,
            double lengthMs,
            double conductorEnds,
            boolean gateOpen,
            long seed,
            List<Fault> faults) {}

    /**
     * The outcome of a trial.
     *
     * @param calls all calls
     * @param hurt calls to the new version that failed or were slow, beyond those that the old
     *     version would have had
     * @param judgedMs milliseconds from the start until the new version was judged bad, or below 0
     * @param last the latest stage
     * @param worstPart the most by which the part of calls to the new version in any ten seconds
     *     without a change was above the planned one, as a part of all calls
     * @param twoConductors how often a stage of an earlier controller was seen after one of a later
     */
    public record Outcome(
            long calls,
            long hurt,
            double judgedMs,
            RolloutStage last,
            double worstPart,
            int twoConductors) {}

    private final class TrialProcess {
        final VirtualFleet.Node node;
        final RolloutParticipant participant = new RolloutParticipant();
        final CompositePayload payloads = new CompositePayload();
        RolloutController controller;
        final Map<Long, String> pendingPolls = new HashMap<>();
        double nextPollMs;

        TrialProcess(VirtualFleet.Node node) {
            this.node = node;
            participant.onServersListed(
                    true, Map.of("s-" + NEW_VERSION, NEW_VERSION, "s-old", "old"));
            payloads.with(
                    RolloutStagePayload.LETTER,
                    new RolloutStagePayload(participant, random.nextLong() >>> 1) {
                        @Override
                        public void onAnswer(
                                double now, String from, long sequence, ByteBuffer answer) {
                            if (controller != null && from.equals(pendingPolls.remove(sequence))) {
                                try {
                                    RolloutStagePayload.Report report =
                                            RolloutStagePayload.decodeAnswer(answer);
                                    CanaryMetrics tally =
                                            setting.gateOpen()
                                                    ? new CanaryMetrics(
                                                            report.metrics().calls(),
                                                            new VersionCounts(0, 0),
                                                            new VersionCounts(0, 0))
                                                    : report.metrics();
                                    controller.onReport(
                                            now,
                                            from,
                                            node.membership.member(from).profile().zone(),
                                            report.run(),
                                            tally);
                                } catch (IOException e) {
                                    throw new IllegalStateException(
                                            "what is written can be read", e);
                                }
                            }
                        }
                    });
        }

        void startController(long token) {
            double now = node.localTimeMs();
            controller =
                    new RolloutController(
                            now,
                            setting.plan(),
                            token,
                            participant.currentStage(now),
                            stage -> participant.onStage(node.localTimeMs(), stage, 0),
                            line -> {});
        }

        void advance() {
            if (controller == null) {
                return;
            }
            double now = node.localTimeMs();
            if (now >= nextPollMs) {
                nextPollMs = now + POLL_INTERVAL_MS;
                pendingPolls.clear();
                for (TrialProcess other : processes.values()) {
                    if (other.node.number >= CONTROLLERS) {
                        pendingPolls.put(
                                node.membership.sendQuestion(
                                        now,
                                        other.node.name,
                                        CompositePayload.encodeSingle(
                                                RolloutStagePayload.LETTER,
                                                RolloutStagePayload.encodeQuestion())),
                                other.node.name);
                    }
                }
                node.scheduleTimer();
            }
            controller.advance(now, setting.processes());
        }
    }

    private static final int CONTROLLERS = 2;

    private final Setting setting;
    private final SplittableRandom random;
    private final VirtualFleet fleet;
    private final Map<Integer, TrialProcess> processes = new TreeMap<>();

    private long calls;
    private double hurt;

    /** When the new version was judged bad, since the start; negative before. */
    private double judgedMs = -1;

    private long highestToken;

    /** How often the latest stage was of an earlier controller than one seen before. */
    private int outdatedStages;

    private final FractionExcess excess = new FractionExcess();

    /** Draws the calls and their outcomes. */
    private final RandomDataGenerator draw;

    /** The calls of one step. */
    private static final class StepCalls {
        long all;
        long toNewVersion;
    }

    /**
     * The largest excess of the new version's fraction of calls over the planned one, in any window
     * without a change of stage.
     */
    private static final class FractionExcess {
        private static final double WINDOW_MS = 10_000;

        /** A change of stage takes some seconds to reach all processes. */
        private static final double PROPAGATION_MS = 6000;

        double worst;
        private long allCalls;
        private long newCalls;
        private double windowFromMs;
        private RolloutStage windowStage;

        void record(double at, RolloutStage stage, StepCalls step) {
            boolean isUnchanged =
                    stage != null
                            && windowStage != null
                            && stage.canaryFraction() == windowStage.canaryFraction();
            if (!isUnchanged) {
                windowStage = stage;
                startWindow(at + PROPAGATION_MS);
                return;
            }
            if (at >= windowFromMs) {
                allCalls += step.all;
                newCalls += step.toNewVersion;
            }
            if (at - windowFromMs >= WINDOW_MS) {
                worst = Math.max(worst, (double) newCalls / allCalls - stage.canaryFraction());
                startWindow(at);
            }
        }

        private void startWindow(double fromMs) {
            windowFromMs = fromMs;
            allCalls = 0;
            newCalls = 0;
        }
    }

    private RolloutTrial(Setting setting) {
        this.setting = setting;
        draw = new RandomDataGenerator(new Well19937c(setting.seed()));
        random = new SplittableRandom(setting.seed() * 977 + 1);
        fleet =
                new VirtualFleet(
                        new FleetPlan(
                                setting.processes() + CONTROLLERS,
                                setting.seed(),
                                3000,
                                2,
                                0,
                                setting.faults()),
                        SwimSettings.DEFAULT,
                        true,
                        Interposer.NONE,
                        (now, at, before, is) -> {},
                        node -> {
                            TrialProcess process = new TrialProcess(node);
                            processes.put(node.number, process);
                            return process.payloads;
                        });
    }

    /** Runs one trial on the calling thread. */
    public static Outcome play(Setting setting) {
        return new RolloutTrial(setting).play();
    }

    private double canaryFraction(TrialProcess process, double at) {
        return switch (setting.way()) {
            case STAGED -> {
                RolloutStage held = process.participant.currentStage(process.node.localTimeMs());
                // Before the first stage arrives, the new version is not deployed.
                yield held == null
                        ? 0
                        : process.participant.canaryFraction(process.node.localTimeMs());
            }
            case TIMER ->
                    setting.plan()
                            .stageFractions()
                            .get(
                                    (int)
                                            Math.min(
                                                    setting.plan().stageFractions().size() - 1,
                                                    at / setting.plan().bakeMs()));
            case AT_ONCE -> 1;
        };
    }

    private Outcome play() {
        fleet.runUntil(START_MS);
        if (setting.way() == RolloutMethod.STAGED) {
            processes.get(0).startController(1);
        }
        for (double at = 0; at < setting.lengthMs(); at += STEP_MS) {
            handOverController(at);
            fleet.runUntil(START_MS + at + STEP_MS);
            StepCalls step = runStep(at);
            calls += step.all;
            RolloutStage stage = latestStage();
            if (stage != null) {
                recordStage(at, stage);
            }
            excess.record(at, stage, step);
        }
        return new Outcome(
                calls, Math.round(hurt), judgedMs, latestStage(), excess.worst, outdatedStages);
    }

    /**
     * Ends the first controller when it is due, and starts the second once it may hold the lease.
     */
    private void handOverController(double at) {
        if (setting.conductorEnds() <= 0) {
            return;
        }
        if (at >= setting.conductorEnds()) {
            processes.get(0).controller = null;
        }
        if (at >= setting.conductorEnds() + CONTROLLER_HANDOVER_MS
                && processes.get(1).controller == null) {
            processes.get(1).startController(2);
        }
    }

    private StepCalls runStep(double at) {
        StepCalls step = new StepCalls();
        for (TrialProcess process : List.copyOf(processes.values())) {
            if (!process.node.isRunning() || process.node.paused) {
                continue;
            }
            process.advance();
            if (process.node.number < CONTROLLERS) {
                continue;
            }
            double fraction = canaryFraction(process, at);
            long count = draw.nextPoisson(setting.callsPerSecond() * STEP_MS / 1000);
            for (long i = 0; i < count; i++) {
                boolean isNew = draw.nextUniform(0, 1) < fraction;
                call(process, isNew, behaviour(isNew, at, fraction));
                step.all++;
                step.toNewVersion += isNew ? 1 : 0;
            }
        }
        return step;
    }

    private Behaviour behaviour(boolean isNew, double at, double fraction) {
        return isNew && at >= setting.fresh().fromMs() && fraction > setting.fresh().abovePart()
                ? setting.fresh()
                : setting.old();
    }

    private void call(TrialProcess process, boolean isNew, Behaviour behaviour) {
        boolean failed = draw.nextUniform(0, 1) < behaviour.fails();
        boolean slow = !failed && draw.nextUniform(0, 1) < behaviour.slow();
        process.participant.onCallEnded(
                process.node.localTimeMs(), isNew ? "s-" + NEW_VERSION : "s-old", failed, slow);
        if (behaviour == setting.fresh() && (failed || slow)) {
            // The fraction of such calls that the old version would not have had.
            hurt +=
                    1
                            - Math.min(
                                    1,
                                    (setting.old().fails() + setting.old().slow())
                                            / Math.max(1e-9, behaviour.fails() + behaviour.slow()));
        }
    }

    private void recordStage(double at, RolloutStage stage) {
        outdatedStages += stage.token() < highestToken ? 1 : 0;
        highestToken = Math.max(highestToken, stage.token());
        boolean isBad =
                stage.reason().startsWith("calls fail")
                        || stage.reason().startsWith("answers are slow");
        if (judgedMs < 0 && isBad) {
            judgedMs = at;
        }
    }

    private RolloutStage latestStage() {
        RolloutStage latest = null;
        for (TrialProcess process : new ArrayList<>(processes.values())) {
            RolloutStage held =
                    process.node.isRunning()
                            ? process.participant.currentStage(process.node.localTimeMs())
                            : null;
            latest = held != null && held.isLaterThan(latest) ? held : latest;
        }
        return latest;
    }
}
