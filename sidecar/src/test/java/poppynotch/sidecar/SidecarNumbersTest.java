package poppynotch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a number of the configuration file that wraps around: each is refused with its
 * name, or requests are served with it. Uses real sockets.
 */
class SidecarNumbersTest {

    private static final List<String> VALUES =
            List.of(
                    "-1",
                    "0",
                    "1",
                    "0.5",
                    "2147483647",
                    "2147483648",
                    "4294967296",
                    "4294967346",
                    "9007199254740993",
                    "9223372036854775807",
                    "9223372036854775808",
                    "1e30");

    /** Members as the file has them; a message may have the last part of the name only. */
    private static final List<String> MEMBERS =
            List.of(
                    "\"memory_mb\":192",
                    "\"sockets\":1024",
                    "\"idle-close-ms\":15000",
                    "\"dial-timeout-ms\":2000",
                    "\"max-retry-after-ms\":2000",
                    "\"try-limit\":3",
                    "\"worth\":1",
                    "\"memory-span-ms\":9000",
                    "\"cold-ms\":1000",
                    "\"tip-multiple\":3",
                    "\"fall-ms\":1000",
                    "\"drain-grace-ms\":500",
                    "\"ask-within-ms\":600000");

    private static Stream<Arguments> membersAndValues() {
        List<Arguments> cases = new ArrayList<>();
        for (String member : MEMBERS) {
            VALUES.forEach(value -> cases.add(Arguments.of(member, value)));
        }
        return cases.stream();
    }

    private static final class ChangedFixture extends SidecarFixture {
        private final String member;
        private final String changed;

        ChangedFixture(FakeEndpoint endpoint, String member, String value) throws IOException {
            super(endpoint);
            this.member = member;
            changed = member.substring(0, member.indexOf(':') + 1) + value;
        }

        @Override
        String config() {
            String config = super.config();
            assertTrue(config.contains(member), member);
            return config.replace(member, changed);
        }
    }

    @ParameterizedTest
    @MethodSource("membersAndValues")
    void numberIsRefusedByNameOrRequestsAreServed(String member, String value) throws IOException {
        try (FakeEndpoint endpoint = FakeEndpoint.answering(200, "", "served");
                SidecarFixture fixture = new ChangedFixture(endpoint, member, value)) {
            try {
                fixture.start();
            } catch (IllegalArgumentException e) {
                assertTrue(value.equals("-1") || value.startsWith("0"), e.getMessage());
                assertTrue(e.getMessage().lines().count() == 1, e.getMessage());
                return;
            }
            assertEquals(200, sendBodyInChunks(fixture).status());
        }
    }

    /** A body that is not complete with its first bytes counts as pending. */
    private static RawHttpConnection.Message sendBodyInChunks(SidecarFixture fixture)
            throws IOException {
        String request =
                fixture.request("order", 5000)
                        .replace("Content-Length: 5", "Transfer-Encoding: chunked")
                        .replace("hello", "5\r\nhello\r\n0\r\n\r\n");
        try (RawHttpConnection connection = fixture.connect()) {
            return connection.send(request).read();
        }
    }
}
