package poppynotch.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Fault scenarios of the register as timelines: the first column is the time in ms, each other one
 * a machine. {@code put 2 on 1 as x} submits a change to generation 2 of generation 1, named by its
 * content; {@code resend x} submits the same once more.
 */
class RegisterTimelineTest {

    private static final class TimelineRun {
        final RegisterCluster cluster;
        final Map<String, RegisterCluster.SubmittedChange> changes = new HashMap<>();

        TimelineRun(String timeline, int initialAcceptorCount) {
            List<String> lines = timeline.lines().filter(line -> !line.isBlank()).toList();
            List<String> names = cells(lines.get(0));
            cluster = new RegisterCluster(1, names.subList(1, names.size()), initialAcceptorCount);
            for (String line : lines.subList(1, lines.size())) {
                List<String> cells = cells(line);
                cluster.runUntil(Long.parseLong(cells.get(0)));
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
            RegisterCluster.Machine machine = cluster.machines.get(on);
            String[] words = command.split(" ");
            switch (words[0]) {
                case "put" ->
                        changes.put(
                                words[5],
                                cluster.submit(
                                        on,
                                        Long.parseLong(words[1]),
                                        Long.parseLong(words[3]),
                                        words[5]));
                case "resend" -> cluster.submitAgain(on, changes.get(words[1]));
                case "kill" -> machine.kill();
                case "wipe" -> machine.wipe();
                case "start" -> machine.start();
                case "isolate" -> machine.partitioned = true;
                case "drop-sent" -> machine.dropsOutgoing = true;
                case "drop-received" -> machine.dropsIncoming = true;
                case "heal" -> {
                    machine.partitioned = false;
                    machine.dropsOutgoing = false;
                    machine.dropsIncoming = false;
                }
                case "hang-disk" -> machine.diskHangs = true;
                case "resume-disk" -> machine.resumeDisk();
                case "slow-disk" -> machine.diskLatencyMs = Long.parseLong(words[1]);
                case "can-vote" ->
                        assertWithMessage(on + " votes").that(machine.replica.mayVote()).isTrue();
                case "cannot-vote" ->
                        assertWithMessage(on + " votes").that(machine.replica.mayVote()).isFalse();
                case "knows" ->
                        assertWithMessage("generation known at " + on)
                                .that(machine.replica.chosen().orElseThrow().value().generation())
                                .isEqualTo(Long.parseLong(words[1]));
                case "reads" ->
                        assertWithMessage("generation read at " + on)
                                .that(cluster.read(on).orElseThrow().generation())
                                .isEqualTo(Long.parseLong(words[1]));
                default -> throw new IllegalArgumentException(command);
            }
        }

        OperatorChangeResult result(String name) {
            return changes.get(name).result;
        }
    }

    private static TimelineRun runTimeline(String timeline) {
        TimelineRun run = new TimelineRun(timeline, 3);
        assertThat(run.cluster.contradiction()).isEqualTo(Optional.empty());
        return run;
    }

    @Test
    void appliesOneOfTwoConcurrentChangesOfOneVersion() {
        TimelineRun run =
                runTimeline(
                        """
                        ms   | a               | b               | c
                        500  | put 1 on 0 as x | put 2 on 0 as y |
                        3000 |                 |                 |
                        """);
        List<OperatorChangeResult> results = List.of(run.result("x"), run.result("y"));
        assertThat(results.stream().filter(r -> r instanceof OperatorChangeResult.Applied).count())
                .isEqualTo(1);
        assertThat(results.stream().filter(r -> r instanceof OperatorChangeResult.Conflict).count())
                .isEqualTo(1);
    }

    @Test
    void acknowledgesChangeSentAgainAfterLaterChanges() {
        TimelineRun run =
                runTimeline(
                        """
                        ms   | a               | b               | c
                        500  | put 1 on 0 as x |                 |
                        900  |                 | put 2 on 1 as y |
                        1300 |                 |                 | resend x
                        1800 |                 |                 | reads 2
                        """);
        assertThat(run.result("x")).isInstanceOf(OperatorChangeResult.Applied.class);
        assertThat(run.result("y")).isInstanceOf(OperatorChangeResult.Applied.class);
    }

    @Test
    void keepsAcknowledgedChangeWhenProposerLosesItsDisk() {
        TimelineRun run =
                runTimeline(
                        """
                        ms   | a               | b       | c
                        500  | put 1 on 0 as x |         |
                        800  | wipe            |         |
                        1500 | start           |         |
                        1501 | cannot-vote     |         |
                        4000 | can-vote        | reads 1 |
                        8000 |                 | kill    |
                        8100 | reads 1         |         |
                        """);
        assertThat(run.result("x")).isInstanceOf(OperatorChangeResult.Applied.class);
    }

