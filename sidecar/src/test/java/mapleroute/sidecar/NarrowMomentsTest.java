package mapleroute.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What comes between two steps of the sidecar's: each test forces the bad order with real connections. */
@Timeout(60)
class NarrowMomentsTest {

    private static final int DEADLINE_MS = 8000;

    private static final String STRAY = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";

    private Rig rig;

    private Rig start(Fake... endpoints) throws IOException {
        rig = new Rig(endpoints);
        return rig.start();
    }

    @AfterEach
    void stop() throws IOException {
        rig.close();
    }

    private static String whole(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    // ---- discovery ----

    /** A discovery that answers calls with what the test puts in, one after another; nothing is a 503. */
    private LinkedBlockingQueue<String> discovering() {
        LinkedBlockingQueue<String> answers = new LinkedBlockingQueue<>();
        rig.discovery.script = (wire, request) -> {
            String answer = answers.take();
            Fake.answer(wire, answer.isEmpty() ? 503 : 200, "", answer);
        };
        return answers;
    }

    /** Guards against pauses that grow with a setting, past the time when news counts as told. */
    @Test
    void refusedCallsAreMadeAgainSoonWhateverTheSettingsSay() throws Exception {
        try (Fake endpoint = Fake.answering(200, "", "served")) {
            rig = new Rig();
            rig.askWithinMs = 3_600_000;
            LinkedBlockingQueue<String> answers = discovering();
            rig.start();
            answers.addAll(List.of("", "", "", "", "",
                Rig.list(9, true, Rig.line(0, endpoint.address(), "in_service", 0))));
            Rig.await("it asks until it is told", () -> rig.logged().contains("told version 9"));
            assertEquals(200, rig.ask("order", DEADLINE_MS).status());
        }
    }

    /** Guards against an older list, from whoever still has it, that takes the place of a newer one. */
    @Test
    void anOlderListChangesNothing() throws Exception {
        Fake now = Fake.answering(200, "", "now");
        Fake before = Fake.answering(200, "", "before");
        rig = new Rig(now, before);
        rig.askWithinMs = 20;
        LinkedBlockingQueue<String> answers = discovering();
        rig.start();
        answers.add(Rig.list(7, true, Rig.line(0, now.address(), "in_service", 0)));
        answers.add(Rig.list(5, true, Rig.line(1, before.address(), "in_service", 0)));
        Rig.await("a third call is made", () -> rig.discovery.requests.size() >= 3);
        assertTrue(rig.discovery.requests.get(2).line().contains("index=7&"));
        assertEquals("now", rig.ask("order", DEADLINE_MS).body());
        assertTrue(rig.logged().contains("version 5 is older than 7"), rig.logged());
    }
}
