package poppynotch.demo;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import poppynotch.settings.HostPort;

/** The whole path on real sockets: registrations, a configuration, requests and streams. */
class LoopbackFleetTest {

    private static final long START_MS = 60_000;

    @TempDir private Path folder;

    @BeforeAll
    static void letClientsNameAHost() {
        System.setProperty("sun.net.http.allowRestrictedHeaders", "true");
    }

    @Test
    void aFleetServesByItsConfiguration() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(folder, 4, 2, 2)) {
            fleet.configure(START_MS);
            for (HostPort front : fleet.fronts()) {
                assertThat(fleet.call(front, "/call/1")).isEqualTo(200);
                assertThat(fleet.call(front, "/chat/1")).isEqualTo(200);
                assertThat(fleet.call(front, "/none/1")).isEqualTo(404);
            }
            assertThat(fleet.served().stream().mapToInt(Integer::intValue).sum()).isAtLeast(4);
            assertThat(fleet.status()).contains("\"HasQuorum\":true");
        }
    }
}
