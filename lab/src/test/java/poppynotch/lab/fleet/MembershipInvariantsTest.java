package poppynotch.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.InputStream;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import poppynotch.fleet.membership.MemberState;
import poppynotch.fleet.membership.MemberUpdate;
import poppynotch.fleet.membership.Message;
import poppynotch.fleet.membership.SwimSettings;

/** The promises of membership on drawn schedules, and that a broken protocol is found out. */
class MembershipInvariantsTest {

    private static final int SCHEDULES = 200;

    private static long failing(int schedules, Interposer interposer) {
        return LongStream.rangeClosed(1, schedules)
                .parallel()
                .filter(
                        seed ->
                                !MembershipInvariants.violations(FleetPlan.random(seed), interposer)
                                        .isEmpty())
                .count();
    }

    @Test
    void invariantsHoldOnRandomSchedules() {
        assertEquals(
                List.of(),
                LongStream.rangeClosed(1, SCHEDULES)
                        .parallel()
                        .boxed()
                        .filter(
                                seed ->
                                        !MembershipInvariants.violations(
                                                        FleetPlan.random(seed), Interposer.NONE)
                                                .isEmpty())
                        .sorted()
                        .toList());
    }

    @Test
    void samePlanSendsSameBytes() {
        assertEquals(trace(3), trace(3));
        assertNotEquals(trace(3), trace(4));
    }

    private static long trace(long seed) {
        VirtualFleet fleet =
                new VirtualFleet(
                        FleetPlan.random(seed),
                        SwimSettings.DEFAULT,
                        true,
                        Interposer.NONE,
                        (now, at, before, is) -> {});
        fleet.runUntil(60_000);
        return fleet.traceChecksum();
    }

    /** Rewrites what members send of others or themselves. */
    private abstract static class Rewriter implements Interposer {
        abstract MemberUpdate rewritten(int number, MemberUpdate update);

        @Override
        public Message sent(int from, Message m) {
            return new Message(
                    m.kind(),
                    m.from(),
                    m.address(),
                    m.run(),
                    m.sequence(),
                    m.target(),
                    m.targetAddress(),
                    m.digest(),
                    m.buckets(),
                    m.updates().stream()
                            .map(update -> rewritten(from, update))
                            .filter(update -> update != null)
                            .toList());
        }
    }

    @Test
    void detectsMembersThatDoNotRefuteSuspicion() {
        assertTrue(
                failing(
                                20,
                                new Rewriter() {
                                    @Override
                                    MemberUpdate rewritten(int number, MemberUpdate update) {
                                        boolean refutes =
                                                update.name().equals("m" + number)
                                                        && update.incarnation() > 1;
                                        return refutes ? null : update;
                                    }
                                })
                        > 0);
    }

    /**
     * Gossip carries no refutation at all: who is about to hold a member dead asks it, and learns
     * of it.
     */
    @Test
    void probesSuspectOnceMoreBeforeDeclaringItDead() {
        assertEquals(
                0,
                failing(
                        30,
                        new Interposer() {
                            @Override
                            public Message sent(int from, Message m) {
                                return m.kind() == Message.Kind.ACK
                                                || m.kind() == Message.Kind.SYNC_REPLY
                                        ? m
                                        : new Message(
                                                m.kind(),
                                                m.from(),
                                                m.address(),
                                                m.run(),
                                                m.sequence(),
                                                m.target(),
                                                m.targetAddress(),
                                                m.digest(),
                                                m.buckets(),
                                                m.updates().stream()
                                                        .filter(
                                                                update ->
                                                                        update.state()
                                                                                        != MemberState
                                                                                                .ALIVE
                                                                                || update
                                                                                                .incarnation()
                                                                                        == 1)
                                                        .toList());
                            }
                        }));
    }

    /** A fleet that loses one datagram in twenty: no refutation that gossip loses ends a life. */
    @Test
    void datagramLossAloneCausesNoFalseDeath() {
        assertEquals(0, Measurement.falseDeaths(40, 0.05, 1, 4, 7));
    }

    @Test
    void detectsIgnoredIncarnations() {
        assertTrue(
                failing(
                                20,
                                new Rewriter() {
                                    @Override
                                    MemberUpdate rewritten(int number, MemberUpdate update) {
                                        return new MemberUpdate(
                                                update.name(),
                                                update.address(),
                                                1,
                                                update.run(),
                                                update.state(),
                                                update.suspectedBy(),
                                                update.profile(),
                                                update.ageMs());
                                    }
                                })
                        > 0);
    }

