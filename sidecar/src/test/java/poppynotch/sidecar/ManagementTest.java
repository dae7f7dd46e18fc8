package poppynotch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What operators see at their own address. */
@Timeout(60)
class ManagementTest {

    private Rig rig;

    private Rig start(Fake... endpoints) throws IOException {
        rig = new Rig(endpoints);
        return rig.start();
    }

    @AfterEach
    void stop() throws IOException {
        rig.close();
    }

    private static Fake good() throws IOException {
        return Fake.answering(200, "", "served");
    }

    private void awaitStatus(String answer) throws Exception {
        Rig.await(
                "the status is " + answer,
                () -> {
                    try {
                        return rig.call("status\n").startsWith(answer);
                    } catch (IOException e) {
                        throw new java.io.UncheckedIOException(e);
                    }
                });
    }

    // ---- the door ----

    @Test
    void statusIsDoneOnlyOfASidecarThatServes() throws Exception {
        start();
        awaitStatus("error no endpoint");
        stop();
        start(good());
        awaitStatus("done");
        assertEquals("done\n", rig.call("status\r\n"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", " ", "stat", "status now", "GET /status HTTP/1.1", "\0\1\2", "maint-on"})
    void whatIsNoCallGetsAnError(String line) throws Exception {
        start(good());
        awaitStatus("done");
        assertTrue(rig.call(line + "\n").startsWith("error "), line);
    }

    /** Guards against a line that fills memory. */
    @Test
    void aLineWithoutEndGetsAnErrorAndAClose() throws Exception {
        start(good());
        try (Wire caller = Wire.to(rig.sidecar.managementAddress())) {
            caller.send("x".repeat(600));
            assertTrue(caller.rest().startsWith("error "));
        }
    }

    /**
     * Guards against callers that hold all places: the oldest gives way, and silent ones are let
     * go.
     */
    @Test
    void silentCallersKeepNobodyOut() throws Exception {
        start(good());
        awaitStatus("done");
        List<Wire> silent = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            silent.add(Wire.to(rig.sidecar.managementAddress()).send("stat"));
        }
        assertEquals("done\n", rig.call("status\n"));
        silent.get(0).awaitEnd();
        assertTrue(silent.get(39).rest().startsWith("error no whole call"), "the last one is told");
        for (Wire wire : silent) {
            wire.close();
        }
    }

    // ---- sending clients away ----

    private static final String READY = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";

    /**
     * Guards against clients that stay: the idle are closed, the busy leave with their next answer.
     */
    @Test
    void standbySendsClientsAwayAndGoesOnServing() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(
                new Fake(
                        (wire, request) -> {
                            if (request.headers().get("x-request-id").equals("r0")) {
                                release.await();
                            }
                            Fake.answer(wire, 200, "", "served");
                        }));
        awaitStatus("done");
        try (Wire busy = rig.client();
                Wire idle = rig.client();
                Wire late = rig.client()) {
            assertEquals(200, late.send(READY).read().status());
            busy.send(rig.request("order", 8000) + rig.request("order", 8000));
            Rig.await("both are in hand", () -> rig.attempts() == 2);
            assertEquals("done\n", rig.call("standby\n"));
            assertTrue(rig.call("status\n").startsWith("error draining"));
            assertEquals(503, late.send(READY).read().status());
            Rig.await(
                    "answers become the last ones",
                    () -> {
                        try (Wire fresh = rig.client()) {
                            Wire.Message answer = fresh.send(rig.request("read", 8000)).read();
                            return answer.status() == 200
                                    && "close".equals(answer.headers().get("connection"));
                        } catch (IOException e) {
                            throw new java.io.UncheckedIOException(e);
                        }
                    });
            assertEquals("done\n", rig.call("standby\n"), "it may be repeated");
            late.awaitEnd();
            idle.awaitEnd();
            release.countDown();
            assertEquals(200, busy.read().status());
            Wire.Message last = busy.read();
            assertEquals(200, last.status());
            assertEquals("close", last.headers().get("connection"));
            busy.awaitEnd();
        }
    }

    @Test
    void activeEndsTheDrainAtOnce() throws Exception {
        start(good());
        awaitStatus("done");
        assertEquals("done\n", rig.call("standby\n"));
        assertEquals("done\n", rig.call("active\n"));
        assertEquals("done\n", rig.call("status\n"));
        try (Wire client = rig.client()) {
            assertEquals(200, client.send(READY).read().status());
            for (int i = 0; i < 2; i++) {
                Wire.Message answer = client.send(rig.request("order", 8000)).read();
                assertEquals(200, answer.status());
                assertNull(answer.headers().get("connection"));
            }
        }
    }

    /**
     * Guards against a new process that never accepts, as it was sent clients away from while it
     * started.
     */
    @Test
    void aDrainDuringTheStartEndsToo() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        rig = new Rig(good());
        rig.listener = ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0));
        rig.discovery.script =
                (wire, request) -> {
                    if (rig.discovery.requests.size() == 1) {
                        answer.await();
                        Fake.answer(wire, 200, "", Rig.list(1, false));
                    } else {
                        wire.awaitEnd();
                    }
                };
        rig.start();
        assertTrue(rig.call("status\n").startsWith("error starting"));
        assertEquals("done\n", rig.call("standby\n"));
        answer.countDown();
        Rig.await(
                "it could serve",
                () ->
                        rig.logged().contains("warm after")
                                && rig.logged().contains("discovery told"));
        try (Wire silent = Wire.to(rig.sidecar.managementAddress())) {
            // By the time that it is let go, discovery has had all the time that a start gives it.
            assertTrue(silent.rest().startsWith("error no whole call"));
        }
        assertTrue(rig.call("status\n").startsWith("error draining"));
        assertEquals("done\n", rig.call("active\n"));
        awaitStatus("done");
        assertEquals(200, rig.ask("read", 8000).status());
    }

    /** Guards against a process that is to end and says it serves. */
    @Test
    void activeDoesNotUndoAStop() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(
                new Fake(
                        (wire, request) -> {
                            release.await();
                            Fake.answer(wire, 200, "", "served");
                        }));
        awaitStatus("done");
        try (Wire busy = rig.client().send(rig.request("order", 8000))) {
            Rig.await("it is in hand", () -> rig.attempts() == 1);
            Thread drain = new Thread(rig.sidecar::drain);
            drain.start();
            awaitStatus("error draining");
            assertTrue(rig.call("active\n").startsWith("error "));
            assertTrue(rig.call("status\n").startsWith("error draining"));
            release.countDown();
            assertEquals(200, busy.read().status());
            drain.join();
        }
    }

    // ---- maintenance ----

    /** Guards against anything new to an endpoint in maintenance, also where it is the only one. */
    @Test
    void anEndpointInMaintenanceGetsNothingUntilTheCallBack() throws Exception {
        Fake other = good();
        start(good(), other);
        awaitStatus("done");
        assertEquals("done\n", rig.call("maint-on s0\n"));
        assertEquals("done\n", rig.call("maint-on s0\n"), "it may be repeated");
        for (int i = 0; i < 10; i++) {
            assertEquals(200, rig.ask("read", 8000).status());
        }
        assertEquals(10, other.requests.size());
        assertEquals("done\n", rig.call("maint-on s1\n"));
        assertEquals(503, rig.ask("read", 8000).status());
        assertEquals("done\n", rig.call("maint-off s0\n"), "one call back ends it");
        assertEquals(200, rig.ask("read", 8000).status());
        assertEquals(10, other.requests.size());
    }

    @Test
    void anIdThatNoListHasNamedIsRefused() throws Exception {
        start(good());
        assertTrue(rig.call("maint-on s1\n").startsWith("error no list has named s1"));
        assertTrue(rig.call("maint-off s1\n").startsWith("error no list has named s1"));
        assertTrue(rig.call("maint-on s0 s0\n").startsWith("error unknown call"));
    }

    /**
     * Guards against a ban that a new version forgets, also of an id that would lead out of the
     * folder.
     */
    @Test
    void maintenanceOutlastsTheProcess(@TempDir Path folder) throws Exception {
        rig = new Rig(good(), good());
        rig.folder = folder;
        rig.start();
        assertEquals("done\n", rig.call("maint-on s0\n"));
        rig.sidecar.stop();
        MaintenanceFiles files = new MaintenanceFiles(folder, null);
        files.set("../s9", true);
        rig.start();
        for (int i = 0; i < 4; i++) {
            assertEquals(200, rig.ask("read", 8000).status());
        }
        assertEquals(0, rig.endpoints.get(0).requests.size());
        assertEquals("done\n", rig.call("maint-off s0\n"));
        assertEquals(Set.of("../s9"), files.read());
    }

    /**
     * Guards against a start that a damaged folder stops, and against bans lost with what is
     * damaged.
     */
    @Test
    void aDamagedFolderStopsNoStartAndTheBansThatCanBeReadHold(@TempDir Path folder)
            throws Exception {
        Files.createFile(folder.resolve("maintenance-%zz"));
        Files.createFile(folder.resolve("maintenance-s0"));
        rig = new Rig(good(), good());
        rig.folder = folder;
        rig.start();
        assertEquals(200, rig.ask("read", 8000).status());
        assertEquals(0, rig.endpoints.get(0).requests.size());
        assertEquals(
                1,
                rig.logged().lines().filter(line -> line.contains("names no nodo: %zz")).count());
    }

    @Test
    void aMissingFolderStopsNoStart(@TempDir Path folder) throws Exception {
        rig = new Rig(good());
        rig.folder = folder.resolve("gone");
        rig.listener = ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0));
        rig.start();
        awaitStatus("done");
        assertEquals("done\n", rig.call("maint-on s0\n"));
        assertEquals(503, rig.ask("read", 8000).status());
    }
}
