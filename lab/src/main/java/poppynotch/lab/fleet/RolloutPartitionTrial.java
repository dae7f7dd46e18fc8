package poppynotch.lab.fleet;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import poppynotch.fleet.membership.MemberState;
import poppynotch.fleet.membership.MemberUpdate;
import poppynotch.fleet.membership.MembershipView;
import poppynotch.fleet.membership.PiggybackPayload;
import poppynotch.fleet.membership.SwimSettings;
import poppynotch.fleet.rollout.RolloutController;
import poppynotch.fleet.rollout.RolloutParticipant;
import poppynotch.fleet.rollout.RolloutPlan;
import poppynotch.fleet.wire.CompositePayload;
import poppynotch.fleet.wire.RolloutStagePayload;
import poppynotch.lab.virtual.VirtualClock;

/**
 * Trial of a rollout during a partition between regions, on virtual time: its controller is in the
 * larger region and no calls are made, so that the stage stays. Measures what the controller sends,
 * and how long the stage stays valid in the other region.
 */
public final class RolloutPartitionTrial {

    private static final double SETTLE_MS = 60_000;
    private static final double MEASURED_MS = 60_000;
    private static final double STEP_MS = 100;

    /** As the product's controller: it polls all each second, and decides ten times a second. */
    private static final double POLL_INTERVAL_MS = 1000;

    private static final double MAX_RECOVERY_MS = 180_000;
    private static final int SEEDS = 3;
    private static final int CONTROLLER = 0;
    private static final double CANARY_FRACTION = 0.25;
    private static final RolloutPlan PLAN =
            new RolloutPlan(
                    "cut",
                    "new",
                    List.of(),
                    List.of(CANARY_FRACTION, 1.0),
                    5000,
                    100,
                    0.1,
                    0.1,
                    0.01,
                    true);

    private final int size;
    private final FailureDomains places;
    private final VirtualClock time = new VirtualClock();
    private final VirtualFleet fleet;
    private final SplittableRandom random;
    private final Map<Integer, RolloutParticipant> participants = new TreeMap<>();
    private final Map<Long, String> pendingPolls = new HashMap<>();
    private final TrialOutcome outcome = new TrialOutcome();
    private RolloutController controller;

    /** The fleet has run up to this time; the clock itself stands at the last event before. */
    private double nowMs;

    private RolloutPartitionTrial(int size, long seed, FailureDomains.Delays delays) {
        this.size = size;
        random = new SplittableRandom(seed * 313 + 5);
        places = FailureDomains.planned(size, delays);
        fleet =
                new VirtualFleet(
                        new FleetPlan(size, seed, 5000, SEEDS, 0, List.of()),
                        SwimSettings.DEFAULT,
                        true,
                        Interposer.NONE,
                        (now, at, before, is) -> {},
                        this::makePayload,
                        time,
                        places);
    }

    private PiggybackPayload makePayload(VirtualFleet.Node node) {
        RolloutParticipant stager = new RolloutParticipant();
        participants.put(node.number, stager);
        return new CompositePayload()
                .with(
                        RolloutStagePayload.LETTER,
                        new RolloutStagePayload(stager, random.nextLong() >>> 1) {
                            @Override
                            public void onAnswer(
                                    double now, String from, long sequence, ByteBuffer answer) {
                                if (controller != null
                                        && from.equals(pendingPolls.remove(sequence))) {
                                    try {
                                        RolloutStagePayload.Report report =
                                                RolloutStagePayload.decodeAnswer(answer);
                                        controller.onReport(
                                                now,
                                                from,
                                                node.membership.member(from).profile().zone(),
                                                report.run(),
                                                report.metrics());
                                    } catch (IOException e) {
                                        throw new IllegalStateException(
                                                "what is written can be read", e);
                                    }
                                }
                            }
                        });
    }

    /**
     * Runs one trial with a partition of {@code cutMs}; a stage lapses and ends only if that is
     * longer than its bounds.
     */
    public static TrialOutcome play(
            int size, double cutMs, long seed, FailureDomains.Delays delays) {
        return new RolloutPartitionTrial(size, seed, delays).play(cutMs);
    }

    private void advance(double ms) {
        nowMs += ms;
        fleet.runUntil(nowMs);
    }

    private VirtualFleet.Node controllerNode() {
        return fleet.nodes().get(CONTROLLER);
    }

    private void poll() {
        VirtualFleet.Node node = controllerNode();
        double now = node.localTimeMs();
        pendingPolls.clear();
        for (MembershipView.Member member : node.membership.view(now).members()) {
            MemberUpdate held = member.update();
            if (held.state() == MemberState.ALIVE
                    && held.profile() != null
                    && !held.name().equals(node.name)) {
                pendingPolls.put(
                        node.membership.sendQuestion(
                                now,
                                held.name(),
                                CompositePayload.encodeSingle(
                                        RolloutStagePayload.LETTER,
                                        RolloutStagePayload.encodeQuestion())),
                        held.name());
            }
        }
        node.scheduleTimer();
        time.schedule(POLL_INTERVAL_MS, this::poll);
    }

    private void advanceController() {
        VirtualFleet.Node node = controllerNode();
        controller.advance(
                node.localTimeMs(),
                (int) node.membership.view(node.localTimeMs()).presentCount() - 1);
        time.schedule(STEP_MS, this::advanceController);
    }

    private double canaryFraction(int member) {
        return participants.get(member).canaryFraction(fleet.nodes().get(member).localTimeMs());
    }

