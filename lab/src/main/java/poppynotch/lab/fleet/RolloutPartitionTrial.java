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
import poppynotch.lab.virtual.VirtualTime;

/**
 * A release while the regions are apart: its conductor in the larger one, with no calls, so that
 * its stage stays. What the conductor sends, and how long the stage holds in the other region.
 */
public final class RolloutPartitionTrial {

    private static final double SETTLED_MS = 60_000;
    private static final double COUNTED_MS = 60_000;
    private static final double STEP_MS = 100;

    /** As the product's conductor does: it asks all each second, and decides ten times a second. */
    private static final double POLL_MS = 1000;

    private static final double AFTER_MS = 180_000;
    private static final int SEEDS = 3;
    private static final int CONDUCTOR = 0;
    private static final double PART = 0.25;
    private static final RolloutPlan PLAN =
            new RolloutPlan(
                    "cut", "new", List.of(), List.of(PART, 1.0), 5000, 100, 0.1, 0.1, 0.01, true);

    private final int size;
    private final Places places;
    private final VirtualTime time = new VirtualTime();
    private final VirtualFleet fleet;
    private final SplittableRandom random;
    private final Map<Integer, RolloutParticipant> stagers = new TreeMap<>();
    private final Map<Long, String> polled = new HashMap<>();
    private RolloutController conductor;

    /** Played until then; the clock itself stands at what happened last. */
    private double nowMs;

    private RolloutPartitionTrial(int size, long seed, Places.Delays delays) {
        this.size = size;
        random = new SplittableRandom(seed * 313 + 5);
        places = Places.planned(size, delays);
        fleet =
                new VirtualFleet(
                        new FleetPlan(size, seed, 5000, SEEDS, 0, List.of()),
                        SwimSettings.DEFAULT,
                        true,
                        Interposer.NONE,
                        (now, at, before, is) -> {},
                        this::riders,
                        time,
                        places);
    }