    @Test
    void doesNotRecoverVoteOfWipedMachineWhileAnotherIsDown() {
        runTimeline(
                """
                ms   | a               | b       | c
                500  | put 1 on 0 as x |         |
                800  |                 | kill    | wipe
                900  |                 |         | start
                5000 |                 |         | cannot-vote
                5100 |                 | start   |
                8000 |                 |         | can-vote; reads 1
                """);
    }

    @Test
    void makesProgressWhileOneDiskHangs() {
        TimelineRun run =
                runTimeline(
                        """
                        ms   | a               | b     | c
                        400  |                 | hang-disk |
                        500  | put 1 on 0 as x |       |
                        900  | knows 1         |       | knows 1
                        4000 |                 | resume-disk |
                        5000 |                 | reads 1 |
                        """);
        assertThat(run.result("x")).isInstanceOf(OperatorChangeResult.Applied.class);
    }

    @Test
    void answersUnclearOnPartitionedMachine() {
        TimelineRun run =
                runTimeline(
                        """
                        ms   | a               | b               | c
                        400  | isolate         |                 |
                        500  | put 1 on 0 as x | put 2 on 0 as y |
                        4000 | heal            |                 |
                        6000 | knows 2         | reads 2         |
                        """);
        assertThat(run.result("x")).isInstanceOf(OperatorChangeResult.Unclear.class);
        assertThat(run.result("y")).isInstanceOf(OperatorChangeResult.Applied.class);
    }

    @Test
    void keepsAcknowledgedChangeWhenAllMachinesAreKilled() {
        TimelineRun run =
                runTimeline(
                        """
                        ms   | a               | b     | c     | d
                        500  | put 1 on 0 as x |       |       |
                        600  | kill            | kill  | kill  | kill
                        1600 | start           | start | start | start
                        3000 | knows 1         |       |       | reads 1
                        """);
        assertThat(run.result("x")).isInstanceOf(OperatorChangeResult.Applied.class);
    }

    @Test
    void makesProgressWhenOneMachineCanNotSend() {
        TimelineRun run =
                runTimeline(
                        """
                        ms   | a               | b               | c
                        400  | drop-sent       |                 |
                        500  | put 1 on 0 as x | put 2 on 0 as y |
                        1500 |                 | knows 2         | knows 2
                        4000 | heal            |                 |
                        6000 | knows 2         |                 | reads 2
                        """);
        assertThat(run.result("x")).isInstanceOf(OperatorChangeResult.Unclear.class);
        assertThat(run.result("y")).isInstanceOf(OperatorChangeResult.Applied.class);
    }

    @Test
    void makesProgressWhenOneMachineCanNotReceive() {
        TimelineRun run =
                runTimeline(
                        """
                        ms   | a               | b               | c
                        400  | drop-received   |                 |
                        500  | put 1 on 0 as x |                 |
                        1200 |                 | put 2 on 0 as y |
                        4000 | heal            |                 |
                        7000 | knows 2         |                 | reads 2
                        """);
        assertThat(run.result("x")).isInstanceOf(OperatorChangeResult.Unclear.class);
        assertThat(run.result("y")).isInstanceOf(OperatorChangeResult.Applied.class);
    }

    @Test
    void makesProgressInMajorityPartition() {
        TimelineRun run =
                runTimeline(
                        """
                        ms   | a               | b               | c       | d
                        400  |                 |                 | isolate |
                        500  | put 1 on 0 as x |                 |         |
                        900  |                 | put 2 on 1 as y |         |
                        3000 |                 |                 | heal    |
                        4000 | isolate         |                 | knows 2 |
                        4100 |                 |                 |         | reads 2
                        """);
        assertThat(run.result("x")).isInstanceOf(OperatorChangeResult.Applied.class);
        assertThat(run.result("y")).isInstanceOf(OperatorChangeResult.Applied.class);
    }

    @Test
    void makesProgressWhenProposerDiesBetweenPhases() {
        TimelineRun run =
                runTimeline(
                        """
                        ms   | a               | b               | c
                        500  | put 1 on 0 as x |                 |
                        504  | kill            |                 |
                        900  |                 | put 2 on 0 as y |
                        4000 | start           | resend x        |
                        7000 |                 |                 |
                        """);
        OperatorChangeResult x = run.result("x");
        OperatorChangeResult y = run.result("y");
        assertThat(
                        x instanceof OperatorChangeResult.Applied
                                && y instanceof OperatorChangeResult.Applied)
                .isFalse();
        assertThat(
                        x instanceof OperatorChangeResult.Applied
                                || y instanceof OperatorChangeResult.Applied)
                .isTrue();
    }
}
