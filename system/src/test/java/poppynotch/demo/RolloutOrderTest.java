package poppynotch.demo;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import poppynotch.settings.HostPort;

/**
 * Guards against rollout requests that real replicas, with their disks and on loopback sockets, do
 * not accept or lose at a restart or at the loss of a replica.
 */
class RolloutOrderTest {

    private static final long START_TIMEOUT_MS = 60_000;

    /** How long an operator retries; the bound itself is tested in virtual time. */
    private static final long CALL_TIMEOUT_S = 20;

    private static final int REPLICAS = 4;
    private static final String ROLLOUTS = "/poppynotch/rollouts";
    private static final String REQUEST =
            "{\"Backend\":\"calls\",\"TargetVersion\":\"v2\",\"TermS\":600}";

    @TempDir private Path folder;

    @BeforeAll
    static void allowHostHeaderInRequests() {
        System.setProperty("sun.net.http.allowRestrictedHeaders", "true");
    }

    /** Calls one replica after the other, as operators do, until one gives a definite answer. */
    private static HttpCall.Response call(
            LoopbackFleet fleet, String method, String path, String body) throws Exception {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(CALL_TIMEOUT_S);
        HttpCall.Response last = new HttpCall.Response(0, "no replica answered");
        while (System.nanoTime() < deadlineNs) {
            for (HostPort replica : fleet.controlAddresses()) {
                try {
                    last = callOnce(replica, method, path, body);
                    if (last.status() < 500) {
                        return last;
                    }
                } catch (IOException e) {
                    last = new HttpCall.Response(0, String.valueOf(e.getMessage()));
                }
                Thread.onSpinWait();
            }
        }
        return last;
    }

    private static HttpCall.Response callOnce(
            HostPort replica, String method, String path, String body) throws IOException {
        HttpCall call = HttpCall.of(method, "http://" + replica + path);
        return (body == null ? call : call.body(body)).send();
    }

    private static void assertRunning(LoopbackFleet fleet, String when) throws Exception {
        HttpCall.Response state = call(fleet, "GET", ROLLOUTS + "/calls", null);
        assertWithMessage(when).that(state.status()).isEqualTo(200);
        assertWithMessage(when).that(state.body()).contains("\"State\":\"running\"");
        assertWithMessage(when).that(state.body()).contains("\"TargetVersion\":\"v2\"");
    }

    /** Guards against replicas that do not recognize rollout requests: they replied with 404. */
    @Test
    @Timeout(180)
    @Tag("known-red")
    void acknowledgedRolloutSurvivesRestartAndLossOfReplica() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(folder, REPLICAS, 1, 1)) {
            fleet.configure(START_TIMEOUT_MS);
            assertThat(call(fleet, "POST", ROLLOUTS, REQUEST).status()).isEqualTo(200);
            assertRunning(fleet, "after the request");
            assertThat(call(fleet, "POST", ROLLOUTS, REQUEST).status()).isAnyOf(200, 409);
            fleet.restartReplicas();
            assertRunning(fleet, "after a restart of all replicas");
            fleet.stopReplica(1);
            assertRunning(fleet, "without the first replica");
            assertThat(call(fleet, "POST", ROLLOUTS, REQUEST).status()).isAnyOf(200, 409);
        }
    }

    /** Guards against invalid requests that get no status which an operator can act on. */
    @Test
    @Timeout(180)
    void invalidRolloutRequestsAreRejected() throws Exception {
        try (LoopbackFleet fleet = new LoopbackFleet(folder, REPLICAS, 1, 1)) {
            fleet.configure(START_TIMEOUT_MS);
            for (String invalidRequest :
                    new String[] {
                        "{",
                        "{}",
                        "{\"Backend\":\"calls\",\"TargetVersion\":\"v2\"}",
                        "{\"Backend\":\"calls\",\"TargetVersion\":\"v2\",\"TermS\":0}",
                        "{\"Backend\":\"calls\",\"TargetVersion\":7,\"TermS\":12}",
                        "{\"Backend\":\"calls\",\"TargetVersion\":\"\",\"TermS\":12}",
                        REQUEST.replace("calls", "nobody"),
                    }) {
                assertWithMessage(invalidRequest)
                        .that(call(fleet, "POST", ROLLOUTS, invalidRequest).status())
                        .isAnyOf(400, 422);
            }
            assertThat(call(fleet, "GET", ROLLOUTS + "/calls", null).status()).isEqualTo(404);
        }
    }
}
