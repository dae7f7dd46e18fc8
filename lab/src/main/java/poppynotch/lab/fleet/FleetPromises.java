package poppynotch.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import poppynotch.fleet.membership.MemberState;
import poppynotch.fleet.membership.MemberUpdate;
import poppynotch.fleet.membership.Membership;
import poppynotch.fleet.membership.SwimSettings;

/** Plays a plan and holds what members see against what is true. */
public final class FleetPromises {

    /**
     * After the last fault all must see the same, and the truth, within this; see docs/fleet.md.
     */
    static final double HEAL_TIMEOUT_MS = 30_000;

    /**
     * A fault can have its effect for so long after its end: suspicion takes 7 s and news some
     * more.
     */
    private static final double FAULT_EFFECT_MS = 12_000;

    /** With fewer members between the two ends of a cut it may be that none is asked in time. */
    private static final int MIN_INTERMEDIARIES = 3;

    private final FleetPlan plan;
    private final List<String> broken = new ArrayList<>();

    /** Of each member and of whom it holds: the latest that it has held. */
    private final Map<String, MemberUpdate> latest = new HashMap<>();

    private VirtualFleet fleet;

    private FleetPromises(FleetPlan plan) {
        this.plan = plan;
    }

    /** What is broken, in plain lines; nothing where all is kept. */
    public static List<String> broken(FleetPlan plan, Interposer interposer) {
        FleetPromises promises = new FleetPromises(plan);
        promises.fleet =
                new VirtualFleet(
                        plan, SwimSettings.DEFAULT, true, interposer, promises::onMemberChanged);
        promises.play();
        return promises.broken;
    }

    private void play() {
        fleet.runUntil(plan.lastFaultMs() + HEAL_TIMEOUT_MS);
        for (VirtualFleet.Node node : fleet.nodes()) {
            if (!node.isRunning()) {
                continue;
            }
            Membership sees = node.membership;
            List<String> wrong = new ArrayList<>();
            sees.view(node.localTimeMs())
                    .members()
                    .forEach(
                            member -> {
                                VirtualFleet.Node other =
                                        fleet.nodes().get(memberNumber(member.update()));
                                boolean present = member.update().state().isPresent();
                                if (present != other.isRunning()) {
                                    wrong.add(other.name + (present ? " present" : " gone"));
                                }
                            });
            for (VirtualFleet.Node other : fleet.nodes()) {
                if (other.isRunning() && sees.member(other.name) == null) {
                    wrong.add(other.name + " unknown");
                }
            }
            if (!wrong.isEmpty()) {
                addViolation(
                        "one view: "
                                + HEAL_TIMEOUT_MS / 1000
                                + " s after the last fault "
                                + node.name
                                + " holds "
                                + String.join(", ", wrong));
            }
        }
        if (fleet.longestDatagramBytes() > 1400) {
            addViolation("datagrams: one has " + fleet.longestDatagramBytes() + " bytes");
        }
    }

    private static int memberNumber(MemberUpdate update) {
        return Integer.parseInt(update.name().substring(1));
    }

    private void addViolation(String line) {
        if (broken.size() < 20) {
            broken.add(line);
        }
    }

    private void onMemberChanged(double now, int at, MemberUpdate before, MemberUpdate is) {
        int number = memberNumber(is);
        VirtualFleet.Node node = fleet.nodes().get(number);
        if (!node.hasEverStarted) {
            addViolation("no ghosts: m" + at + " holds " + is.name() + ", which never started");
        }
        MemberUpdate had =
                latest.get(at + " " + is.name() + " " + fleet.nodes().get(at).processNumber);
        if (had != null && had.run() == is.run()) {
            if (is.incarnation() < had.incarnation()) {
                addViolation(
                        "incarnations grow: m"
                                + at
                                + " held "
                                + had.incarnation()
                                + " of "
                                + is.name()
                                + " and holds "
                                + is.incarnation());
            }
            boolean again =
                    had.state() == MemberState.DEAD
                            && is.state().isPresent()
                            && !node.isRunning()
                            && now - lastStoppedAtMs(number) > FAULT_EFFECT_MS
                            // One that stood still reads what was sent before its sleep, as the
                            // dead still lived.
                            && isUndisturbed(now, at);
            if (again) {
                addViolation(
                        "the dead stay dead: m"
                                + at
                                + " holds "
                                + is.name()
                                + " present again, at "
                                + Math.round(now)
                                + " ms");
            }
        }
        latest.put(at + " " + is.name() + " " + fleet.nodes().get(at).processNumber, is);
        // That a process of the name before the one that runs is dead is no mistake, whenever it is
        // learned.
        boolean isMistaken =
                is.state() == MemberState.DEAD
                        && node.isRunning()
                        && is.run() == node.membership.member(node.name).run();
        if (isMistaken && isUndisturbed(now, number) && isUndisturbed(now, at)) {
            addViolation(
                    "no false death: m"
                            + at
                            + " holds "
                            + is.name()
                            + " for dead at "
                            + Math.round(now)
                            + " ms, by "
                            + is.suspectedBy());
        }
    }

    private double lastStoppedAtMs(int number) {
        return plan.faults().stream()
                .filter(
                        fault ->
                                fault.who().contains(number)
                                        && (fault.kind() == Fault.Kind.KILL
                                                || fault.kind() == Fault.Kind.LEAVE))
                .mapToDouble(Fault::at)
                .filter(at -> at <= fleet.elapsedMs())
                .max()
                .orElse(0);
    }

    /** Whether nothing of late can be held against a member: it and its network were in order. */
    private boolean isUndisturbed(double now, int number) {
        return plan.faults().stream()
                .noneMatch(
                        fault -> {
                            boolean lately =
                                    now >= fault.at() && now <= fault.endsAt() + FAULT_EFFECT_MS;
                            return lately
                                    && switch (fault.kind()) {
                                        case LOSS, DELAY -> true;
                                        case DUPLICATION -> false;
                                            // Where part of the fleet is cut off, both parts lose
                                            // the other.
                                        case PARTITION, MUTE, DEAF -> true;
                                            // Probes go round a single cut by way of others, where
                                            // there are some that work.
                                        case ONE_WAY ->
                                                fault.who().contains(number)
                                                        && fleet.nodes().stream()
                                                                        .filter(
                                                                                node ->
                                                                                        node
                                                                                                        .isRunning()
                                                                                                && !node.paused)
                                                                        .count()
                                                                < 2 + MIN_INTERMEDIARIES;
                                        default -> fault.who().contains(number);
                                    };
                        });
    }
}
