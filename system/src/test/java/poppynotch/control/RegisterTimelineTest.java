package poppynotch.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Hard cases of the register as timelines: the first column is the time in ms, each other one a
 * machine. {@code put 2 on 1 as x} sends a change named by its content, {@code again x} the same
 * once more.
 */
class RegisterTimelineTest {

    private static final class Play {
        final RegisterWorld world;
        final Map<String, RegisterWorld.Order> orders = new HashMap<>();

        Play(String timeline, int founding) {
            List<String> lines = timeline.lines().filter(line -> !line.isBlank()).toList();
            List<String> names = cells(lines.get(0));
            world = new RegisterWorld(1, names.subList(1, names.size()), founding);
            for (String line : lines.subList(1, lines.size())) {
                List<String> cells = cells(line);
                world.runUntil(Long.parseLong(cells.get(0)));
                for (int i = 1; i < cells.size(); i++) {
                    for (String command : cells.get(i).split(";")) {
                        if (!command.isBlank()) {
                            run(names.get(i), command.trim());
                        }
                    }
                }
            }
        }

        private static List<String> cells(String line) {
            List<String> cells = new ArrayList<>();
            for (String cell : line.split("\\|")) {
                cells.add(cell.trim());
            }
            return cells;
        }

        private void run(String on, String command) {
            RegisterWorld.Machine machine = world.machines.get(on);
            String[] words = command.split(" ");
            switch (words[0]) {
                case "put" ->
                        orders.put(
                                words[5],
                                world.put(
                                        on,
                                        Long.parseLong(words[1]),
                                        Long.parseLong(words[3]),
                                        words[5]));
                case "again" -> world.resend(on, orders.get(words[1]));
                case "kill" -> machine.kill();
                case "wipe" -> machine.wipe();
                case "start" -> machine.start();
                case "cut" -> machine.cut = true;
                case "mutes" -> machine.mute = true;
                case "deafens" -> machine.deaf = true;
                case "heal" -> {
                    machine.cut = false;
                    machine.mute = false;
                    machine.deaf = false;
                }
                case "hang" -> machine.diskHangs = true;
                case "unhang" -> machine.diskGoesOn();
                case "slow" -> machine.diskMs = Long.parseLong(words[1]);
                case "votes" ->
                        assertWithMessage(on + " votes").that(machine.replica.mayVote()).isTrue();
                case "mute" ->
                        assertWithMessage(on + " votes").that(machine.replica.mayVote()).isFalse();
                case "knows" ->
                        assertWithMessage("generation known at " + on)
                                .that(machine.replica.chosen().orElseThrow().value().generation())
                                .isEqualTo(Long.parseLong(words[1]));
                case "reads" ->
                        assertWithMessage("generation read at " + on)
                                .that(world.read(on).orElseThrow().generation())
                                .isEqualTo(Long.parseLong(words[1]));
                default -> throw new IllegalArgumentException(command);
            }
        }

        OperatorChangeResult result(String name) {
            return orders.get(name).result;
        }
    }

    private static Play play(String timeline) {
        Play play = new Play(timeline, 3);
        assertThat(play.world.contradiction()).isEqualTo(java.util.Optional.empty());
        return play;
    }

    @Test
    void ofTwoChangesOnOneVersionOneWins() {
        Play play =
                play(
                        """
            ms   | a               | b               | c
            500  | put 1 on 0 as x | put 2 on 0 as y |
            3000 |                 |                 |
            """);
        List<OperatorChangeResult> results = List.of(play.result("x"), play.result("y"));
        assertThat(results.stream().filter(r -> r instanceof OperatorChangeResult.Taken).count())
                .isEqualTo(1);
        assertThat(results.stream().filter(r -> r instanceof OperatorChangeResult.Conflict).count())
                .isEqualTo(1);
    }

    @Test
    void aChangeSentAgainIsAcknowledgedAgainAlsoAfterLaterOnes() {
        Play play =
                play(
                        """
            ms   | a               | b               | c
            500  | put 1 on 0 as x |                 |
            900  |                 | put 2 on 1 as y |
            1300 |                 |                 | again x
            1800 |                 |                 | reads 2
            """);
        assertThat(play.result("x")).isInstanceOf(OperatorChangeResult.Taken.class);
        assertThat(play.result("y")).isInstanceOf(OperatorChangeResult.Taken.class);
    }

    @Test
    void whatWasAcknowledgedOutlivesTheDiskOfTheMachineThatDidSo() {
        Play play =
                play(
                        """
            ms   | a               | b       | c
            500  | put 1 on 0 as x |         |
            800  | wipe            |         |
            1500 | start           |         |
            1501 | mute            |         |
            4000 | votes           | reads 1 |
            8000 |                 | kill    |
            8100 | reads 1         |         |
            """);
        assertThat(play.result("x")).isInstanceOf(OperatorChangeResult.Taken.class);
    }

