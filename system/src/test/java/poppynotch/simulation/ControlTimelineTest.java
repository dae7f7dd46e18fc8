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
 * The operators' worst moments as timelines: the first column is the time in ms, each other one a
 * core process. {@code put x} sends a change there, and {@code x taken} or {@code x unclear} says
 * what has become of it by then.
 */
class ControlTimelineTest {

    private static final long OUTSIDER_SEED = 5;

    private static final class Timeline {
        final SimulatedFleet world;
        final Map<String, SubmittedChange> orders = new HashMap<>();
        final Map<String, Optional<OperatorChangeResult>> results = new HashMap<>();
        long generation;
        long taken;

        Timeline(ClusterSize size, String text) {
            world = new SimulatedFleet(OUTSIDER_SEED, size, SeededDefect.NONE, QuotaTraffic.none());
            world.operator().stop();
            world.begin();
            List<String> lines = text.lines().filter(line -> !line.isBlank()).toList();
            List<String> names = cells(lines.get(0));
            for (String line : lines.subList(1, lines.size())) {
                List<String> cells = cells(line);
                world.time().runUntil(Long.parseLong(cells.get(0)));
                for (int i = 1; i < cells.size(); i++) {
                    for (String command : cells.get(i).split(";")) {
                        if (!command.isBlank()) {
                            run(names.get(i) + ":1", command.trim().split(" "));
                        }
                    }
                }
            }
            assertThat(world.checker().finding()).isEqualTo(Optional.empty());
        }

        private static List<String> cells(String line) {
            List<String> cells = new ArrayList<>();
            for (String cell : line.split("\\|")) {
                cells.add(cell.trim());
            }
            return cells;
        }

        private VirtualControlPlane core(String name) {
            return world.core(name).orElseThrow();
        }

        private void run(String name, String[] words) {
            String at = name + " at " + world.time().getAsLong();
            switch (words[0]) {
                case "put" -> put(core(name), words[1]);
                case "again" -> send(core(name), words[1]);
                case "kill" -> core(name).kill();
                case "start" -> core(name).start();
                case "freeze" -> core(name).freeze();
                case "thaw" -> core(name).thaw();
                case "wipe" -> {
                    core(name).kill();
                    core(name).disk().wipe();
                }
                case "gone" -> world.removeCore(name);
                case "comes" -> {
                    assertThat(
                                    world.addCore(List.of("core0:1", "core1:1", "core2:1"), false)
                                            .name())
                            .isEqualTo(name);
                }
                case "leaves" -> core(name).run(core(name).core()::leave);
                case "mayend" ->
                        assertWithMessage(at + " may end")
                                .that(core(name).core().mayEnd())
                                .isTrue();
                case "cut" -> others(name).forEach(other -> cut(name, other));
                case "heal" -> others(name).forEach(other -> heal(name, other));
                case "fenced" ->
                        assertWithMessage(at + " vouches for nothing")
                                .that(core(name).core().isFenced())
                                .isTrue();
                case "vouches" ->
                        assertWithMessage(at + " vouches")
                                .that(core(name).core().isFenced())
                                .isFalse();
                case "has" ->
                        assertWithMessage(at + " has")
                                .that(core(name).core().known().orElseThrow().value().generation())
                                .isEqualTo(orders.get(words[1]).generation());
                case "set" ->
                        assertWithMessage("acceptors known to " + at)
                                .that(acceptors(name))
                                .isEqualTo(words[1]);
                default -> {
                    assertWithMessage(words[0] + " at " + world.time().getAsLong())
                            .that(describe(results.get(words[0])))
                            .isEqualTo(words[1]);
                }
            }
        }

        private static String describe(Optional<OperatorChangeResult> result) {
            if (result == null
                    || result.isEmpty()
                    || result.get() instanceof OperatorChangeResult.Unclear) {
                return "unclear";
            }
            return result.get() instanceof OperatorChangeResult.Taken ? "taken" : "refused";
        }

        /** Numbers of the members, such as 012; those of the former set behind a slash. */
        private String acceptors(String name) {
            var set = core(name).core().acceptorSet();
            return numbers(set.members()) + (set.isChanging() ? "/" + numbers(set.former()) : "");
        }

        private static String numbers(List<String> members) {
            return members.stream()
                    .map(member -> member.replaceAll("core|:1", ""))
                    .sorted()
                    .reduce("", String::concat);
        }

        private List<String> others(String name) {
            return world.cores().stream()
                    .map(VirtualControlPlane::name)
                    .filter(other -> !other.equals(name))
                    .toList();
        }

        private void cut(String one, String other) {
            world.network().block(one, other);
            world.network().block(other, one);
        }

        private void heal(String one, String other) {
            world.network().unblock(one, other);
            world.network().unblock(other, one);
        }

