package poppynotch.lab.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import poppynotch.lab.TestExperiments;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.virtual.VirtualClock;

/** What a model server makes of requests, by its own figures. */
class ModelServerTest {

    private final VirtualClock time = new VirtualClock();
    private final List<String> collapsed = new ArrayList<>();
    private final List<String> ends = new ArrayList<>();
    private double startedAtMs;
    private int ids;

    /** A model server of the last tier, of two cores, where a request is 10 ms of work. */
    private ModelServer createServer(String... changes) throws Exception {
        Experiment experiment = TestExperiments.smallExperiment("", changes);
        WorldListener listener =
                new WorldListener() {
                    @Override
                    public void onServerCollapsed(
                            double now, ModelServer modelServer, double byInformed) {
                        collapsed.add(modelServer.id + " " + byInformed);
                    }
                };
        SimulatedDay day =
                new SimulatedDay(experiment, 1, time, 20, listener, (post, ready) -> null);
        day.start(() -> {});
        startedAtMs = time.now();
        return day.modelServers(1).get(0);
    }

    private ModelServer.Job submit(ModelServer modelServer, String key) {
        String id = "r" + ids++;
        Call call =
                new Call(
                        id,
                        new ClientRequest(0, time.now(), key == null ? 0 : 1, 0, 0, 20, 1, 1),
                        1,
                        0,
                        time.now(),
                        time.now() + 60_000,
                        key,
                        false,
                        1);
        return modelServer.submit(
                call,
                time.now() + 60_000,
                true,
                end -> ends.add(id + " " + end + " " + Math.round(time.now() - startedAtMs)));
    }

    private void advanceClock(double ms) {
        double until = time.now() + ms;
        time.schedule(ms, () -> {});
        while (time.step(until)) {
            // The condition plays the step.
        }
    }

    @Test
    void requestsShareCoresEvenly() throws Exception {
        ModelServer modelServer = createServer();
        for (int i = 0; i < 4; i++) {
            submit(modelServer, null);
        }
        advanceClock(100);
        // Four requests of 10 ms on two cores.
        assertEquals(List.of("r0 SERVED 20", "r1 SERVED 20", "r2 SERVED 20", "r3 SERVED 20"), ends);
    }

    @Test
    void queuesBeyondSlotsAndRejectsWhenQueueIsFull() throws Exception {
        ModelServer modelServer =
                createServer("world.tiers.two.slots", "2", "world.tiers.two.queue", "1");
        for (int i = 0; i < 4; i++) {
            submit(modelServer, null);
        }
        advanceClock(100);
        assertEquals(
                List.of("r3 TURNED_AWAY 0", "r0 SERVED 10", "r1 SERVED 10", "r2 SERVED 20"), ends);
    }

    @Test
    void cellDropsDuplicateIdempotencyKey() throws Exception {
        ModelServer modelServer = createServer();
        submit(modelServer, "k");
        advanceClock(50);
        submit(modelServer, "k");
        assertEquals(List.of("r0 SERVED 10", "r1 SERVED 50"), ends);
    }

    @Test
    void cancelDropsQueuedAndKeepsRunningRequest() throws Exception {
        ModelServer modelServer = createServer("world.tiers.two.slots", "1");
        ModelServer.Job running = submit(modelServer, null);
        ModelServer.Job waiting = submit(modelServer, null);
        submit(modelServer, null);
        modelServer.cancel(running);
        modelServer.cancel(waiting);
        advanceClock(100);
        assertEquals(List.of("r1 LEFT 0", "r2 SERVED 20"), ends);
    }

    /**
     * Sidecars that no list has told yet send on: that must not look like a fault of theirs or of
     * the model server.
     */
    @Test
    void drainingServerServesLateRequests() throws Exception {
        ModelServer modelServer = createServer();
        modelServer.drain();
        submit(modelServer, null);
        advanceClock(50);
        assertEquals(List.of("r0 SERVED 10"), ends);
    }

    @Test
    void stopResetsRequestsInFlight() throws Exception {
        ModelServer modelServer = createServer();
        submit(modelServer, null);
        modelServer.stop();
        assertEquals(List.of("r0 RESET 0"), ends);
        assertTrue(Double.isNaN(modelServer.incarnation()));
    }

    @Test
    void warmingUpServerIsSlowAndCollapsesWhenOverloaded() throws Exception {
        ModelServer modelServer =
                createServer(
                        "world.tiers.two.cold-share", "0.5", "world.tiers.two.cold-time", "8s");
        modelServer.stop();
        modelServer.start(time.now());
        submit(modelServer, null);
        advanceClock(100);
        assertEquals(List.of("r0 SERVED 20"), ends);
        // Four times the present capacity of a core and a bit, for 1.5 s: some 6 s of work, in
        // calls of 10
        // ms.
        for (int i = 0; i < 700; i++) {
            submit(modelServer, null);
        }
        assertEquals(1, collapsed.size(), collapsed.toString());
        assertTrue(collapsed.get(0).endsWith(" 1.0"), collapsed.toString());
        assertTrue(Double.isNaN(modelServer.incarnation()));
    }

    /**
     * Guards against a model server that never gets out of a jam: it works slower until it has had
     * little to do.
     */
    @Test
    void jamsAfterLongOverloadAndRecoversWhenIdle() throws Exception {
        ModelServer modelServer =
                createServer(
                        "world.tiers.two.jam.at",
                        "3",
                        "world.tiers.two.jam.after",
                        "50ms",
                        "world.tiers.two.jam.factor",
                        "2",
                        "world.tiers.two.jam.rest",
                        "100ms");
        for (int i = 0; i < 30; i++) {
            submit(modelServer, null);
        }
        advanceClock(60);
        submit(modelServer, null);
        advanceClock(1000);
        // 31 requests are 155 ms of two cores, and from 60 ms on each takes twice as long.
        String last = ends.get(ends.size() - 1);
        assertTrue(
                Integer.parseInt(last.substring(last.lastIndexOf(' ') + 1)) > 200, ends.toString());
        advanceClock(1000);
        submit(modelServer, null);
        advanceClock(200);
        submit(modelServer, null);
        double from = time.now() - startedAtMs;
        advanceClock(100);
        assertEquals("r32 SERVED " + Math.round(from + 10), ends.get(ends.size() - 1));
    }
}
