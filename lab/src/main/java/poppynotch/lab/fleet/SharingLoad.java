package poppynotch.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import poppynotch.fleet.membership.PiggybackPayload;
import poppynotch.fleet.sharing.OutcomeRecorder;
import poppynotch.fleet.sharing.SharedState;
import poppynotch.fleet.wire.CompositePayload;
import poppynotch.fleet.wire.ObservationPayload;
import poppynotch.fleet.wire.QuotaLoanPayload;
import poppynotch.lab.virtual.VirtualClock;

/**
 * One process's shared state at the plan's load: 23,000 calls a second over 430 nodos, services of
 * ten servers. That each process calls three services, that one call in a hundred fails, and that
 * four tenants have allowances of nine tenths above what they ask for, is assumed.
 */
final class SharingLoad {

    private static final double CALLS_PER_SECOND = 23_000.0 / 430;
    private static final int SERVERS_PER_SERVICE = 10;
    private static final int CALLED_SERVICES = 3;
    private static final double FAILURE_RATE = 0.01;
    private static final int TENANTS = 4;
    private static final double QUOTA_HEADROOM = 1.9;

    private final VirtualFleet.Node node;
    private final VirtualClock time;
    private final SplittableRandom random;
    private final SharedState sharing;
    private final CompositePayload payloads;
    private final List<String> servers = new ArrayList<>();
    private boolean stopped;

    /** Begins with nothing seen; {@code size} is how many processes call. */
    SharingLoad(VirtualFleet.Node node, VirtualClock time, SplittableRandom random, int size) {
        this.node = node;
        this.time = time;
        this.random = random;
        sharing =
                new SharedState(
                        node.localTimeMs(), node.name, random.nextLong() >>> 1, random.split());
        payloads =
                new CompositePayload()
                        .with("l", new QuotaLoanPayload(sharing.shares()))
                        .with("s", new ObservationPayload(sharing.observations()));
        int services = Math.max(1, size / SERVERS_PER_SERVICE);
        Map<String, Boolean> ready = new HashMap<>();
        for (int i = 0; i < CALLED_SERVICES; i++) {
            // Each service calls the same others from all of its processes.
            int service =
                    (int)
                            Math.floorMod(
                                    node.number / SERVERS_PER_SERVICE + 1L + 7L * i,
                                    (long) services);
            for (int server = 0; server < SERVERS_PER_SERVICE; server++) {
                String id = "s" + service + "-" + server;
                if (ready.put(id, true) == null) {
                    servers.add(id);
                }
            }
        }
        sharing.onServerList(true, ready);
        Map<String, Double> allowances = new HashMap<>();
        for (int tenant = 0; tenant < TENANTS; tenant++) {
            allowances.put("t" + tenant, CALLS_PER_SECOND * size / TENANTS * QUOTA_HEADROOM);
        }
        sharing.setQuotas(allowances, size);
        time.schedule(random.nextDouble() * SharedState.ADVICE_INTERVAL_MS, this::advance);
    }

    PiggybackPayload payloads() {
        return payloads;
    }

    void stop() {
        stopped = true;
    }

    private void advance() {
        if (stopped || !node.isRunning()) {
            return;
        }
        double expected = CALLS_PER_SECOND * SharedState.ADVICE_INTERVAL_MS / 1000;
        int calls = (int) expected + (random.nextDouble() < expected - (int) expected ? 1 : 0);
        for (int i = 0; i < calls; i++) {
            sharing.onCall("t" + random.nextInt(TENANTS));
            sharing.onCallEnded(
                    servers.get(random.nextInt(servers.size())),
                    random.nextDouble() < FAILURE_RATE
                            ? OutcomeRecorder.CallOutcome.ERROR
                            : OutcomeRecorder.CallOutcome.ANSWERED);
        }
        double now = node.localTimeMs();
        sharing.advance(
                now,
                () -> node.membership.view(now),
                question ->
                        node.membership.sendQuestion(
                                now,
                                question.lender(),
                                CompositePayload.encodeSingle(
                                        "l", QuotaLoanPayload.encodeQuestion(question))));
        node.scheduleTimer();
        time.schedule(SharedState.ADVICE_INTERVAL_MS, this::advance);
    }
}