        private void put(VirtualControlPlane core, String name) {
            SubmittedChange order = new SubmittedChange(++generation, taken, name);
            orders.put(name, order);
            send(core, name);
        }

        private void send(VirtualControlPlane core, String name) {
            SubmittedChange order = orders.get(name);
            results.put(name, Optional.empty());
            new ExternalCall<OperatorChangeResult>(
                            world, core, 2600, VirtualOperator.class, result -> false)
                    .make(
                            answer -> core.core().change(order.order(SeededDefect.NONE), answer),
                            result -> {
                                results.put(name, result);
                                if (describe(result).equals("taken")) {
                                    taken = Math.max(taken, order.generation());
                                }
                            });
        }
    }

    @BeforeAll
    static void logOnlyErrors() {
        ((Logger) LoggerFactory.getLogger("poppynotch")).setLevel(Level.ERROR);
    }

    /** Point 1: cut off for twenty seconds, it hands nothing out, refuses and confirms nothing. */
    @Test
    void aCoreProcessThatWasCutOffSaysNothingUntilItHasTheNewest() {
        new Timeline(
                ClusterSize.THREE,
                """
                ms    | core0        | core1 | core2
                2000  | put a        |       |
                2500  | a taken      |       | vouches
                3000  |              |       | cut
                4300  | put b        |       | fenced; put c
                5000  | b taken      |       | c unclear; has a
                12000 | put d        |       | fenced; again b
                12500 | d taken      |       | b unclear; has a
                23000 |              |       | heal; fenced
                24500 |              |       | has d; vouches; again b; again c
                25000 |              |       | b taken; c refused
                """);
    }

    /** Point 1: what goes on in the middle of a round has to begin it anew. */
    @Test
    void aFrozenCoreProcessThatGoesOnConfirmsNothingOld() {
        new Timeline(
                ClusterSize.THREE,
                """
                ms    | core0        | core1     | core2
                2000  | put a        |           |
                2500  | a taken      |           |
                3000  |              |           | put b; freeze
                3500  | put c        |           |
                4500  | c taken      |           |
                23000 |              |           | thaw
                26000 |              |           | b unclear; has c; vouches; again b
                26500 |              |           | b refused
                """);
    }

    /** Point 3: the place of a member that is told to end is another's before it ends. */
    @Test
    void aMemberThatLeavesHandsItsPlaceOnBeforeItEnds() {
        new Timeline(
                ClusterSize.FOUR,
                """
                ms    | core0      | core1     | core2            | core3
                4000  | put a      |           |                  |
                4500  | a taken    |           | set 012; leaves  |
                5500  | set 013    | set 013   | mayend           | set 013
                5600  | put b      |           | kill             |
                6100  | b taken    |           |                  | has b
                """);
    }

    /** Point 3: within two seconds of its start a successor has the place of one that is gone. */
    @Test
    void aSuccessorIsTakenInAtOnce() {
        new Timeline(
                ClusterSize.THREE,
                """
                ms    | core0      | core1     | core2   | core3
                4000  | put a      | set 012   |         |
                4500  | a taken    |           | gone    |
                6500  |            |           |         | comes
                8500  | set 013    | set 013   |         | has a; set 013
                8600  | put b      | wipe      |         |
                9600  |            | start     |         |
                11600 | b taken    | has b     |         | has b; vouches
                """);
    }

    /**
     * Point 3: a second loss after a repair, at once or later, costs nothing that was confirmed.
     */
    @ParameterizedTest
    @ValueSource(longs = {500, 2000, 4500, 7000})
    void aSecondLossAfterARepairLosesNothing(long afterMs) {
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
                END   | b taken; put c; vouches | vouches | vouches; has b | vouches; has b
                LAST  | c taken    | has c     | has c   | has c
                """
                        .replace("SECOND", String.valueOf(second))
                        .replace("BACK", String.valueOf(second + 500))
                        .replace("END", String.valueOf(second + 4500))
                        .replace("LAST", String.valueOf(second + 5500)));
    }

    /** Point 4: away for hundreds of changes, it has the newest at once, and leads with that. */
    @Test
    void aCoreProcessThatMissedHundredsOfChangesCatchesUp() {
        StringBuilder text = new StringBuilder("ms | core0 | core1 | core2\n");
        text.append("2000 | put a | | \n2300 | a taken | | kill\n");
        for (int i = 0; i < 450; i++) {
            text.append(2400 + 50 * i).append(" | put x").append(i).append(" | |\n");
        }
        long end = 2400 + 50 * 450;
        text.append(end).append(" | x449 taken | | start\n");
        text.append(end + 600).append(" | | | has x449; vouches; put z\n");
        text.append(end + 1200).append(" | has z | has z | z taken; again a\n");
        text.append(end + 1500).append(" | | | a unclear\n");
        new Timeline(ClusterSize.THREE, text.toString());
    }
}
