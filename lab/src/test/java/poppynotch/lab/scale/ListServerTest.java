package poppynotch.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Discovery's stand-in: what it tells, to whom, and what it counts. */
@Timeout(60)
class ListServerTest {

    /** Longer than the test may take: what comes came by news. */
    private static final long LONG_MS = 59_000;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private ListServer discovery;

    @BeforeEach
    void begin() throws IOException {
        discovery =
                new ListServer(
                        "127.0.0.1",
                        List.of("r1", "r2"),
                        List.of(
                                List.of(
                                        new ListServer.Server("a", "127.11.1.1:9000", "z1"),
                                        new ListServer.Server("b", "127.12.1.1:9000", "z2")),
                                List.of(new ListServer.Server("c", "127.13.1.1:9000", "z3"))));
    }

    @AfterEach
    void end() {
        discovery.close();
    }

    private CompletableFuture<HttpResponse<String>> call(int service, String region, String what) {
        return client.sendAsync(
                HttpRequest.newBuilder(
                                URI.create("http://" + discovery.address(service, region) + what))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private CompletableFuture<JsonNode> ask(int service, String region, long index, long waitMs) {
        return call(service, region, "/registry/instances?index=" + index + "&wait=" + waitMs)
                .thenApply(
                        answer -> {
                            try {
                                assertEquals(200, answer.statusCode());
                                return JSON.readTree(answer.body());
                            } catch (IOException e) {
                                throw new IllegalStateException(e);
                            }
                        });
    }

    private void awaitWatches(int count) throws Exception {
        while (discovery.counts().watches() != count) {
            Thread.onSpinWait();
        }
    }

    @Test
    void whoKnowsNothingGetsTheWholeListOfTheServiceAtOnce() {
        JsonNode list = ask(0, "r1", 0, LONG_MS).join();
        assertTrue(list.path("full").asBoolean());
        assertEquals(2, list.path("servers").size());
        assertEquals(
                "{\"id\":\"b\",\"addr\":\"127.12.1.1:9000\",\"zone\":\"z2\",\"kind\":\"m1\",\"cell\":0,"
                    + "\"state\":\"in_service\",\"weight\":1.0,\"started_ms\":0}",
                list.path("servers").get(1).toString());
        assertEquals(
                "c", ask(1, "r2", 0, LONG_MS).join().path("servers").get(0).path("id").asText());
    }

    @Test
    void aWatchHearsOfAChangeOfItsOwnListAlone() throws Exception {
        long version = ask(0, "r1", 0, 0).join().path("version").asLong();
        CompletableFuture<JsonNode> own = ask(0, "r1", version, LONG_MS);
        CompletableFuture<JsonNode> other = ask(1, "r2", version, LONG_MS);
        awaitWatches(2);
        long next = discovery.change(Map.of(0, List.of("b")), ListServer.Phase.TERMINATING);
        assertTrue(next > version);
        JsonNode news = own.join();
        assertEquals(next, news.path("version").asLong());
        assertFalse(news.path("full").asBoolean());
        assertEquals(1, news.path("servers").size());
        assertEquals("terminating", news.path("servers").get(0).path("state").asText());
        assertEquals(1, discovery.counts().watches());
        assertFalse(other.isDone());
        long both =
                discovery.change(
                        Map.of(0, List.of("b"), 1, List.of("c")), ListServer.Phase.IN_SERVICE);
        assertEquals(both, other.join().path("version").asLong());
        // Whoever missed some of it gets all of it in one.
        assertEquals(both, ask(0, "r1", version, LONG_MS).join().path("version").asLong());
    }

    @Test
    void aWatchWithoutNewsEndsByItsTimeWithAnEmptyAnswer() {
        long version = ask(0, "r1", 0, 0).join().path("version").asLong();
        JsonNode none = ask(0, "r1", version, 1).join();
        assertEquals(version, none.path("version").asLong());
        assertFalse(none.path("full").asBoolean());
        assertEquals(0, none.path("servers").size());
    }

    @Test
    void callsBytesConnectionsAndTheWorstSecondAreCounted() throws Exception {
        assertEquals(new ListServer.Counts(0, 0, 0, 0, 0, 0, 0), discovery.counts());
        String body = ask(0, "r1", 0, 0).join().toString();
        for (int i = 0; i < 4; i++) {
            ask(0, "r1", 0, 0).join();
        }
        ListServer.Counts counts = discovery.counts();
        assertEquals(5, counts.requests());
        assertEquals(1, counts.connections());
        assertEquals(1, counts.open());
        assertTrue(
                counts.bytesOut() > 5L * body.length() && counts.bytesIn() > 5 * 40,
                counts::toString);
        // Five calls stand in one second or in two that follow each other, on however slow a
        // machine in five.
        assertTrue(counts.peak() >= 1 && counts.peak() <= 5, counts::toString);
        discovery.forgetPeak();
        assertEquals(0, discovery.counts().peak());
        assertEquals(404, call(0, "r1", "/else").join().statusCode());
        assertEquals(5, discovery.counts().requests());
    }

    @Test
    void aRegionThatIsCutOffHearsNothingUntilItEnds() throws Exception {
        long version = ask(0, "r1", 0, 0).join().path("version").asLong();
        CompletableFuture<JsonNode> near = ask(0, "r1", version, LONG_MS);
        CompletableFuture<JsonNode> far = ask(0, "r2", version, LONG_MS);
        awaitWatches(2);
        discovery.cut("r2", true);
        long next = discovery.change(Map.of(0, List.of("a")), ListServer.Phase.TERMINATING);
        assertEquals(next, near.join().path("version").asLong());
        assertEquals(0, discovery.counts().watches());
        assertFalse(far.isDone());
        long before = discovery.counts().requests();
        CompletableFuture<JsonNode> asked = ask(0, "r2", version, 0);
        // What is asked while a call of the near side goes there and back is not heard.
        ask(0, "r1", 0, 0).join();
        assertEquals(before + 1, discovery.counts().requests());
        discovery.cut("r2", false);
        assertEquals(next, ask(0, "r2", version, 0).join().path("version").asLong());
        assertFalse(asked.isDone());
    }

    @Test
    void whatNoListHasIsRefused() {
        assertThrows(
                IOException.class,
                () -> discovery.change(Map.of(1, List.of("a")), ListServer.Phase.TERMINATING));
    }
}
