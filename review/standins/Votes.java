import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Two operators change the configuration again and again, in quick succession while a machine
 * starts. With TROUBLE one machine of three loses its disk; long after it has come back, and its
 * time to catch up is over, the next one does, and so on, LOSSES in all. At the end the operator
 * reads the configuration back. STORM=0 leaves out the changes.
 */
final class Votes {

    private static final int LOSSES = 9;

    /** A machine without power is back after this time. */
    private static final long DOWN_MS = 1000;

    /** A machine counts as lost for CatchUpS once it is back; the next loss comes 2 s later. */
    private static final long CATCH_UP_MS = 4000;

    private static final long MARGIN_MS = 2000;

    /** The quick storm around a start, and the slow ones between. */
    private static final long QUICK_GAP_MS = 80;

    private static final long QUICK_FOR_MS = 2000;
    private static final long SLOW_GAP_MS = 410;

    private static final long RECOVER_MS = 12_000;
    private static final long READ_MS = 6000;

    private static String config(long generation) {
        return "{\"Generation\":" + generation + ",\"Routes\":[{\"Name\":\"r-1\","
                + "\"Authority\":\"ficu95.example\",\"PathPrefix\":\"/puxa403/\","
                + "\"RouteType\":\"safe\",\"TimeoutMs\":" + (2000 + generation % 500)
                + ",\"TargetLatencyMs\":600,\"Priority\":0,\"Backend\":\"huvo11a\","
                + "\"MaxAttempts\":1,\"Anonymous\":true}],"
                + "\"Backends\":[{\"Name\":\"huvo11a\",\"HealthCheckPath\":\"/healthz\","
                + "\"MaxConnections\":360,\"Protocol\":\"h1\",\"Tls\":false}],"
                + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
                + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
    }

    private final Fleet fleet;
    private final AtomicLong acknowledged = new AtomicLong(7);

    /** When the last change was acknowledged. */
    private volatile long acknowledgedMs;

    /** The next version; both operators take theirs from it. */
    private final AtomicLong next = new AtomicLong(9);

    private volatile boolean changing = !"0".equals(System.getenv("STORM"));
    private volatile long quickUntilMs;

    private Votes(Fleet fleet) {
        this.fleet = fleet;
    }

    public static void main(String[] args) {
        Fleet.play(args, (fleet, trouble) -> new Votes(fleet).run(trouble));
    }

    private boolean run(boolean trouble) throws Exception {
        fleet.startCores(3);
        fleet.startEdges(1);
        fleet.configure(0, config(7), 20_000);
        Fleet.sleep(4000);
        Thread first = Fleet.thread(() -> change(2));
        Thread second = Fleet.thread(() -> change(3));
        Fleet.sleep(2000);
        for (int loss = 0; loss < LOSSES && !hasStopped(); loss++) {
            if (trouble) {
                fleet.loseDisk(loss % 3 + 1, DOWN_MS);
            } else {
                Fleet.sleep(DOWN_MS);
            }
            quickUntilMs = fleet.nowMs() + QUICK_FOR_MS;
            Fleet.sleep(CATCH_UP_MS + MARGIN_MS);
        }
        changing = false;
        first.join();
        second.join();
        fleet.log("operator: version %d was acknowledged last", acknowledged.get());
        Fleet.sleep(RECOVER_MS);
        long read = readBack();
        fleet.log(
                "operator: reads back version %d, %d was acknowledged last",
                read, acknowledged.get());
        return read >= acknowledged.get();
    }

    /** Whether control has taken no change for long, so that further losses would prove nothing. */
    private boolean hasStopped() {
        return changing && fleet.nowMs() - acknowledgedMs > CATCH_UP_MS;
    }

    /** One operator: sends a change on top of the newest version, and after it the next one. */
    private void change(int firstCore) {
        int core = firstCore;
        long pauseMs = 100;
        while (changing) {
            long sentMs = fleet.nowMs();
            long base = acknowledged.get();
            long version = next.addAndGet(2);
            try {
                Fleet.Message answer =
                        Fleet.call(
                                fleet.control(core),
                                "PUT",
                                "/poppynotch/config",
                                Map.of(
                                        "Host", "control",
                                        "If-Match", Long.toString(base),
                                        "Content-Type", "application/json"),
                                config(version).getBytes(StandardCharsets.UTF_8),
                                1000);
                if (answer.status == 200) {
                    fleet.log("operator: version %d on %d acknowledged by core %d", version, base, core);
                    acknowledged.accumulateAndGet(version, Math::max);
                    acknowledgedMs = fleet.nowMs();
                    pauseMs = 100;
                } else if (answer.status == 412) {
                    fleet.log("operator: version %d on %d refused with 412 by core %d", version, base, core);
                    refreshFrom(core);
                } else {
                    fleet.log("operator: version %d on %d answered %d by core %d", version, base, answer.status, core);
                    core = core % 3 + 1;
                    Fleet.sleep(pauseMs);
                    pauseMs = Math.min(2000, 2 * pauseMs);
                }
            } catch (IOException e) {
                fleet.log("operator: no answer to version %d of core %d: %s", version, core, e);
                core = core % 3 + 1;
                Fleet.sleep(pauseMs);
                pauseMs = Math.min(2000, 2 * pauseMs);
            }
            long gapMs = fleet.nowMs() < quickUntilMs ? QUICK_GAP_MS : SLOW_GAP_MS;
            Fleet.sleep(Math.max(0, sentMs + gapMs - fleet.nowMs()));
        }
    }

    /** After a refusal, an operator reads which version is current. */
    private void refreshFrom(int core) throws IOException {
        Fleet.Message answer =
                Fleet.call(
                        fleet.control(core), "GET", "/poppynotch/config", Map.of("Host", "control"),
                        new byte[0], 1000);
        if (answer.status == 200) {
            acknowledged.accumulateAndGet(generation(answer), Math::max);
        }
    }

    private static long generation(Fleet.Message answer) {
        String body = new String(answer.body, StandardCharsets.UTF_8);
        return Long.parseLong(body.replaceFirst("(?s).*\"Generation\":(\\d+).*", "$1"));
    }

    /** The newest version that any replica answers, asked again and again; 0 if none does. */
    private long readBack() {
        long newest = 0;
        long endMs = fleet.nowMs() + READ_MS;
        for (int i = 0; fleet.nowMs() < endMs; i++) {
            int core = i % 3 + 1;
            try {
                Fleet.Message answer =
                        Fleet.call(
                                fleet.control(core),
                                "GET",
                                "/poppynotch/config",
                                Map.of("Host", "control"),
                                new byte[0],
                                3000);
                fleet.log("operator: core %d answers %d to the read", core, answer.status);
                if (answer.status == 200) {
                    newest = Math.max(newest, generation(answer));
                }
            } catch (IOException e) {
                fleet.log("operator: no answer of core %d to the read: %s", core, e);
            }
            Fleet.sleep(300);
        }
        return newest;
    }
}