    private PiggybackPayload riders(VirtualFleet.Node node) {
        RolloutParticipant stager = new RolloutParticipant();
        stagers.put(node.number, stager);
        return new CompositePayload()
                .with(
                        RolloutStagePayload.LETTER,
                        new RolloutStagePayload(stager, random.nextLong() >>> 1) {
                            @Override
                            public void onAnswer(
                                    double now, String from, long sequence, ByteBuffer answer) {
                                if (conductor != null && from.equals(polled.remove(sequence))) {
                                    try {
                                        RolloutStagePayload.Report report =
                                                RolloutStagePayload.decodeAnswer(answer);
                                        conductor.onReport(
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
     * Plays one with a cut of so long; a stage lapses and ends only where that is longer than its
     * bounds.
     */
    public static TrialOutcome play(int size, double cutMs, long seed, Places.Delays delays) {
        return new RolloutPartitionTrial(size, seed, delays).play(cutMs);
    }

    private void pass(double ms) {
        nowMs += ms;
        fleet.runUntil(nowMs);
    }

    private VirtualFleet.Node conducting() {
        return fleet.nodes().get(CONDUCTOR);
    }

    private void poll() {
        VirtualFleet.Node node = conducting();
        double now = node.localTimeMs();
        polled.clear();
        for (MembershipView.Member member : node.membership.view(now).members()) {
            MemberUpdate held = member.update();
            if (held.state() == MemberState.ALIVE
                    && held.profile() != null
                    && !held.name().equals(node.name)) {
                polled.put(
                        node.membership.sendQuestion(
                                now,
                                held.name(),
                                CompositePayload.encodeSingle(
                                        RolloutStagePayload.LETTER,
                                        RolloutStagePayload.question())),
                        held.name());
            }
        }
        node.scheduleTimer();
        time.after(POLL_MS, this::poll);
    }

    private void decide() {
        VirtualFleet.Node node = conducting();
        conductor.advance(
                node.localTimeMs(),
                (int) node.membership.view(node.localTimeMs()).presentCount() - 1);
        time.after(STEP_MS, this::decide);
    }

    private double part(int member) {
        return stagers.get(member).canaryFraction(fleet.nodes().get(member).localTimeMs());
    }

    private boolean holds(int member) {
        return stagers.get(member).currentStage(fleet.nodes().get(member).localTimeMs()) != null;
    }

    private TrialOutcome play(double cutMs) {
        TrialOutcome outcome = new TrialOutcome();
        List<Integer> far = places.in("r2");
        pass(SETTLED_MS);
        TrafficMeter meter = new TrafficMeter(fleet);
        pass(COUNTED_MS);
        double messages = meter.rate(TrafficMeter.Metric.MESSAGES_OUT, CONDUCTOR);
        double bytes = meter.rate(TrafficMeter.Metric.BYTES_OUT, CONDUCTOR);
        double bytesIn = meter.rate(TrafficMeter.Metric.BYTES_IN, CONDUCTOR);
        VirtualFleet.Node node = conducting();
        RolloutParticipant own = stagers.get(CONDUCTOR);
        conductor =
                new RolloutController(
                        node.localTimeMs(),
                        PLAN,
                        1,
                        null,
                        stage -> own.onStage(node.localTimeMs(), stage, 0),
                        line -> {});
        poll();
        decide();
        double begun = nowMs;
        boolean toldAll = false;
        while (!toldAll && nowMs < begun + COUNTED_MS) {
            pass(STEP_MS);
            toldAll = stagers.keySet().stream().allMatch(member -> part(member) == PART);
        }
        if (toldAll) {
            outcome.add("release.stage.known", "s", size, (nowMs - begun) / 1000);
        } else {
            outcome.findings()
                    .add(
                            "size "
                                    + size
                                    + ": the first stage was not known to all within "
                                    + COUNTED_MS / 1000
                                    + " s");
        }
        meter.begin();
        pass(COUNTED_MS);
        // What it sends more than the same member did before it conducted.
        outcome.add(
                "release.conductor.messages_out",
                "1/s",
                size,
                meter.rate(TrafficMeter.Metric.MESSAGES_OUT, CONDUCTOR) - messages);
        outcome.add(
                "release.conductor.bytes_out",
                "B/s",
                size,
                meter.rate(TrafficMeter.Metric.BYTES_OUT, CONDUCTOR) - bytes);
        outcome.add(
                "release.conductor.bytes_in",
                "B/s",
                size,
                meter.rate(TrafficMeter.Metric.BYTES_IN, CONDUCTOR) - bytesIn);
        cut(true);
        double from = nowMs;
        double[] lapsed = {Double.NaN, Double.NaN};
        double[] ended = {Double.NaN, Double.NaN};
        long nearWithout = 0;
        while (nowMs < from + cutMs) {
            pass(STEP_MS);
            double at = (nowMs - from) / 1000;
            times(lapsed, at, far.stream().filter(member -> part(member) == 0).count(), far.size());
            times(ended, at, far.stream().filter(member -> !holds(member)).count(), far.size());
            nearWithout =
                    Math.max(
                            nearWithout,
                            places.in("r1").stream().filter(member -> part(member) == 0).count());
        }
        told(outcome, "release.cut.lapse", lapsed);
        told(outcome, "release.cut.end", ended);
        outcome.add("release.cut.near_lapsed", "count", size, nearWithout);
        cut(false);
        double mended = nowMs;
        boolean back = false;
        while (!back && nowMs < mended + AFTER_MS) {
            pass(STEP_MS);
            back = far.stream().allMatch(member -> part(member) > 0);
        }
        if (back) {
            outcome.add("release.cut.back", "s", size, (nowMs - mended) / 1000);
        } else {
            outcome.findings()
                    .add(
                            "size "
                                    + size
                                    + ": the stage was not back in r2 within "
                                    + AFTER_MS / 1000
                                    + " s after the mend; it is "
                                    + conductor.stage().phase()
                                    + " "
                                    + conductor.stage().reason());
        }
        return outcome;
    }

    private void cut(boolean isCut) {
        fleet.setRegionPartitioned("r1", "r2", isCut);
        fleet.setRegionPartitioned("r2", "r1", isCut);
    }

    /** When the first and the last did so. */
    private static void times(double[] times, double at, long did, int all) {
        if (did > 0 && Double.isNaN(times[0])) {
            times[0] = at;
        }
        if (did == all && Double.isNaN(times[1])) {
            times[1] = at;
        }
    }

    private void told(TrialOutcome outcome, String key, double[] times) {
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