    @Test
    void detectsDeadMembersReportedAlive() {
        assertTrue(
                failing(
                                20,
                                new Rewriter() {
                                    @Override
                                    MemberUpdate rewritten(int number, MemberUpdate update) {
                                        return update.state() != MemberState.DEAD
                                                ? update
                                                : new MemberUpdate(
                                                        update.name(),
                                                        update.address(),
                                                        update.incarnation() + 1,
                                                        update.run(),
                                                        MemberState.ALIVE,
                                                        "",
                                                        update.profile(),
                                                        0);
                                    }
                                })
                        > 0);
    }

    /**
     * A failing plan becomes a shorter one that still fails, down to the one fault that matters.
     */
    @Test
    void shrinksFailingPlanToDecisiveFault() {
        FleetPlan plan = FleetPlan.random(2);
        List<Fault> faults = new java.util.ArrayList<>(plan.faults());
        faults.add(new Fault(20_000, Fault.Kind.PAUSE, List.of(0, 1, 2), 4000, 0));
        FleetPlan shortest =
                Shrinker.shrink(
                        plan.with(faults),
                        each ->
                                each.faults().stream()
                                        .anyMatch(
                                                fault ->
                                                        fault.kind() == Fault.Kind.PAUSE
                                                                && fault.who().contains(1)));
        assertEquals(1, shortest.faults().size());
        assertEquals(List.of(1), shortest.faults().get(0).who());
    }

    /** Schedules that once broke a promise, each with its cause in the file. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "wakes-with-messages-waiting",
                "alone-while-another-dies",
                "back-where-all-seeds-left",
                "last-one-left"
            })
    void invariantsHoldOnSchedulesThatOnceFailed(String name) throws Exception {
        try (InputStream file = getClass().getResourceAsStream("/schedules/" + name + ".yaml")) {
            assertEquals(
                    List.of(),
                    MembershipInvariants.violations(
                            new YAMLMapper().readValue(file, FleetPlan.class), Interposer.NONE));
        }
    }

    /** Drawn again for those that once failed and are as long when shortened. */
    @ParameterizedTest
    @ValueSource(longs = {2352, 11342})
    void invariantsHoldForSeedsThatOnceFailed(long seed) {
        assertEquals(
                List.of(),
                MembershipInvariants.violations(FleetPlan.random(seed), Interposer.NONE));
    }

    /** The hard cases by name, each over several draws: a process that wakes blames nobody. */
    @Test
    void longPausedProcessRejoinsWithoutFalseSuspicion() {
        for (long seed = 1; seed <= 5; seed++) {
            Fault pause = new Fault(20_000, Fault.Kind.PAUSE, List.of(4), 20_000, 0);
            assertEquals(
                    List.of(),
                    MembershipInvariants.violations(
                            new FleetPlan(12, seed, 2000, 2, 0, List.of(pause)), Interposer.NONE));
        }
    }

    @Test
    void invariantsHoldWhenHalfTheFleetOrAllSeedsFail() {
        List<Integer> half = IntStream.range(0, 10).boxed().toList();
        for (Fault fault :
                List.of(
                        new Fault(20_000, Fault.Kind.KILL, half, 0, 0),
                        new Fault(20_000, Fault.Kind.PARTITION, half, 60_000, 0),
                        new Fault(20_000, Fault.Kind.KILL, List.of(0, 1), 0, 0),
                        new Fault(20_000, Fault.Kind.ONE_WAY, List.of(3, 4), 60_000, 0),
                        new Fault(20_000, Fault.Kind.LOSS, half, 60_000, 0.3))) {
            assertEquals(
                    List.of(),
                    MembershipInvariants.violations(
                            new FleetPlan(20, 9, 2000, 2, 0, List.of(fault)), Interposer.NONE),
                    fault.kind().toString());
        }
    }

    /** Half a cut fleet knows that it is not the larger part. */
    @Test
    void minoritySideOfPartitionSeesNoMajority() {
        FleetPlan plan =
                new FleetPlan(
                        12,
                        3,
                        2000,
                        2,
                        0,
                        List.of(
                                new Fault(
                                        40_000,
                                        Fault.Kind.PARTITION,
                                        List.of(0, 1, 2, 3),
                                        40_000,
                                        0)));
        VirtualFleet fleet =
                new VirtualFleet(
                        plan,
                        SwimSettings.DEFAULT,
                        true,
                        Interposer.NONE,
                        (now, at, before, is) -> {});
        fleet.runUntil(75_000);
        for (VirtualFleet.Node node : fleet.nodes()) {
            assertEquals(
                    node.number > 3,
                    node.membership.view(node.localTimeMs()).majorityPresent(),
                    node.name);
        }
        fleet.runUntil(110_000);
        assertTrue(fleet.hasConverged());
        assertFalse(
                fleet.nodes().stream()
                        .anyMatch(
                                node ->
                                        !node.membership
                                                .view(node.localTimeMs())
                                                .majorityPresent()));
    }
}
