package poppynotch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** A balancer with a recording host and a manual clock. */
final class Fixture {

    static final int REPEATABLE = 0;
    static final int ONCE = 1;
    static final int BY_CELL = 2;

    final RecordingHost host = new RecordingHost();
    final LoadBalancer balancer;
    double nowMs = 1_000_000;
    private int requests;

    Fixture(BalancerSettings settings) {
        balancer = new LoadBalancer(settings, 7, host);
    }

    static BalancerSettings settings(
            int balancers, int ownIndex, int tier, boolean parallel, Tenant... tenants) {
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
                ownIndex,
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

    static Fixture of(int balancers, int ownIndex, int tier) {
        return new Fixture(settings(balancers, ownIndex, tier, true));
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
        balancer.onServerList(nowMs, ServerListKind.FULL, servers);
        return this;
    }

    void change(Server... servers) {
        balancer.onServerList(nowMs, ServerListKind.DELTA, List.of(servers));
    }

    String request(int requestClass) {
        return request(requestClass, 0);
    }

    String request(int requestClass, int tenant) {
        String id = "r" + requests++;
        balancer.onRequest(nowMs, new Request(id, requestClass, tenant, nowMs + 3000, false));
        return id;
    }

    void finish(RecordingHost.SentAttempt sent, AttemptOutcome outcome, double tookMs) {
        balancer.onAttemptFinished(
                nowMs,
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
                nowMs,
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
     * Sends {@code callsPerServer} calls to each of three servers and completes all but the last
     * one at the lowest-ranked server. Returns the attempt that is left.
     */
    RecordingHost.SentAttempt completeAllButOne(int callsPerServer) {
        list(servers(3));
        for (int i = 0; i < 3 * callsPerServer; i++) {
            request(REPEATABLE);
        }
        String lowest = host.sent.get(0).server();
        RecordingHost.SentAttempt pending = host.sent.get(3 * callsPerServer - 3);
        assertEquals(lowest, pending.server());
        for (RecordingHost.SentAttempt sent : List.copyOf(host.sent)) {
            if (sent != pending) {
                finish(sent, AttemptOutcome.OK, 10);
            }
        }
        return pending;
    }

    /**
     * Sends 60 calls at once in each round, and completes those that are admitted after {@code
     * tookMs}. Returns how many were admitted in the last round.
     */
    int callsAdmittedAfterRounds(double tookMs, int rounds) {
        int admittedInRound = 0;
        for (int round = 0; round < rounds; round++) {
            int before = host.sent.size();
            for (int i = 0; i < 60; i++) {
                request(REPEATABLE);
            }
            List<RecordingHost.SentAttempt> admitted =
                    List.copyOf(host.sent.subList(before, host.sent.size()));
            nowMs += tookMs;
            admitted.forEach(sent -> finish(sent, AttemptOutcome.OK, tookMs));
            admittedInRound = admitted.size();
        }
        return admittedInRound;
    }

    /**
     * Sends ten calls one after another; each that is admitted is completed after {@code tookMs},
     * before the next is sent. Returns how many were admitted.
     */
    int callsAdmittedOfTen(double tookMs) {
        int before = host.sent.size();
        for (int i = 0; i < 10; i++) {
            int sent = host.sent.size();
            request(REPEATABLE);
            nowMs += tookMs;
            if (host.sent.size() > sent) {
                finish(host.last(), AttemptOutcome.OK, tookMs);
            }
        }
        return host.sent.size() - before;
    }

    /**
     * The first server of each of 200 balancers with this list, once {@code fullServers} are full.
     */
    static List<String> firstServersOfBalancers(List<Server> servers, Set<String> fullServers) {
        List<String> firsts = new ArrayList<>();
        for (int index = 0; index < 200; index++) {
            Fixture f = Fixture.of(200, index, 1).list(servers);
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
