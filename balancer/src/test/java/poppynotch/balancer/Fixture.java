package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** A balancer with a recording host and a clock set by hand. */
final class Fixture {

    static final int REPEATABLE = 0;
    static final int ONCE = 1;
    static final int BY_CELL = 2;

    final RecordingHost host = new RecordingHost();
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
        balancer.onServerList(now, ServerListKind.FULL, servers);
        return this;
    }

    void change(Server... servers) {
        balancer.onServerList(now, ServerListKind.DELTA, List.of(servers));
    }

    String request(int kind) {
        return request(kind, 0);
    }

    String request(int kind, int tenant) {
        String id = "r" + requests++;
        balancer.onRequest(now, new Request(id, kind, tenant, now + 3000, false));
        return id;
    }

    void finish(RecordingHost.SentAttempt sent, AttemptOutcome outcome, double tookMs) {
        balancer.onAttemptFinished(
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

    void connectFails(RecordingHost.SentAttempt sent) {
        balancer.onAttemptFinished(
                now,
                new AttemptResult(
                        sent.request(),
                        sent.attempt(),
                        sent.server(),
                        AttemptOutcome.CONNECT_ERROR,
                        200,
                        true,
                        LoadReport.NONE));
    }

    /**
     * Sends so many calls to each of three servers; all are answered but the last on the
     * lowest-ranked one, which is returned.
     */
    RecordingHost.SentAttempt allAnsweredButOne(int callsPerServer) {
        list(servers(3));
        for (int i = 0; i < 3 * callsPerServer; i++) {
            request(REPEATABLE);
        }
        String lowest = host.sent.get(0).server();
        RecordingHost.SentAttempt left = host.sent.get(3 * callsPerServer - 3);
        assertEquals(lowest, left.server());
        for (RecordingHost.SentAttempt sent : List.copyOf(host.sent)) {
            if (sent != left) {
                finish(sent, AttemptOutcome.OK, 10);
            }
        }
        return left;
    }

    /**
     * Sends 60 calls at once in each round, and answers those that are admitted in the time given.
     * Returns how many were admitted in the last round.
     */
    int callsAtOnceAfter(double tookMs, int rounds) {
        int atOnce = 0;
        for (int round = 0; round < rounds; round++) {
            int before = host.sent.size();
            for (int i = 0; i < 60; i++) {
                request(REPEATABLE);
            }
            List<RecordingHost.SentAttempt> out =
                    List.copyOf(host.sent.subList(before, host.sent.size()));
            now += tookMs;
            out.forEach(sent -> finish(sent, AttemptOutcome.OK, tookMs));
            atOnce = out.size();
        }
        return atOnce;
    }

    /**
     * Sends ten calls one after another; each that is admitted is answered in the time given before
     * the next comes. Returns how many were admitted.
     */
    int callsAdmittedInASecond(double tookMs) {
        int before = host.sent.size();
        for (int i = 0; i < 10; i++) {
            int sent = host.sent.size();
            request(REPEATABLE);
            now += tookMs;
            if (host.sent.size() > sent) {
                finish(host.last(), AttemptOutcome.OK, tookMs);
            }
        }
        return host.sent.size() - before;
    }

    /** The first server of each of 200 balancers with this list, once those named are full. */
    static List<String> firstServersOfBalancers(List<Server> servers, Set<String> fullServers) {
        List<String> firsts = new ArrayList<>();
        for (int own = 0; own < 200; own++) {
            Fixture f = Fixture.of(200, own, 1).list(servers);
            for (String id : fullServers) {
                f.request(REPEATABLE);
                while (f.host.last().server().equals(id)) {
                    f.finish(f.host.last(), AttemptOutcome.QUEUE_FULL, 1);
                }
            }
            f.request(REPEATABLE);
            firsts.add(f.host.last().server());
        }
        return firsts;
    }

    /** The same settings with another number of tiers. */
    static BalancerSettings withTiers(BalancerSettings from, int tiers) {
        return new BalancerSettings(
                from.balancers(),
                from.ownIndex(),
                from.ownZone(),
                from.tier(),
                tiers,
                from.mustRequestList(),
                from.weighted(),
                from.overQuotaValue(),
                from.crossZoneCost(),
                from.classes(),
                from.tenants(),
                from.limits(),
                from.rules());
    }

    /** The hash of a server's name, computed without the code under test. */
    static long hash(String id) {
        int h = 0x811c9dc5;
        for (int i = 0; i < id.length(); i++) {
            h = (h ^ id.charAt(i)) * 0x01000193;
        }
        h ^= h >>> 16;
        h *= 0x7feb352d;
        h ^= h >>> 15;
        return h & 0xffffffffL;
    }
}
