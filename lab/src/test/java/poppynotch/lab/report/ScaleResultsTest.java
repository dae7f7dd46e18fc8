package poppynotch.lab.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import org.junit.jupiter.api.io.TempDir;

/** What runs of lab scale leave is read as it was written, and nonsense is told in one line. */
class ScaleResultsTest {

    @TempDir Path folder;

    @Test
    void readsResultsAsWritten() throws Exception {
        ScaleResults results =
                new ScaleResults("scale fleet --size 430", "abc1234-dirty")
                        .add("idle.sidecar.bytes_out", "B/s", 430, 612, 590, 640, 430)
                        .add("calls.sidecar.added_p99", "ms", 0, 0.5)
                        .add(
                                new ScaleResults.Figure(
                                        "idle.sidecar.heap",
                                        "MB",
                                        ScaleResults.EXTRAPOLATED,
                                        4300,
                                        30,
                                        20.0,
                                        40.0,
                                        4,
                                        "of live members",
                                        new ScaleResults.Fit(
                                                "a + b*size",
                                                "rising",
                                                0.01,
                                                0.009,
                                                0.011,
                                                List.of(107, 215, 430),
                                                "scale fleet",
                                                "abc1234")));
        results.write(folder.resolve("new/one"));
        ScaleResults read = ScaleResults.read(folder.resolve("new/one"));
        assertEquals(results.figures(), read.figures());
        assertEquals("scale fleet --size 430", read.command());
        assertEquals("abc1234", read.commit());
        assertTrue(read.dirty());
        assertEquals(612, read.find("idle.sidecar.bytes_out", 430).orElseThrow().value());
        assertNull(read.find("calls.sidecar.added_p99", 0).orElseThrow().low());
        assertTrue(read.find("idle.sidecar.bytes_out", 860).isEmpty());
        assertEquals(
                read.figures(),
                ScaleResults.read(folder.resolve("new/one/results.json")).figures());
    }

    @Test
    void fileHasDocumentedShape() throws Exception {
        new ScaleResults("scale calls", "abc1234").add("a.b", "1/s", 10, 2.5).write(folder);
        String text = Files.readString(folder.resolve("results.json")).replaceAll("\\s+", "");
        assertTrue(
                text.matches(
                        "\\{\"command\":\"scalecalls\",\"commit\":\"abc1234\",\"dirty\":false,"
                                + "\"at\":\"[-0-9]+T[0-9:]+Z\","
                                + "\"figures\":\\[\\{\"key\":\"a.b\",\"unit\":\"1/s\","
                                + "\"kind\":\"measured\",\"size\":10,\"value\":2.5,\"n\":0}]}"),
                text);
    }

    @Test
    void ignoresUnknownKeys() throws Exception {
        Path file =
                Files.writeString(
                        folder.resolve("other.json"),
                        "{\"command\":\"x\","
                            + "\"commit\":\"y\",\"dirty\":false,\"extra\":[1],\"figures\":[{\"key\":\"a.b\","
                            + "\"unit\":\"B\",\"kind\":\"measured\",\"size\":1,\"value\":3,"
                            + "\"n\":1,\"colour\":\"red\"}]}");
        ScaleResults read = ScaleResults.read(file);
        assertEquals(3, read.find("a.b", 1).orElseThrow().value());
        assertEquals("y", read.commit());
        assertFalse(read.dirty());
    }

    @Test
    void commitIsThatOfRepositoryOrUnknown() {
        assertTrue(
                new ScaleResults("x").commit().matches("[0-9a-f]{4,40}|" + ScaleResults.UNKNOWN));
    }

    @Test
    void rejectsInvalidFiguresWithOneLineMessage() throws IOException {
        ScaleResults results = new ScaleResults("x", "y").add("a.b", "B", 1, 1);
        assertRejected("twice", () -> results.add("a.b", "B", 1, 2));
        assertRejected("lower-case", () -> results.add("A B", "B", 1, 2));
        assertRejected("unit", () -> results.add("a.c", "furlong", 1, 2));
        assertRejected("no number", () -> results.add("a.c", "B", 1, Double.NaN));
        assertRejected("interval", () -> results.add("a.c", "B", 1, 2, 3, 1, 1));
        assertRejected("below 0", () -> results.add("a.c", "B", -1, 2));
        assertRejected("is not there", () -> ScaleResults.read(folder));
        String head = "{\"command\":\"x\",\"commit\":\"y\",\"dirty\":false,\"figures\":";
        for (String text :
                List.of(
                        "",
                        "null",
                        "[]",
                        "{}",
                        "{",
                        head + "[null]}",
                        head + "3}",
                        "{\"dirty\":false,\"figures\":[]}",
                        head
                                + "[{\"key\":\"a.b\",\"unit\":\"B\","
                                + "\"kind\":\"guessed\",\"size\":1,\"value\":3,\"n\":0}]}",
                        head
                                + "[{\"key\":\"a.b\",\"unit\":\"B\","
                                + "\"kind\":\"measured\",\"size\":1,\"n\":0}]}")) {
            Path file = Files.writeString(folder.resolve("bad.json"), text);
            assertRejected("holds no results of lab scale", () -> ScaleResults.read(file));
        }
    }

    private static void assertRejected(String reason, Executable action) {
        String message = assertThrows(IllegalArgumentException.class, action).getMessage();
        assertTrue(message.contains(reason), message);
        assertEquals(1, message.lines().count(), message);
    }
}
