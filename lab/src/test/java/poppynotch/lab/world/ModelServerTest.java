package poppynotch.lab.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import poppynotch.lab.Days;
import poppynotch.lab.experiment.Experiment;
import poppynotch.lab.virtual.VirtualTime;

/** What a nodo makes of requests, by its own figures. */
class ModelServerTest {

    private final VirtualTime time = new VirtualTime();
    private final List<String> fallen = new ArrayList<>();
    private final List<String> ends = new ArrayList<>();
    private double begunAt;
    private int ids;

    /** A nodo of the last tier, of two cores, where a request is 10 ms of work. */
    private ModelServer nodo(String... changes) throws Exception {
        Experiment experiment = Days.small("", changes);
        WorldListener facts =
                new WorldListener() {
                    @Override
                    public void pushedOver(double now, ModelServer nodo, double byInformed) {
                        fallen.add(nodo.id + " " + byInformed);
                    }
                };
        SimulatedDay scene =
                new SimulatedDay(experiment, 1, time, 20, facts, (post, ready) -> null);
        scene.start(() -> {});
        begunAt = time.now();
        return scene.nodos(1).get(0);
    }

    private ModelServer.Job submit(ModelServer nodo, String key) {
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
        return nodo.submit(
                call,
                time.now() + 60_000,
                true,
                end -> ends.add(id + " " + end + " " + Math.round(time.now() - begunAt)));
    }

    private void pass(double ms) {
        double until = time.now() + ms;
        time.after(ms, () -> {});
        while (time.step(until)) {
            continue;
        }
    }

    @Test
    void requestsShareItsCores() throws Exception {
        ModelServer nodo = nodo();
        for (int i = 0; i < 4; i++) {
            submit(nodo, null);
        }
        pass(100);
        // Four requests of 10 ms on two cores.
        assertEquals(List.of("r0 SERVED 20", "r1 SERVED 20", "r2 SERVED 20", "r3 SERVED 20"), ends);
    }

    @Test
    void beyondSlotsTheyWaitAndBeyondTheRoomTheyAreTurnedAway() throws Exception {
        ModelServer nodo = nodo("world.tiers.two.slots", "2", "world.tiers.two.queue", "1");
        for (int i = 0; i < 4; i++) {
            submit(nodo, null);
        }
        pass(100);
        assertEquals(
                List.of("r3 TURNED_AWAY 0", "r0 SERVED 10", "r1 SERVED 10", "r2 SERVED 20"), ends);
    }

    @Test
    void aCellDropsARepeatOfAKey() throws Exception {
        ModelServer nodo = nodo();
        submit(nodo, "k");
        pass(50);
        submit(nodo, "k");
        assertEquals(List.of("r0 SERVED 10", "r1 SERVED 50"), ends);
    }

    @Test
    void aCancelDropsWhatWaitsAndLeavesWhatRuns() throws Exception {
        ModelServer nodo = nodo("world.tiers.two.slots", "1");
        ModelServer.Job running = submit(nodo, null);
        ModelServer.Job waiting = submit(nodo, null);
        submit(nodo, null);
        nodo.cancel(running);
        nodo.cancel(waiting);
        pass(100);
        assertEquals(List.of("r1 LEFT 0", "r2 SERVED 20"), ends);
    }

    /**
     * Sidecars that no list has told yet send on: that must not look like a fault of theirs or of
     * the nodo.
     */
    @Test
    void aNodoThatDrainsServesWhatStillComes() throws Exception {
        ModelServer nodo = nodo();
        nodo.drain();
        submit(nodo, null);
        pass(50);
        assertEquals(List.of("r0 SERVED 10"), ends);
    }

    @Test
    void aProcessThatDiesResetsWhatItHas() throws Exception {
        ModelServer nodo = nodo();
        submit(nodo, null);
        nodo.stop();
        assertEquals(List.of("r0 RESET 0"), ends);
        assertTrue(Double.isNaN(nodo.process()));
    }

    @Test
    void aColdNodoWorksSlowlyAndFallsOverWhenFlooded() throws Exception {
        ModelServer nodo =
                nodo("world.tiers.two.cold-share", "0.5", "world.tiers.two.cold-time", "8s");
        nodo.stop();
        nodo.start(time.now());
        submit(nodo, null);
        pass(100);
        assertEquals(List.of("r0 SERVED 20"), ends);
        // Four times the present capacity of a core and a bit, for 1.5 s: some 6 s of work, in
        // calls of 10
        // ms.
        for (int i = 0; i < 700; i++) {
            submit(nodo, null);
        }
        assertEquals(1, fallen.size(), fallen.toString());
        assertTrue(fallen.get(0).endsWith(" 1.0"), fallen.toString());
        assertTrue(Double.isNaN(nodo.process()));
    }

    /**
     * Guards against a nodo that never gets out of a jam: it works slower until it has had little
     * to do.
     */
    @Test
    void tooMuchForTooLongIsAJamUntilItRests() throws Exception {
        ModelServer nodo =
                nodo(
                        "world.tiers.two.jam.at",
                        "3",
                        "world.tiers.two.jam.after",
                        "50ms",
                        "world.tiers.two.jam.factor",
                        "2",
                        "world.tiers.two.jam.rest",
                        "100ms");
        for (int i = 0; i < 30; i++) {
            submit(nodo, null);
        }
        pass(60);
        submit(nodo, null);
        pass(1000);
        // 31 requests are 155 ms of two cores, and from 60 ms on each takes twice as long.
        String last = ends.get(ends.size() - 1);
        assertTrue(
                Integer.parseInt(last.substring(last.lastIndexOf(' ') + 1)) > 200, ends.toString());
        pass(1000);
        submit(nodo, null);
        pass(200);
        submit(nodo, null);
        double from = time.now() - begunAt;
        pass(100);
        assertEquals("r32 SERVED " + Math.round(from + 10), ends.get(ends.size() - 1));
    }
}
