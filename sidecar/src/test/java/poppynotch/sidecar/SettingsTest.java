package poppynotch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What clients see when the settings change under a running sidecar. */
@Timeout(60)
class SettingsTest {

    private Rig rig;

    @AfterEach
    void stop() throws IOException {
        rig.close();
    }

    /** Another class in the place of one, which may run once only. */
    private String changed() {
        return rig.config()
                .replace(
                        "\"name\":\"save\",\"effect\":\"by_key\"",
                        "\"name\":\"pay\",\"effect\":\"once\"");
    }

    @Test
    void newClassesAreServedByTheirRulesAndDroppedOnesForAWhile() throws Exception {
        rig = new Rig(Fake.answering(200, "", "served")).start();
        assertEquals(400, rig.ask("pay", 8000).status());
        rig.reload(changed());
        assertTrue(
                rig.logged().contains("taken up, with the classes order, pay, read"), rig.logged());
        assertEquals(200, rig.ask("pay", 8000).status());
        assertEquals(200, rig.ask("save", 8000).status(), "a call of a request in hand elsewhere");
        rig.endpoints.get(0).script = (wire, request) -> wire.reset();
        int before = rig.attempts();
        assertEquals(502, rig.ask("pay", 8000).status());
        assertEquals(before + 1, rig.attempts(), "it may run once only");
    }

    @Test
    void aDroppedClassIsNoMoreOnceItsLastRequestIsOver() throws Exception {
        rig = new Rig(Fake.answering(200, "", "served"));
        rig.deadlineMs = 50;
        rig.start();
        rig.reload(changed());
        Rig.await(
                "it is unknown",
                () -> {
                    try {
                        return rig.ask("save", 8000).status() == 400;
                    } catch (IOException e) {
                        throw new java.io.UncheckedIOException(e);
                    }
                });
    }

    @Test
    void requestsInHandKeepTheirAttempts() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        rig =
                new Rig(
                        new Fake(
                                (wire, request) -> {
                                    if (request.headers().get("x-request-id").equals("r0")
                                            && rig.attempts() == 1) {
                                        release.await();
                                    }
                                    if (rig.attempts() == 1
                                            || request.headers().get("x-request-id").equals("r1")) {
                                        wire.reset();
                                    } else {
                                        Fake.answer(wire, 200, "", "served");
                                    }
                                }),
                        Fake.answering(200, "", "served"));
        rig.start();
        try (Wire open = rig.client()) {
            open.send(rig.request("read", 8000));
            Rig.await("it is in hand", () -> rig.attempts() == 1);
            rig.reload(rig.config().replace("\"try-limit\":3", "\"try-limit\":1"));
            release.countDown();
            assertEquals(200, open.read().status());
            assertEquals(2, rig.attempts());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{", "[]", "null", "7"})
    void aBadFileChangesNothingAndIsOneLine(String bad) throws Exception {
        rig = new Rig(Fake.answering(200, "", "served")).start();
        rig.reload(bad);
        assertEquals(
                1, rig.logged().lines().filter(line -> line.contains("is not taken up")).count());
        assertEquals(200, rig.ask("save", 8000).status());
    }
}
