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
import poppynotch.fleet.membership.SwimSettings;
import poppynotch.fleet.rollout.CanaryMetrics;
import poppynotch.fleet.rollout.RolloutController;
import poppynotch.fleet.rollout.RolloutParticipant;
import poppynotch.fleet.rollout.RolloutPlan;
import poppynotch.fleet.rollout.RolloutStage;
import poppynotch.fleet.wire.CompositePayload;
import poppynotch.fleet.wire.RolloutStagePayload;

/**
 * A release of servers in a fleet of processes that call them, on the virtual clock: the product's
 * conductor, stages, reports and judgement, on the product's membership. Calls and servers are a
 * model: each call goes to the new version by the stage's part, and fails or is slow by its
 * version's rates.
 */
public final class RolloutTrial {

    private static final double STEP_MS = 100;
    private static final double FROM_MS = 15_000;
    private static final double POLL_MS = 1000;

    /** A conductor's duty is passed on within a lease and two seconds. */
    private static final double PASSED_ON_MS = 7000;

    private static final String FRESH = "new";

    /** Ways to release. */
    public enum Way {
        /** By the conductor. */
        STAGED,
        /** The same stages by the clock alone. */
        TIMER,
        /** All calls to the new version from the first moment on. */
        AT_ONCE
    }

    /**
     * How a version behaves.
     *
     * @param fails part of its calls that fail
     * @param slow part of its calls that are slow
     * @param fromMs it begins to do so this long after the release has begun; before it is as the
     *     old one
     * @param abovePart it does so only while more than this part of the calls goes to it
     */
    public record Behaviour(double fails, double slow, double fromMs, double abovePart) {}

    /**
     * What a trial is like.
     *
     * @param processes how many call, beside two that may conduct
     * @param callsPerSecond by each
     * @param lengthMs how long is counted
     * @param conductorEnds when the first conductor dies, after the begin; 0 for never
     * @param gateOpen a fault in the program: no mishap is ever counted
     */
    public record Setting(
            int processes,
            double callsPerSecond,
            Behaviour old,
            Behaviour fresh,
            Way way,
            RolloutPlan plan,
            double lengthMs,
            double conductorEnds,
            boolean gateOpen,
            long seed,
            List<Fault> faults) {}

    /**
     * How it went.
     *
     * @param calls all, over the length
     * @param hurt calls to the new version that failed or were slow, beyond what the old one would
     *     have had
     * @param judgedMs from the begin until the new version was judged bad, or below 0
     * @param last the stage that was told last
     * @param worstPart the most by which the part of calls to the new version in any ten seconds
     *     without a change was above the planned one, as a part of all calls
     * @param twoConductors looks at which two conductors told stages that were taken up by turns
     */
    public record Outcome(
            long calls,
            long hurt,
            double judgedMs,
            RolloutStage last,
            double worstPart,
            int twoConductors) {}

    private final class Process {
        final VirtualFleet.Node node;
        final RolloutParticipant stager = new RolloutParticipant();
        final CompositePayload riders = new CompositePayload();
        RolloutController conductor;
        final Map<Long, String> polled = new HashMap<>();
        double pollMs;

