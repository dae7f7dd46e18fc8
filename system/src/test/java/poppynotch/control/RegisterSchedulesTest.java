package poppynotch.control;

import static com.google.common.truth.Truth.assertWithMessage;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;
import poppynotch.config.DocumentCodec;
import poppynotch.register.RegisterValue;

/**
 * Random schedules of changes, kills, disk losses, partitions and slow or hanging disks: no
 * acknowledged change is lost, no rejected one comes into force, and every version has one
 * successor.
 */
class RegisterSchedulesTest {

    private static final int SCHEDULES = 400;
    private static final long STEP_MS = 60;
    private static final int STEPS = 120;

    /** Time to catch up after the recovery of a machine, before the next one may fail. */
    private static final long CATCH_UP_MS = 3000;

    @BeforeAll
    static void logOnlyErrors() {
        ((Logger) LoggerFactory.getLogger("poppynotch")).setLevel(Level.ERROR);
    }

    @Test
    void keepsAcknowledgedChangesUnderRandomFaults() {
        for (int seed = 1; seed <= SCHEDULES; seed++) {
            runSchedule(seed);
        }
    }

    private static void runSchedule(int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<String> names = seed % 2 == 0 ? List.of("a", "b", "c") : List.of("a", "b", "c", "d");
        RegisterCluster cluster = new RegisterCluster(seed, names, 3);
        cluster.lossProbability = seed % 3 == 0 ? 0.05 : 0;
        cluster.runUntil(400);
        List<RegisterCluster.SubmittedChange> changes = new ArrayList<>();
        String failing = null;
        long faultEndsMs = 0;
        long nextFaultMs = 0;
        for (int step = 0; step < STEPS; step++) {
            cluster.runUntil(cluster.nowMs + STEP_MS);
            if (failing == null && cluster.nowMs >= nextFaultMs && random.nextInt(5) == 0) {
                failing = names.get(random.nextInt(names.size()));
                injectFault(cluster.machines.get(failing), random);
                faultEndsMs = cluster.nowMs + random.nextInt(2500);
            } else if (failing != null && cluster.nowMs >= faultEndsMs) {
                recover(cluster.machines.get(failing));
                nextFaultMs = cluster.nowMs + CATCH_UP_MS;
                failing = null;
            }
            submitRandomChange(cluster, names, changes, random);
        }
        cluster.lossProbability = 0;
        cluster.machines.values().forEach(RegisterSchedulesTest::recover);
        cluster.runUntil(cluster.nowMs + 6000);
        check(seed, cluster, names, changes);
    }

    private static void injectFault(RegisterCluster.Machine machine, SplittableRandom random) {
        switch (random.nextInt(5)) {
            case 0 -> machine.kill();
            case 1 -> machine.wipe();
            case 2 -> machine.partitioned = true;
            case 3 -> machine.diskHangs = true;
            default -> machine.diskLatencyMs = 150;
        }
    }

    private static void recover(RegisterCluster.Machine machine) {
        machine.partitioned = false;
        machine.diskLatencyMs = 1;
        machine.resumeDisk();
        if (!machine.isUp) {
            machine.start();
        }
    }

    private static void submitRandomChange(
            RegisterCluster cluster,
            List<String> names,
            List<RegisterCluster.SubmittedChange> changes,
            SplittableRandom random) {
        RegisterCluster.Machine machine =
                cluster.machines.get(names.get(random.nextInt(names.size())));
        if (!machine.isUp || random.nextInt(3) == 0) {
            return;
        }
        if (!changes.isEmpty() && random.nextInt(3) == 0) {
            RegisterCluster.SubmittedChange earlier = changes.get(random.nextInt(changes.size()));
            if (earlier.result == null || earlier.result instanceof OperatorChangeResult.Unclear) {
                cluster.submitAgain(machine.name, earlier);
            }
            return;
        }
        long newest =
                changes.stream()
                        .filter(change -> change.result instanceof OperatorChangeResult.Applied)
                        .mapToLong(change -> change.generation)
                        .max()
                        .orElse(0);
        changes.add(
                cluster.submit(
                        machine.name,
                        newest + 1 + random.nextInt(3),
                        newest,
                        "o" + changes.size()));
    }

    private static void check(
            int seed,
            RegisterCluster cluster,
            List<String> names,
            List<RegisterCluster.SubmittedChange> changes) {
        String schedule = "schedule " + seed;
        assertWithMessage(schedule).that(cluster.contradiction()).isEqualTo(Optional.empty());
        RegisterValue end =
                cluster.read(names.get(0)).orElseThrow(() -> new AssertionError(schedule));
        List<RegisterValue> all = new ArrayList<>(cluster.chosenValues);
        all.add(end);
        for (RegisterCluster.SubmittedChange change : changes) {
            long times =
                    all.stream()
                            .filter(
                                    value ->
                                            value.generation() == change.generation
                                                    && content(value)
                                                            .contains("\"" + change.content + "\""))
                            .count();
            if (change.result instanceof OperatorChangeResult.Applied) {
                assertWithMessage(
                                schedule
                                        + ": "
                                        + change.content
                                        + " was acknowledged and is in force")
                        .that(times > 0 || end.generation() > change.generation)
                        .isTrue();
                assertWithMessage(schedule + ": the end is not older than " + change.generation)
                        .that(end.generation())
                        .isAtLeast(change.generation);
            } else if (change.result instanceof OperatorChangeResult.Conflict
                    || change.result instanceof OperatorChangeResult.Invalid) {
                assertWithMessage(
                                schedule
                                        + ": "
                                        + change.content
                                        + " was rejected and is not in force")
                        .that(times)
                        .isEqualTo(0);
            }
        }
    }

    private static String content(RegisterValue value) {
        return value.document().length == 0
                ? ""
                : new String(DocumentCodec.decode(value.document()), StandardCharsets.UTF_8);
    }
}