    @Test
    void aWipedMachineDoesNotVoteWhileAnotherIsDown() {
        play(
                """
            ms   | a               | b       | c
            500  | put 1 on 0 as x |         |
            800  |                 | kill    | wipe
            900  |                 |         | start
            5000 |                 |         | mute
            5100 |                 | start   |
            8000 |                 |         | votes; reads 1
            """);
    }

    @Test
    void aDiskThatHangsStopsNobodyElse() {
        Play play =
                play(
                        """
            ms   | a               | b     | c
            400  |                 | hang  |
            500  | put 1 on 0 as x |       |
            900  | knows 1         |       | knows 1
            4000 |                 | unhang|
            5000 |                 | reads 1 |
            """);
        assertThat(play.result("x")).isInstanceOf(OperatorChangeResult.Taken.class);
    }

    @Test
    void aMachineThatIsCutOffAnswersNothingClear() {
        Play play =
                play(
                        """
            ms   | a               | b               | c
            400  | cut             |                 |
            500  | put 1 on 0 as x | put 2 on 0 as y |
            4000 | heal            |                 |
            6000 | knows 2         | reads 2         |
            """);
        assertThat(play.result("x")).isInstanceOf(OperatorChangeResult.Unclear.class);
        assertThat(play.result("y")).isInstanceOf(OperatorChangeResult.Taken.class);
    }

    @Test
    void whenAllAreKilledAtOnceWhatWasAcknowledgedIsThereAgain() {
        Play play =
                play(
                        """
            ms   | a               | b     | c     | d
            500  | put 1 on 0 as x |       |       |
            600  | kill            | kill  | kill  | kill
            1600 | start           | start | start | start
            3000 | knows 1         |       |       | reads 1
            """);
        assertThat(play.result("x")).isInstanceOf(OperatorChangeResult.Taken.class);
    }

    @Test
    void aMachineThatHearsButIsNotHeardHoldsUpNobody() {
        Play play =
                play(
                        """
                        ms   | a               | b               | c
                        400  | mutes           |                 |
                        500  | put 1 on 0 as x | put 2 on 0 as y |
                        1500 |                 | knows 2         | knows 2
                        4000 | heal            |                 |
                        6000 | knows 2         |                 | reads 2
                        """);
        assertThat(play.result("x")).isInstanceOf(OperatorChangeResult.Unclear.class);
        assertThat(play.result("y")).isInstanceOf(OperatorChangeResult.Taken.class);
    }

    @Test
    void aMachineThatIsHeardButDoesNotHearPromisesNothing() {
        Play play =
                play(
                        """
                        ms   | a               | b               | c
                        400  | deafens         |                 |
                        500  | put 1 on 0 as x |                 |
                        1200 |                 | put 2 on 0 as y |
                        4000 | heal            |                 |
                        7000 | knows 2         |                 | reads 2
                        """);
        assertThat(play.result("x")).isInstanceOf(OperatorChangeResult.Unclear.class);
        assertThat(play.result("y")).isInstanceOf(OperatorChangeResult.Taken.class);
    }

    @Test
    void inACoreCutInTwoTheLargerPartGoesOn() {
        Play play =
                play(
                        """
                        ms   | a               | b               | c       | d
                        400  |                 |                 | cut     |
                        500  | put 1 on 0 as x |                 |         |
                        900  |                 | put 2 on 1 as y |         |
                        3000 |                 |                 | heal    |
                        4000 | cut             |                 | knows 2 |
                        4100 |                 |                 |         | reads 2
                        """);
        assertThat(play.result("x")).isInstanceOf(OperatorChangeResult.Taken.class);
        assertThat(play.result("y")).isInstanceOf(OperatorChangeResult.Taken.class);
    }

    @Test
    void aProposerThatDiesBetweenItsRoundsHoldsUpNobody() {
        Play play =
                play(
                        """
            ms   | a               | b               | c
            500  | put 1 on 0 as x |                 |
            504  | kill            |                 |
            900  |                 | put 2 on 0 as y |
            4000 | start           | again x         |
            7000 |                 |                 |
            """);
        OperatorChangeResult x = play.result("x");
        OperatorChangeResult y = play.result("y");
        assertThat(
                        x instanceof OperatorChangeResult.Taken
                                && y instanceof OperatorChangeResult.Taken)
                .isFalse();
        assertThat(
                        x instanceof OperatorChangeResult.Taken
                                || y instanceof OperatorChangeResult.Taken)
                .isTrue();
    }
}
