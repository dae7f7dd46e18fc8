package poppynotch.simulation;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.slf4j.LoggerFactory;
import poppynotch.control.OperatorChangeResult;

/**
 * Guards against lost acknowledged changes, outdated values that are confirmed as current and
 * acceptors that are not replaced, in fixed sequences of faults. In a timeline the first column is
 * the time in ms, and each other one a control-plane replica with its commands and expectations.
 * {@code put x} submits a change to it, and {@code x taken}, {@code x refused} or {@code x unclear}
 * expects that result by then. {@code confirms} expects the replica to confirm its value as
 * current, {@code expired} that its quorum lease has expired, {@code has x} that it knows the
 * change to be chosen, and {@code set 013/012} the numbers of the members and former members of its
 * acceptor set.
 */
class ControlTimelineTest {

    private static final long SEED = 5;

    private static final long CALL_TIMEOUT_MS = 2600;
    private static final List<String> SEEDS = List.of("core0:1", "core1:1", "core2:1");

    private static final class Timeline {
        final SimulatedFleet fleet;
        final Map<String, SubmittedChange> changes = new HashMap<>();
        final Map<String, Optional<OperatorChangeResult>> results = new HashMap<>();
        long lastGeneration;
        long acknowledgedGeneration;

        Timeline(ClusterSize size, String text) {
            fleet = new SimulatedFleet(SEED, size, SeededDefect.NONE, QuotaTraffic.none());
            fleet.operator().stop();
            fleet.start();
            List<String> lines = text.lines().filter(line -> !line.isBlank()).toList();
            List<String> names = cells(lines.get(0));
            for (String line : lines.subList(1, lines.size())) {
                List<String> cells = cells(line);
                fleet.time().runUntil(Long.parseLong(cells.get(0)));
                for (int i = 1; i < cells.size(); i++) {
                    for (String command : cells.get(i).split(";")) {
                        if (!command.isBlank()) {
                            execute(names.get(i) + ":1", command.trim().split(" "));
                        }
                    }
                }
            }
            assertThat(fleet.checker().finding()).isEqualTo(Optional.empty());
        }

        private static List<String> cells(String line) {
            List<String> cells = new ArrayList<>();
            for (String cell : line.split("\\|")) {
                cells.add(cell.trim());
            }
            return cells;
        }

        private VirtualControlPlane replica(String name) {
            return fleet.replica(name).orElseThrow();
        }

        private void execute(String name, String[] tokens) {
            switch (tokens[0]) {
                case "put" -> submitNew(replica(name), tokens[1]);
                case "retry" -> submit(replica(name), tokens[1]);
                case "kill" -> replica(name).kill();
                case "start" -> replica(name).start();
                case "freeze" -> replica(name).freeze();
                case "resume" -> replica(name).resume();
                case "wipe" -> {
                    replica(name).kill();
                    replica(name).disk().wipe();
                }
                case "full" -> replica(name).disk().setCondition(VirtualDisk.Condition.FULL);
                case "remove" -> fleet.removeReplica(name);
                case "add" -> {
                    VirtualControlPlane successor = fleet.addReplica(SEEDS, false);
                    assertThat(successor.name()).isEqualTo(name);
                }
                case "leave" -> replica(name).run(replica(name).node()::startLeaving);
                case "cut" -> others(name).forEach(other -> partition(name, other));
                case "heal" -> others(name).forEach(other -> heal(name, other));
                default -> checkExpectation(name, tokens);
            }
        }

        private void checkExpectation(String name, String[] tokens) {
            String context = name + " at " + fleet.time().getAsLong();
            switch (tokens[0]) {
                case "mayShutDown" ->
                        assertWithMessage(context + " may shut down")
                                .that(replica(name).node().mayShutDown())
                                .isTrue();
                case "expired" ->
                        assertWithMessage(context + " confirms nothing as current")
                                .that(replica(name).node().isQuorumLeaseExpired())
                                .isTrue();
                case "confirms" ->
                        assertWithMessage(context + " confirms its value as current")
                                .that(replica(name).node().isQuorumLeaseExpired())
                                .isFalse();
                case "has" ->
                        assertWithMessage(context + " has generation")
                                .that(knownGeneration(name))
                                .isEqualTo(changes.get(tokens[1]).generation());
                case "set" ->
                        assertWithMessage("acceptors known to " + context)
                                .that(acceptors(name))
                                .isEqualTo(tokens[1]);
                default ->
                        assertWithMessage(tokens[0] + " at " + fleet.time().getAsLong())
                                .that(describe(results.get(tokens[0])))
                                .isEqualTo(tokens[1]);
            }
        }