    private boolean hasStage(int member) {
        return participants.get(member).currentStage(fleet.nodes().get(member).localTimeMs())
                != null;
    }

    private TrialOutcome play(double cutMs) {
        advance(SETTLE_MS);
        TrafficMeter meter = new TrafficMeter(fleet);
        advance(MEASURED_MS);
        double messages = meter.rate(TrafficMeter.Metric.MESSAGES_OUT, CONTROLLER);
        double bytes = meter.rate(TrafficMeter.Metric.BYTES_OUT, CONTROLLER);
        double bytesIn = meter.rate(TrafficMeter.Metric.BYTES_IN, CONTROLLER);
        startController();
        measurePropagation();
        meter.begin();
        advance(MEASURED_MS);
        // Compared with what the same member sent before it ran the controller.
        outcome.add(
                "release.conductor.messages_out",
                "1/s",
                size,
                meter.rate(TrafficMeter.Metric.MESSAGES_OUT, CONTROLLER) - messages);
        outcome.add(
                "release.conductor.bytes_out",
                "B/s",
                size,
                meter.rate(TrafficMeter.Metric.BYTES_OUT, CONTROLLER) - bytes);
        outcome.add(
                "release.conductor.bytes_in",
                "B/s",
                size,
                meter.rate(TrafficMeter.Metric.BYTES_IN, CONTROLLER) - bytesIn);
        setPartitioned(true);
        measurePartition(cutMs);
        setPartitioned(false);
        measureRecovery();
        return outcome;
    }

    private void startController() {
        VirtualFleet.Node node = controllerNode();
        RolloutParticipant own = participants.get(CONTROLLER);
        controller =
                new RolloutController(
                        node.localTimeMs(),
                        PLAN,
                        1,
                        null,
                        stage -> own.onStage(node.localTimeMs(), stage, 0),
                        line -> {});
        poll();
        advanceController();
    }

    /** Measures how long the first stage takes to reach all members. */
    private void measurePropagation() {
        double startMs = nowMs;
        boolean isKnownToAll = false;
        while (!isKnownToAll && nowMs < startMs + MEASURED_MS) {
            advance(STEP_MS);
            isKnownToAll =
                    participants.keySet().stream()
                            .allMatch(member -> canaryFraction(member) == CANARY_FRACTION);
        }
        if (isKnownToAll) {
            outcome.add("release.stage.known", "s", size, (nowMs - startMs) / 1000);
        } else {
            outcome.findings()
                    .add(
                            "size "
                                    + size
                                    + ": the first stage was not known to all within "
                                    + MEASURED_MS / 1000
                                    + " s");
        }
    }

    /** Measures when the stage lapses and ends in the other region. */
    private void measurePartition(double cutMs) {
        List<Integer> far = places.in("r2");
        double startMs = nowMs;
        double[] lapsed = {Double.NaN, Double.NaN};
        double[] ended = {Double.NaN, Double.NaN};
        long nearWithout = 0;
        while (nowMs < startMs + cutMs) {
            advance(STEP_MS);
            double at = (nowMs - startMs) / 1000;
            recordFirstAndLast(
                    lapsed,
                    at,
                    far.stream().filter(member -> canaryFraction(member) == 0).count(),
                    far.size());
            recordFirstAndLast(
                    ended,
                    at,
                    far.stream().filter(member -> !hasStage(member)).count(),
                    far.size());
            nearWithout =
                    Math.max(
                            nearWithout,
                            places.in("r1").stream()
                                    .filter(member -> canaryFraction(member) == 0)
                                    .count());
        }
        addFirstAndLast("release.cut.lapse", lapsed);
        addFirstAndLast("release.cut.end", ended);
        outcome.add("release.cut.near_lapsed", "count", size, (double) nearWithout);
    }

    /** Measures how long the stage takes to be back in the other region. */
    private void measureRecovery() {
        List<Integer> far = places.in("r2");
        double partitionEndMs = nowMs;
        boolean isBack = false;
        while (!isBack && nowMs < partitionEndMs + MAX_RECOVERY_MS) {
            advance(STEP_MS);
            isBack = far.stream().allMatch(member -> canaryFraction(member) > 0);
        }
        if (isBack) {
            outcome.add("release.cut.back", "s", size, (nowMs - partitionEndMs) / 1000);
        } else {
            outcome.findings()
                    .add(
                            "size "
                                    + size
                                    + ": the stage was not back in r2 within "
                                    + MAX_RECOVERY_MS / 1000
                                    + " s after the mend; it is "
                                    + controller.stage().phase()
                                    + " "
                                    + controller.stage().reason());
        }
    }

    private void setPartitioned(boolean isPartitioned) {
        fleet.setRegionPartitioned("r1", "r2", isPartitioned);
        fleet.setRegionPartitioned("r2", "r1", isPartitioned);
    }

    /** Keeps the times at which the first member and all members had changed. */
    private static void recordFirstAndLast(double[] times, double at, long did, int all) {
        if (did > 0 && Double.isNaN(times[0])) {
            times[0] = at;
        }
        if (did == all && Double.isNaN(times[1])) {
            times[1] = at;
        }
    }

    private void addFirstAndLast(String key, double[] times) {
        if (!Double.isNaN(times[1])) {
            outcome.figures()
                    .add(
                            new TrialOutcome.Figure(
                                    key,
                                    "s",
                                    size,
                                    times[1],
                                    times[0],
                                    times[1],
                                    places.in("r2").size()));
        }
    }
}
