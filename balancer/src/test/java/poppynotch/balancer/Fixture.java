package poppynotch.balancer;

import java.util.ArrayList;
import java.util.List;

/** A balancer with a recording host and a clock set by hand. */
final class Fixture {

    static final int REPEATABLE = 0;
    static final int ONCE = 1;
    static final int BY_CELL = 2;

    final Recorder host = new Recorder();
    final LoadBalancer balancer;
    double now = 1_000_000;
    private int requests;

    Fixture(BalancerSettings settings) {
        balancer = new LoadBalancer(settings, 7, host);
    }

    static BalancerSettings settings(
            int balancers, int own, int tier, boolean parallel, Tenant... tenants) {
        List<RequestClass> classes =
                List.of(
                        new RequestClass(
                                "read",
                                1000,
                                3000,
                                1,
                                0,
                                Idempotency.REPEATABLE,
                                DeduplicationScope.ALL,
                                0,
                                false),
                        new RequestClass(
                                "order",
                                1000,
                                3000,
                                1,
                                0.5,
                                Idempotency.ONCE,
                                DeduplicationScope.ALL,
                                0,
                                false),
                        new RequestClass(
                                "save",
                                1000,
                                3000,
                                1,
                                0.5,
                                Idempotency.BY_KEY,
                                DeduplicationScope.CELL,
                                800,
                                false));
        return new BalancerSettings(
                balancers,
                own,
                0,
                tier,
                1,
                false,
                true,
                0.1,
                0,
                classes,
                List.of(tenants),
                new AttemptLimits(3, parallel, true, 2000, 200),
                new ServerRules(0.3, 8000, 3, 1000, 1000, 10_000));
    }

    static Fixture of(int balancers, int own, int tier) {
        return new Fixture(settings(balancers, own, tier, true));
    }

    static Server server(String id) {
        return new Server(id, 0, 0, 0, 0, ServerState.READY, 1);
    }

    static Server server(String id, int cell, double startedMs, ServerState state) {
        return new Server(id, 0, 0, cell, startedMs, state, 1);
    }

    static List<Server> servers(int count) {
        List<Server> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(server("s" + i));
        }
        return list;
    }

    Fixture list(List<Server> servers) {
        balancer.onServers(now, ServerListKind.FULL, servers);
        return this;
    }

    void change(Server... servers) {
        balancer.onServers(now, ServerListKind.DELTA, List.of(servers));
    }

    String request(int kind) {
        return request(kind, 0);
    }

    String request(int kind, int tenant) {
        String id = "r" + requests++;
        balancer.onRequest(now, new Request(id, kind, tenant, now + 3000, false));
        return id;
    }

    void finish(Recorder.Sent sent, AttemptOutcome outcome, double tookMs) {
        balancer.onFinished(
                now,
                new AttemptResult(
                        sent.request(),
                        sent.attempt(),
                        sent.server(),
                        outcome,
                        tookMs,
                        outcome == AttemptOutcome.OK,
                        LoadReport.NONE));
    }

    /**
     * The ranks that the design gives to a server's first slot, worked out apart from the module.
     */
    static long hash(String id) {
        int h = 0x811c9dc5;
        for (char c : id.toCharArray()) {
            h = (h ^ c) * 0x01000193;
        }
        h ^= h >>> 16;
        h *= 0x7feb352d;
        h ^= h >>> 15;
        return h & 0xffffffffL;
    }
}