        private long knownGeneration(String name) {
            return replica(name).node().chosenValue().orElseThrow().value().generation();
        }

        private static String describe(Optional<OperatorChangeResult> result) {
            if (result == null
                    || result.isEmpty()
                    || result.get() instanceof OperatorChangeResult.Unclear) {
                return "unclear";
            }
            return result.get() instanceof OperatorChangeResult.Applied ? "taken" : "refused";
        }

        /** Numbers of the members, such as 012; former members follow after a slash. */
        private String acceptors(String name) {
            var set = replica(name).node().acceptorSet();
            return numbers(set.members()) + (set.isChanging() ? "/" + numbers(set.former()) : "");
        }

        private static String numbers(List<String> members) {
            return members.stream()
                    .map(member -> member.replaceAll("core|:1", ""))
                    .sorted()
                    .reduce("", String::concat);
        }

        private List<String> others(String name) {
            return fleet.replicas().stream()
                    .map(VirtualControlPlane::name)
                    .filter(other -> !other.equals(name))
                    .toList();
        }

        private void partition(String one, String other) {
            fleet.network().block(one, other);
            fleet.network().block(other, one);
        }

        private void heal(String one, String other) {
            fleet.network().unblock(one, other);
            fleet.network().unblock(other, one);
        }

        private void submitNew(VirtualControlPlane replica, String name) {
            lastGeneration++;
            SubmittedChange change =
                    new SubmittedChange(lastGeneration, acknowledgedGeneration, name);
            changes.put(name, change);
            submit(replica, name);
        }

        private void submit(VirtualControlPlane replica, String name) {
            SubmittedChange change = changes.get(name);
            results.put(name, Optional.empty());
            new ExternalCall<OperatorChangeResult>(
                            fleet, replica, CALL_TIMEOUT_MS, VirtualOperator.class, result -> false)
                    .start(
                            answer ->
                                    replica.node()
                                            .submitChange(
                                                    change.toOperatorChange(SeededDefect.NONE),
                                                    answer),
                            result -> {
                                results.put(name, result);
                                if (describe(result).equals("taken")) {
                                    acknowledgedGeneration =
                                            Math.max(acknowledgedGeneration, change.generation());
                                }
                            });
        }
    }

    @BeforeAll
    static void logOnlyErrors() {
        ((Logger) LoggerFactory.getLogger("poppynotch")).setLevel(Level.ERROR);
    }

    /**
     * Guards against a replica that acknowledges, rejects or confirms while partitioned for 20 s.
     */
    @Test
    void partitionedReplicaConfirmsNothingUntilItHasNewestValue() {
        new Timeline(
                ClusterSize.THREE,
                """
                ms    | core0        | core1 | core2
                2000  | put a        |       |
                2500  | a taken      |       | confirms
                3000  |              |       | cut
                4300  | put b        |       | expired; put c
                5000  | b taken      |       | c unclear; has a
                12000 | put d        |       | expired; retry b
                12500 | d taken      |       | b unclear; has a
                23000 |              |       | heal; expired
                24500 |              |       | has d; confirms; retry b; retry c
                25000 |              |       | b taken; c refused
                """);
    }

    /** Guards against a proposer that does not restart its round after it was frozen in it. */
    @Test
    void replicaResumedAfterFreezeConfirmsNothingOutdated() {
        new Timeline(
                ClusterSize.THREE,
                """
                ms    | core0        | core1     | core2
                2000  | put a        |           |
                2500  | a taken      |           |
                3000  |              |           | put b; freeze
                3500  | put c        |           |
                4500  | c taken      |           |
                23000 |              |           | resume
                26000 |              |           | b unclear; has c; confirms; retry b
                26500 |              |           | b refused
                """);
    }

    /** Guards against an acceptor that shuts down before another replica has replaced it. */
    @Test
    void leavingAcceptorIsReplacedBeforeItShutsDown() {
        new Timeline(
                ClusterSize.FOUR,
                """
                ms    | core0      | core1     | core2            | core3
                4000  | put a      |           |                  |
                4500  | a taken    |           | set 012; leave   |
                5500  | set 013    | set 013   | mayShutDown      | set 013
                5600  | put b      |           | kill             |
                6100  | b taken    |           |                  | has b
                """);
    }

