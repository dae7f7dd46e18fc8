package poppynotch.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import poppynotch.fleet.membership.MemberState;
import poppynotch.fleet.membership.MemberUpdate;
import poppynotch.fleet.membership.Membership;
import poppynotch.fleet.membership.SwimSettings;

/**
 * Checks the invariants of membership in a {@link VirtualFleet}: runs a {@link FleetPlan} and
 * compares what each member sees with what is true.
 *
 * <p>{@link #violations} makes one instance per plan and runs it on the calling thread.
 */
public final class MembershipInvariants {

    /**
     * Within this time after the last fault all members must see the same and the truth; see
     * docs/fleet.md.
     */
    static final double HEAL_TIMEOUT_MS = 30_000;

    /**
     * How long after its end a fault can still have an effect: suspicion takes 7 s, and gossip of
     * its result some more.
     */
    private static final double FAULT_EFFECT_MS = 12_000;

    /**
     * With fewer members that could relay a probe around a one-way partition, it may be that none
     * is asked in time.
     */
    private static final int MIN_INTERMEDIARIES = 3;

    private static final int MAX_DATAGRAM_BYTES = 1400;

    /** Further violations of a plan are not listed. */
    private static final int MAX_VIOLATIONS = 20;

    private final FleetPlan plan;
    private final List<String> violations = new ArrayList<>();

    /** Which record of which member one process has in its view. */
    private record ViewEntry(int observer, String member, long observerProcess) {}

    /** The latest record that each process has had of each member. */
    private final Map<ViewEntry, MemberUpdate> latestUpdates = new HashMap<>();

    private VirtualFleet fleet;

    private MembershipInvariants(FleetPlan plan) {
        this.plan = plan;
    }

    /**
     * Runs a plan and returns the violations of invariants, one line each; empty where there are
     * none.
     *
     * @param interposer changes messages, to see that a defect is detected
     */
    public static List<String> violations(FleetPlan plan, Interposer interposer) {
        MembershipInvariants check = new MembershipInvariants(plan);
        check.fleet =
                new VirtualFleet(
                        plan, SwimSettings.DEFAULT, true, interposer, check::onMemberChanged);
        check.run();
        return check.violations;
    }

    private void run() {
        fleet.runUntil(plan.lastFaultMs() + HEAL_TIMEOUT_MS);
        fleet.nodes().stream().filter(VirtualFleet.Node::isRunning).forEach(this::checkView);
        if (fleet.longestDatagramBytes() > MAX_DATAGRAM_BYTES) {
            addViolation("datagrams: one has " + fleet.longestDatagramBytes() + " bytes");
        }
    }

    private void checkView(VirtualFleet.Node node) {
        Membership membership = node.membership;
        List<String> errors = new ArrayList<>();
        membership
                .view(node.localTimeMs())
                .members()
                .forEach(
                        member -> {
                            VirtualFleet.Node other =
                                    fleet.nodes().get(memberNumber(member.update()));
                            boolean present = member.update().state().isPresent();
                            if (present != other.isRunning()) {
                                errors.add(other.name + (present ? " present" : " gone"));
                            }
                        });
        for (VirtualFleet.Node other : fleet.nodes()) {
            if (other.isRunning() && membership.member(other.name) == null) {
                errors.add(other.name + " unknown");
            }
        }
        if (!errors.isEmpty()) {
            addViolation(
                    "one view: "
                            + HEAL_TIMEOUT_MS / 1000
                            + " s after the last fault "
                            + node.name
                            + " holds "
                            + String.join(", ", errors));
        }
    }

    private static int memberNumber(MemberUpdate update) {
        return Integer.parseInt(update.name().substring(1));
    }

    private void addViolation(String line) {
        if (violations.size() < MAX_VIOLATIONS) {
            violations.add(line);
        }
    }

    private void onMemberChanged(
            double nowMs, int observer, MemberUpdate before, MemberUpdate after) {
        VirtualFleet.Node subject = fleet.nodes().get(memberNumber(after));
        if (!subject.hasEverStarted) {
            addViolation(
                    "no ghosts: m" + observer + " holds " + after.name() + ", which never started");
        }
        ViewEntry entry =
                new ViewEntry(observer, after.name(), fleet.nodes().get(observer).processNumber);
        MemberUpdate previous = latestUpdates.put(entry, after);
        if (previous != null && previous.run() == after.run()) {
            checkSuccession(nowMs, observer, previous, after);
        }
        checkFalseDeath(nowMs, observer, after);
    }

    /** Checks two records in a row that one process had of the same process of a member. */
    private void checkSuccession(
            double nowMs, int observer, MemberUpdate previous, MemberUpdate after) {
        if (after.incarnation() < previous.incarnation()) {
            addViolation(
                    "incarnations grow: m"
                            + observer
                            + " held "
                            + previous.incarnation()
                            + " of "
                            + after.name()
                            + " and holds "
                            + after.incarnation());
        }
        int number = memberNumber(after);
        boolean isRevived =
                previous.state() == MemberState.DEAD
                        && after.state().isPresent()
                        && !fleet.nodes().get(number).isRunning()
                        && nowMs - lastStoppedAtMs(number) > FAULT_EFFECT_MS
                        // A process that was paused reads messages that were sent before the
                        // pause, when the dead member was still alive.
                        && isUndisturbed(nowMs, observer);
        if (isRevived) {
            addViolation(
                    "the dead stay dead: m"
                            + observer
                            + " holds "
                            + after.name()
                            + " present again, at "
                            + Math.round(nowMs)
                            + " ms");
        }
    }

    private void checkFalseDeath(double nowMs, int observer, MemberUpdate after) {
        int number = memberNumber(after);
        VirtualFleet.Node subject = fleet.nodes().get(number);
        // The record may be of an earlier process of the same name: that one is dead, whenever the
        // observer learns it.
        boolean isFalseDeath =
                after.state() == MemberState.DEAD
                        && subject.isRunning()
                        && after.run() == subject.membership.member(subject.name).run();
        if (isFalseDeath && isUndisturbed(nowMs, number) && isUndisturbed(nowMs, observer)) {
            addViolation(
                    "no false death: m"
                            + observer
                            + " holds "
                            + after.name()
                            + " for dead at "
                            + Math.round(nowMs)
                            + " ms, by "
                            + after.suspectedBy());
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

    /** Whether no recent fault can explain what a member or others see of it. */
    private boolean isUndisturbed(double nowMs, int number) {
        return plan.faults().stream()
                .filter(fault -> nowMs >= fault.at() && nowMs <= fault.endsAt() + FAULT_EFFECT_MS)
                .noneMatch(fault -> disturbs(fault, number));
    }

    private boolean disturbs(Fault fault, int number) {
        return switch (fault.kind()) {
            case LOSS, DELAY -> true;
            case DUPLICATION -> false;
                // Where a part of the fleet is cut off, both sides lose the other.
            case PARTITION, MUTE, DEAF -> true;
                // Indirect probes go around a single one-way partition, if enough members can
                // relay.
            case ONE_WAY -> fault.who().contains(number) && activeCount() < 2 + MIN_INTERMEDIARIES;
            default -> fault.who().contains(number);
        };
    }

    private long activeCount() {
        return fleet.nodes().stream().filter(node -> node.isRunning() && !node.paused).count();
    }
}
