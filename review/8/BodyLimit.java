package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A valid change of the configuration raises the limit of request bodies to 2 GiB. Proper requests
 * must be served as before. Without trouble it raises the limit to 8 MiB.
 */
final class BodyLimit {

    private static final int CORES = 3;
    private static final int EDGES = 2;
    private static final int HEARTBEAT_MS = 1200;
    private static final int REQUESTS = 100;
    private static final long FIRST_LIMIT = 4L << 20;

    private BodyLimit() {}

    public static void main(String[] args) {
        Stage.exitWith(() -> run(Path.of(args[0])));
    }

    private static int run(Path folder) throws Exception {
        try (Stage stage = new Stage(folder, CORES, EDGES, HEARTBEAT_MS)) {
            stage.startAll();
            for (int i = 0; i < 2; i++) {
                stage.own(
                        new Server(stage, "i-" + i, "api", stage.serverIp(i), 6, HEARTBEAT_MS, Server.answerAfter(20))
                                .beat());
            }
            Stage.sleep(2000);
            if (stage.change("PUT", 0, config(3, FIRST_LIMIT), 10_000) != 200 || !stage.awaitReady(10_000)) {
                return 2;
            }
            Stage.sleep(3000);
            if (denied(stage, "before") > 0) {
                return 2;
            }
            long limit = stage.trouble ? 2L << 30 : 8L << 20;
            int status = stage.change("PUT", 3, config(5, limit), 10_000);
            stage.note("the operator sets MaxBodyBytes to " + limit + " -> " + status);
            if (status != 200) {
                // The configuration isn't in force: it changes nothing for the clients.
                return denied(stage, "after") > allowed() ? 1 : 0;
            }
            Stage.sleep(3000);
            int denied = denied(stage, "after");
            boolean broken = denied > allowed();
            stage.note(
                    (broken ? "BROKEN: " : "the rule held: ") + denied + " of " + 2 * REQUESTS
                            + " proper requests ended with a 4xx of the edge's own, " + allowed() + " are allowed");
            return broken ? 1 : 0;
        }
    }

    /** 5 + one in 500 of all requests. */
    private static double allowed() {
        return 5 + 2 * REQUESTS / 500.0;
    }

    /** Sends proper requests of 100 bytes to all edges; how many end with a 3xx or 4xx without a seal. */
    private static int denied(Stage stage, String name) throws IOException {
        int denied = 0;
        for (int n = 0; n < REQUESTS; n++) {
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Host", "studio.example");
            headers.put("X-Poppynotch-Attempt-Id", name + "-" + n);
            headers.put("X-Poppynotch-Deadline-Ms", "1500");
            Http.Message answer =
                    Http.call(stage.front(n % EDGES), "POST", "/status/1", headers, new byte[100], 3000);
            stage.note("client " + name + "-" + n + " -> " + answer.status());
            boolean sealed = answer.headers().containsKey("x-poppynotch-response-seal");
            denied += !sealed && answer.status() / 100 != 2 && answer.status() < 500 && answer.status() != 429 ? 1 : 0;
        }
        return denied;
    }

    private static String config(long generation, long maxBodyBytes) {
        return "{\"Generation\":" + generation + ",\"Routes\":[{\"Name\":\"r-status\",\"Authority\":\"studio.example\","
                + "\"PathPrefix\":\"/status/\",\"RouteType\":\"unsafe\",\"TimeoutMs\":1500,\"TargetLatencyMs\":300,"
                + "\"Priority\":2,\"Backend\":\"api\",\"MaxAttempts\":2,\"Anonymous\":true}],"
                + "\"Backends\":[{\"Name\":\"api\",\"HealthCheckPath\":\"/healthz\",\"MaxConnections\":96,"
                + "\"Protocol\":\"h1\",\"Tls\":false}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":" + maxBodyBytes
                + ",\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
    }
}
