package poppynotch.demo;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import poppynotch.settings.HostPort;

/** Guards against a fleet that does not serve requests and streams end to end on real sockets. */
class LoopbackFleetTest {

    private static final long START_TIMEOUT_MS = 60_000;

    @TempDir private Path folder;

    @BeforeAll
    static void allowHostHeaderInRequests() {
        System.setProperty("sun.net.http.allowRestrictedHeaders", "true");
    }

    @Test
    void servesRequestsAndStreamsByConfiguration() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(folder, 4, 2, 2)) {
            fleet.configure(START_TIMEOUT_MS);
            for (HostPort front : fleet.fronts()) {
                assertThat(fleet.call(front, "/call/1")).isEqualTo(200);
                assertThat(fleet.call(front, "/chat/1")).isEqualTo(200);
                assertThat(fleet.call(front, "/none/1")).isEqualTo(404);
            }
            assertThat(fleet.servedCounts().stream().mapToInt(Integer::intValue).sum())
                    .isAtLeast(4);
            assertThat(fleet.status()).contains("\"HasQuorum\":true");
        }
    }
}
