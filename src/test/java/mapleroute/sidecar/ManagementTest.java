package mapleroute.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
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
        Rig.await("the status is " + answer, () -> {
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
    @ValueSource(strings = {"", " ", "stat", "status now", "GET /status HTTP/1.1", "\0\1\2", "maint-on"})
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

    /** Guards against callers that hold all places: the oldest gives way, and silent ones are let go. */
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
}
