package poppynotch.lab.added;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What the kernel and the virtual machine tell of a sidecar, and what is made of it. */
class CausesTest {

    private static final long MS = 1_000_000;
    private static final ThreadTimes.Times NONE = new ThreadTimes.Times(0, 0, 0);

    @TempDir Path folder;

    private static final List<String> LOG =
            List.of(
                    "[246288093932ns][gc] Using Serial",
                    "[246652172037ns][safepoint] Safepoint \"ICBufferFull\", Time since last:"
                            + " 353253708 ns, Reaching safepoint: 3576 ns, Cleanup: 143986 ns, At"
                            + " safepoint: 2073 ns, Total: 149635 ns",
                    "[246700000000ns][gc] GC(0) Pause Young (Allocation Failure) 17M->2M(61M)"
                            + " 3.500ms",
                    "[246700100000ns][safepoint] Safepoint \"SerialCollectForAllocation\", Time"
                        + " since last: 70200386 ns, Reaching safepoint: 3145 ns, Cleanup: 127631"
                        + " ns, At safepoint: 5148 ns, Total: 4000000 ns",
                    "[2467000",
                    "");

    @Test
    void readsPausesFromJvmLog() {
        assertEquals(
                List.of(
                        new PauseLog.Pause(
                                false, "ICBufferFull", 246652172037L - 149635, 246652172037L),
                        new PauseLog.Pause(
                                true,
                                "Young (Allocation Failure)",
                                246700000000L - 3_500_000,
                                246700000000L),
                        new PauseLog.Pause(
                                false,
                                "SerialCollectForAllocation",
                                246700100000L - 4_000_000,
                                246700100000L)),
                PauseLog.parse(LOG));
    }

    private void task(String id, String name, String times) throws Exception {
        Path task = Files.createDirectories(folder.resolve(id));
        Files.writeString(task.resolve("comm"), name + "\n");
        Files.writeString(task.resolve("schedstat"), times + "\n");
    }

    @Test
    void sumsThreadTimesByKindAndCountsNewThreadsCompletely() throws Exception {
        task("10", "sidecar-1-1", "1000 200 3");
        task("11", "C1 CompilerThre", "500 0 1");
        task("12", "VM Thread", "70 0 1");
        ThreadTimes before = ThreadTimes.of(folder);
        task("10", "sidecar-1-1", "1600 250 5");
        task("13", "C1 CompilerThre", "40 4 1");
        task("14", "java", "9 0 1");
        Files.delete(folder.resolve("12/schedstat"));
        Map<ThreadTimes.Kind, ThreadTimes.Times> since = ThreadTimes.of(folder).since(before);
        assertEquals(new ThreadTimes.Times(600, 50, 2), since.get(ThreadTimes.Kind.LOOP));
        assertEquals(new ThreadTimes.Times(40, 4, 1), since.get(ThreadTimes.Kind.COMPILER));
        assertEquals(NONE, since.get(ThreadTimes.Kind.VM));
        assertEquals(new ThreadTimes.Times(9, 0, 1), since.get(ThreadTimes.Kind.OTHER));
    }

    /**
     * A second of calls, one each 10 ms from the given time on; those in a stall end when it does.
     */
    private static Block block(long from, long stallFrom, long stallTo, ThreadTimes.Times loop) {
        Schedule schedule = new Schedule(from, 100, 100);
        Recorder calls = new Recorder(schedule);
        for (int i = 0; i < 100; i++) {
            long at = schedule.at(i);
            calls.over(
                    i,
                    HttpPool.Outcome.SERVED,
                    at >= stallFrom && at < stallTo ? stallTo : at + MS);
        }
        Map<ThreadTimes.Kind, ThreadTimes.Times> threads = new EnumMap<>(ThreadTimes.Kind.class);
        for (ThreadTimes.Kind kind : ThreadTimes.Kind.values()) {
            threads.put(kind, kind == ThreadTimes.Kind.LOOP ? loop : NONE);
        }
        return new Block(calls, threads, from, from + 1000 * MS);
    }

    @Test
    void attributesCpuTimeAndPausesToTheirBlock() {
        Block direct = block(0, 0, 0, new ThreadTimes.Times(10 * MS, 0, 10));
        Block by =
                block(
                        1000 * MS,
                        1500 * MS,
                        1550 * MS,
                        new ThreadTimes.Times(50 * MS, 20 * MS, 200));
        List<PauseLog.Pause> pauses =
                List.of(
                        new PauseLog.Pause(false, "Before", 500 * MS, 560 * MS),
                        new PauseLog.Pause(true, "Young", 1500 * MS, 1540 * MS),
                        new PauseLog.Pause(false, "Collect", 1500 * MS, 1550 * MS));
        Map<String, Estimate> figures =
                Causes.of(List.of(new Block.Pair(direct, by)), pauses, 0.96);
        assertEquals(0.5, figures.get("cpu").value(), 1e-9);
        assertEquals(0.5, figures.get("cause.cpu.loop").value(), 1e-9);
        assertEquals(0, figures.get("cause.cpu.compiler").value(), 1e-9);
        assertEquals(0.01, figures.get("cause.cpu.idle").value(), 1e-9);
        assertEquals(0.2, figures.get("cause.runqueue").value(), 1e-9);
        assertEquals(0.1, figures.get("cause.runqueue.turn").value(), 1e-9);
        // Five calls waited 50, 40, 30, 20 and 10 ms in the place of 1 ms each: 1.45 ms a call, of
        // which 0.7
        // the loop ran or was kept from running.
        assertEquals(1.45, figures.get("added.mean").value(), 0.01);
        assertEquals(0.75, figures.get("cause.rest").value(), 0.01);
        assertEquals(40, figures.get("cause.gc").value(), 1e-9);
        assertEquals(50, figures.get("cause.safepoint").value(), 1e-9);
        assertEquals(50, figures.get("cause.pause.longest").value(), 1e-9);
        // Five calls were planned in the pause.
        assertEquals(0.05, figures.get("cause.slow").value(), 1e-9);
        assertEquals(1, figures.get("cause.slow.in_pause").value(), 1e-9);
        assertEquals(
                List.of("Collect 1 times 50.00 ms"),
                Causes.pauseSummaries(List.of(new Block.Pair(direct, by)), pauses));
    }

    @Test
    void doesNotAttributeStallOutsideOfPausesToThem() {
        Block.Pair pair =
                new Block.Pair(block(0, 0, 0, NONE), block(1000 * MS, 1500 * MS, 1550 * MS, NONE));
        Map<String, Estimate> figures =
                Causes.of(
                        List.of(pair),
                        List.of(new PauseLog.Pause(false, "Cleanup", 1700 * MS, 1701 * MS)),
                        0.96);
        assertEquals(0.05, figures.get("cause.slow").value(), 1e-9);
        assertEquals(0, figures.get("cause.slow.in_pause").value(), 1e-9);
        Map<String, Estimate> calm =
                Causes.of(List.of(new Block.Pair(pair.direct(), pair.direct())), List.of(), 0.96);
        assertFalse(calm.containsKey("cause.slow.in_pause"));
    }
}
