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

/** The effect of changed settings on the clients of a running sidecar. */
@Timeout(60)
class SidecarReloadTest {

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /**
     * A configuration with the class {@code pay}, which may run only once, in place of {@code
     * save}.
     */
    private String changedConfig() {
        return fixture.config()
                .replace(
                        "\"name\":\"save\",\"effect\":\"by_key\"",
                        "\"name\":\"pay\",\"effect\":\"once\"");
    }

    @Test
    void servesNewClassesAtOnceAndDroppedClassesForAWhile() throws Exception {
        fixture = new SidecarFixture(FakeEndpoint.answering(200, "", "served")).start();
        assertEquals(400, fixture.sendRequest("pay", 8000).status());
        fixture.reload(changedConfig());
        assertTrue(
                fixture.logText().contains("taken up, with the classes order, pay, read"),
                fixture.logText());
        assertEquals(200, fixture.sendRequest("pay", 8000).status());
        assertEquals(
                200,
                fixture.sendRequest("save", 8000).status(),
                "a call of a request in flight elsewhere");
        fixture.endpoints.get(0).script = (connection, request) -> connection.reset();
        int before = fixture.attemptCount();
        assertEquals(502, fixture.sendRequest("pay", 8000).status());
        assertEquals(before + 1, fixture.attemptCount(), "it may run only once");
    }

    @Test
    void rejectsDroppedClassAfterItsLongestDeadline() throws Exception {
        fixture = new SidecarFixture(FakeEndpoint.answering(200, "", "served"));
        fixture.deadlineMs = 50;
        fixture.start();
        fixture.reload(changedConfig());
        SidecarFixture.awaitUntil(
                "the class is unknown",
                () -> {
                    try {
                        return fixture.sendRequest("save", 8000).status() == 400;
                    } catch (IOException e) {
                        throw new java.io.UncheckedIOException(e);
                    }
                });
    }

    @Test
    void requestsInFlightKeepTheirAttemptLimit() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        fixture =
                new SidecarFixture(
                        new FakeEndpoint(
                                (connection, request) -> {
                                    if (request.headers().get("x-request-id").equals("r0")
                                            && fixture.attemptCount() == 1) {
                                        release.await();
                                    }
                                    if (fixture.attemptCount() == 1
                                            || request.headers().get("x-request-id").equals("r1")) {
                                        connection.reset();
                                    } else {
                                        FakeEndpoint.answer(connection, 200, "", "served");
                                    }
                                }),
                        FakeEndpoint.answering(200, "", "served"));
        fixture.start();
        try (RawHttpConnection open = fixture.connect()) {
            open.send(fixture.request("read", 8000));
            SidecarFixture.awaitUntil("it is in flight", () -> fixture.attemptCount() == 1);
            fixture.reload(fixture.config().replace("\"try-limit\":3", "\"try-limit\":1"));
            release.countDown();
            assertEquals(200, open.read().status());
            assertEquals(2, fixture.attemptCount());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{", "[]", "null", "7"})
    void ignoresInvalidFileAndLogsOneLine(String bad) throws Exception {
        fixture = new SidecarFixture(FakeEndpoint.answering(200, "", "served")).start();
        fixture.reload(bad);
        assertEquals(
                1,
                fixture.logText().lines().filter(line -> line.contains("is not taken up")).count());
        assertEquals(200, fixture.sendRequest("save", 8000).status());
    }
}