    /** Guards against a lost acceptor whose successor joins late or not at all. */
    @Test
    void successorOfLostReplicaJoinsWithinTwoSeconds() {
        new Timeline(
                ClusterSize.THREE,
                """
                ms    | core0      | core1     | core2   | core3
                4000  | put a      | set 012   |         |
                4500  | a taken    |           | remove  |
                6500  |            |           |         | add
                8500  | set 013    | set 013   |         | has a; set 013
                8600  | put b      | wipe      |         |
                9600  |            | start     |         |
                11600 | b taken    | has b     |         | has b; confirms
                """);
    }

    /** Guards against a second loss, soon or later after a recovery, that loses a change. */
    @ParameterizedTest
    @ValueSource(longs = {500, 2000, 4500, 7000})
    void secondLossAfterRecoveryLosesNoAcknowledgedChange(long afterMs) {
        long second = 9000 + afterMs;
        new Timeline(
                ClusterSize.FOUR,
                """
                ms    | core0      | core1     | core2   | core3
                4000  | put a      |           |         |
                4500  | a taken    |           | wipe    |
                9000  |            |           | start   |
                SECOND| put b      | wipe      |         |
                BACK  |            | start     |         |
                END   | b taken; put c; confirms | confirms | confirms; has b | confirms; has b
                LAST  | c taken    | has c     | has c   | has c
                """
                        .replace("SECOND", String.valueOf(second))
                        .replace("BACK", String.valueOf(second + 500))
                        .replace("END", String.valueOf(second + 4500))
                        .replace("LAST", String.valueOf(second + 5500)));
    }

    /** Guards against an acknowledgement while the acceptor set cannot bear two lost disks yet. */
    @Test
    void firstChangeSurvivesLossOfTwoFoundersAndOfAllPower() {
        new Timeline(
                ClusterSize.FIVE,
                """
                ms    | core0                | core1 | core2 | core3 | core4
                400   | put a; set 012       |       |       |       |
                500   | a unclear            |       |       |       |
                2000  | a taken; set 01234   |       |       |       |
                2100  | wipe                 | wipe  | kill  | kill  | kill
                2500  | start                | start | start | start | start
                9000  | has a; confirms; put b | has a | has a | has a | has a
                9500  | b taken              |       |       |       |
                """);
    }

    /** Guards against replicas that cannot read the value after a restart with full disks. */
    @Test
    void allReplicasRestartedWithFullDisksConfirmNewestValue() {
        new Timeline(
                ClusterSize.THREE,
                """
                ms    | core0      | core1 | core2
                2000  | put a      |       |
                2500  | a taken    |       |
                3000  | full; kill | full; kill | full; kill
                3500  | start      | start | start
                5000  | has a; confirms; put b | has a; confirms | has a; confirms
                8000  | b unclear  |       |
                """);
    }

    /** Guards against the replacement of a founder that starts later than the others. */
    @Test
    void founderThatStartsLateKeepsItsPlace() {
        new Timeline(
                ClusterSize.FOUR,
                """
                ms    | core0                | core1 | core2 | core3
                0     |                      | kill  |       |
                310   |                      | kill  |       |
                1500  | set 012              |       |       |
                1550  |                      | start |       |
                4000  | set 012; confirms    | confirms | confirms | confirms
                """);
    }

    /** Guards against a first change that waits more than 4 s for replicas that never start. */
    @Test
    void firstChangeIsAcknowledgedByThreeReplicasIfTwoAreMissing() {
        new Timeline(
                ClusterSize.FIVE,
                """
                ms    | core0                | core1 | core2 | core3 | core4
                320   |                      |       |       | kill  | kill
                400   | put a                |       |       |       |
                3100  | a unclear; set 012   |       |       |       |
                4400  | put b                |       |       |       |
                4900  | b taken; set 012     |       |       |       |
                """);
    }

    /** Guards against a replica that, after missing many changes, catches up or proposes late. */
    @Test
    void replicaThatMissedHundredsOfChangesCatchesUp() {
        StringBuilder text = new StringBuilder("ms | core0 | core1 | core2\n");
        text.append("2000 | put a | | \n2300 | a taken | | kill\n");
        for (int i = 0; i < 450; i++) {
            text.append(2400 + 50 * i).append(" | put x").append(i).append(" | |\n");
        }
        long end = 2400 + 50 * 450;
        text.append(end).append(" | x449 taken | | start\n");
        text.append(end + 600).append(" | | | has x449; confirms; put z\n");
        text.append(end + 1200).append(" | has z | has z | z taken; retry a\n");
        text.append(end + 1500).append(" | | | a unclear\n");
        new Timeline(ClusterSize.THREE, text.toString());
    }
}