        Process(VirtualFleet.Node node) {
            this.node = node;
            stager.onServersListed(true, Map.of("s-" + FRESH, FRESH, "s-old", "old"));
            riders.with(
                    RolloutStagePayload.LETTER,
                    new RolloutStagePayload(stager, random.nextLong() >>> 1) {
                        @Override
                        public void onAnswer(
                                double now, String from, long sequence, ByteBuffer answer) {
                            if (conductor != null && from.equals(polled.remove(sequence))) {
                                try {
                                    RolloutStagePayload.Report report =
                                            RolloutStagePayload.decodeAnswer(answer);
                                    CanaryMetrics tally =
                                            setting.gateOpen()
                                                    ? new CanaryMetrics(
                                                            report.metrics().calls(),
                                                            new CanaryMetrics.VersionCounts(0, 0),
                                                            new CanaryMetrics.VersionCounts(0, 0))
                                                    : report.metrics();
                                    conductor.onReport(
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

        void conduct(long token) {
            double now = node.localTimeMs();
            conductor =
                    new RolloutController(
                            now,
                            setting.plan(),
                            token,
                            stager.currentStage(now),
                            stage -> stager.onStage(node.localTimeMs(), stage, 0),
                            line -> {});
        }

        void advance() {
            if (conductor == null) {
                return;
            }
            double now = node.localTimeMs();
            if (now >= pollMs) {
                pollMs = now + POLL_MS;
                polled.clear();
                for (Process other : processes.values()) {
                    if (other.node.number >= CONDUCTORS) {
                        polled.put(
                                node.membership.sendQuestion(
                                        now,
                                        other.node.name,
                                        CompositePayload.encodeSingle(
                                                RolloutStagePayload.LETTER,
                                                RolloutStagePayload.question())),
                                other.node.name);
                    }
                }
                node.scheduleTimer();
            }
            conductor.advance(now, setting.processes());
        }
    }

    private static final int CONDUCTORS = 2;

    private final Setting setting;
    private final SplittableRandom random;
    private final VirtualFleet fleet;
    private final Map<Integer, Process> processes = new TreeMap<>();

    private RolloutTrial(Setting setting) {
        this.setting = setting;
        random = new SplittableRandom(setting.seed() * 977 + 1);
        fleet =
                new VirtualFleet(
                        new FleetPlan(
                                setting.processes() + CONDUCTORS,
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
                            Process process = new Process(node);
                            processes.put(node.number, process);
                            return process.riders;
                        });
    }

    /** Plays one. */
    public static Outcome play(Setting setting) {
        return new RolloutTrial(setting).play();
    }

    private double part(Process process, double at) {
        return switch (setting.way()) {
            case STAGED -> {
                RolloutStage held = process.stager.currentStage(process.node.localTimeMs());
                // Without a word of any release the new version is not there yet.
                yield held == null ? 0 : process.stager.canaryFraction(process.node.localTimeMs());
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
        fleet.runUntil(FROM_MS);
        RandomDataGenerator draw = new RandomDataGenerator(new Well19937c(setting.seed()));
        long calls = 0;
        double hurt = 0;
        double judged = -1;
        double worst = 0;
        int two = 0;
        long highest = 0;
        long windowCalls = 0;
        long windowFresh = 0;
        double windowFrom = 0;
        RolloutStage windowStage = null;
        if (setting.way() == Way.STAGED) {
            processes.get(0).conduct(1);
        }
        for (double at = 0; at < setting.lengthMs(); at += STEP_MS) {
            if (setting.conductorEnds() > 0 && at >= setting.conductorEnds()) {
                processes.get(0).conductor = null;
            }
            if (setting.conductorEnds() > 0
                    && at >= setting.conductorEnds() + PASSED_ON_MS
                    && processes.get(1).conductor == null) {
                processes.get(1).conduct(2);
            }
            fleet.runUntil(FROM_MS + at + STEP_MS);
            long stepCalls = 0;
            long stepFresh = 0;
            for (Process process : List.copyOf(processes.values())) {
                if (!process.node.isRunning() || process.node.paused) {
                    continue;
                }
                process.advance();
                if (process.node.number < CONDUCTORS) {
                    continue;
                }
                double part = part(process, at);
                long count = draw.nextPoisson(setting.callsPerSecond() * STEP_MS / 1000);
                for (long i = 0; i < count; i++) {
                    boolean isFresh = draw.nextUniform(0, 1) < part;
                    Behaviour is =
                            isFresh
                                            && at >= setting.fresh().fromMs()
                                            && part > setting.fresh().abovePart()
                                    ? setting.fresh()
                                    : setting.old();
                    boolean failed = draw.nextUniform(0, 1) < is.fails();
                    boolean slow = !failed && draw.nextUniform(0, 1) < is.slow();
                    process.stager.onCallEnded(
                            process.node.localTimeMs(),
                            isFresh ? "s-" + FRESH : "s-old",
                            failed,
                            slow);
                    stepCalls++;
                    stepFresh += isFresh ? 1 : 0;
                    hurt +=
                            is == setting.fresh() && (failed || slow)
                                    ? 1
                                            - Math.min(
                                                    1,
                                                    (setting.old().fails() + setting.old().slow())
                                                            / Math.max(
                                                                    1e-9, is.fails() + is.slow()))
                                    : 0;
                }
            }
            calls += stepCalls;
            RolloutStage stage = latest();
            if (stage != null) {
                two += stage.token() < highest ? 1 : 0;
                highest = Math.max(highest, stage.token());
                boolean bad =
                        stage.reason().startsWith("calls fail")
                                || stage.reason().startsWith("answers are slow");
                judged = judged < 0 && bad ? at : judged;
            }
            if (stage != null
                    && windowStage != null
                    && stage.canaryFraction() == windowStage.canaryFraction()) {
                windowCalls += at >= windowFrom ? stepCalls : 0;
                windowFresh += at >= windowFrom ? stepFresh : 0;
                if (at - windowFrom >= 10_000) {
                    worst =
                            Math.max(
                                    worst,
                                    (double) windowFresh / windowCalls - stage.canaryFraction());
                    windowFrom = at;
                    windowCalls = 0;
                    windowFresh = 0;
                }
            } else {
                // A change takes some seconds to reach all.
                windowStage = stage;
                windowFrom = at + 6000;
                windowCalls = 0;
                windowFresh = 0;
            }
        }
        return new Outcome(calls, Math.round(hurt), judged, latest(), worst, two);
    }

    private RolloutStage latest() {
        RolloutStage latest = null;
        for (Process process : new ArrayList<>(processes.values())) {
            RolloutStage held =
                    process.node.isRunning()
                            ? process.stager.currentStage(process.node.localTimeMs())
                            : null;
            latest = held != null && held.isLaterThan(latest) ? held : latest;
        }
        return latest;
    }
}
