package poppynotch.fleet.sharing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;
import poppynotch.fleet.membership.MemberState;
import poppynotch.fleet.membership.MemberUpdate;
import poppynotch.fleet.membership.MembershipView;

/**
 * The state that one process shares with the others of the fleet: observations of servers, by which
 * it detects unhealthy servers, and the tenants' quotas. From these it derives advice for the load
 * balancer of its process. Advice that is past its validity is not used; the process then relies on
 * its own observations and its even shares of the quotas.
 *
 * <p>A state machine without I/O and without a clock: it is passed the time, in milliseconds. Not
 * thread-safe: all calls must come from one thread.
 */
public final class SharedState {

    /** An observation that is older than this is not used. */
    public static final double MAX_OBSERVATION_AGE_MS = 15_000;

    /**
     * For how long advice is valid: 15 times {@link #ADVICE_INTERVAL_MS}, so that some late or
     * failed calls of {@link #advance} do not end its validity.
     */
    public static final double ADVICE_VALIDITY_MS = 1500;

    /** Interval at which advice is made. */
    public static final double ADVICE_INTERVAL_MS = 100;

    /** Interval between reads of the membership, each of which visits all members. */
    private static final double MEMBERSHIP_INTERVAL_MS = 1000;

    /** Interval at which the unhealthy servers are determined. */
    private static final double CONSENSUS_INTERVAL_MS = OutcomeRecorder.WINDOW_MS / 2;

    /**
     * Maximum number of stored observations, some 1.5 MB: of 300 servers by 16 observers each, of
     * which the consensus needs a few. Evicted observations are counted.
     */
    private static final int MAX_OBSERVATIONS = 5000;

    /**
     * The quota shares of a process that is gone pass to the others after this time, so that a
     * restart does not move all shares twice.
     */
    private static final double INHERIT_DELAY_MS = 5000;

    /**
     * Advice for the load balancer of this process.
     *
     * @param validUntilMs end of its validity, on the clock that the caller passes
     * @param unhealthy unhealthy servers to be ejected, without those that this process must go on
     *     calling to detect when they are healthy again
     * @param rates by tenant, the rate in calls a second that this process may admit
     */
    public record Advice(double validUntilMs, Set<String> unhealthy, Map<String, Double> rates) {}

    private final String name;
    private final ObservationStore store;
    private final OutcomeRecorder outcomeRecorder;
    private final QuotaShares shares;

    /** Each tenant's quota, in calls a second of all sharing processes together. */
    private Map<String, Double> quotas = Map.of();

    private int sharingProcesses = 1;

    /** Servers that accept new calls, according to this process's own discovery. */
    private final Set<String> servers = new HashSet<>();

    private Set<String> unhealthyServers = Set.of();

    /** Other processes that share quotas with this one, and may lend to it. */
    private List<String> lenders = List.of();

    /** Processes in the same zone. */
    private Set<String> sameZoneProcesses = Set.of();

    /** Factor by which even shares are larger because processes are gone; 1 if none are. */
    private double inheritanceFactor = 1;

    private double nextMembershipMs;
    private double nextConsensusMs;
    private double lastAdviceMs = Double.NEGATIVE_INFINITY;
    private long missedAdvices;

    /**
     * Creates a state without servers, observations and quotas.
     *
     * @param name name of this process in the fleet
     * @param run random id of this process, drawn at its start; distinguishes processes of one name
     */
    public SharedState(double now, String name, long run, RandomGenerator random) {
        this.name = name;
        store = new ObservationStore(name, run, MAX_OBSERVATION_AGE_MS, MAX_OBSERVATIONS);
        outcomeRecorder = new OutcomeRecorder(now, store);
        shares = new QuotaShares(random);
        nextMembershipMs = now;
        nextConsensusMs = now;
    }

    /**
     * Handles servers that this process's own discovery reported; advice is limited to these.
     *
     * @param isComplete whether these are all servers, or only the changed ones
     * @param ready whether a server accepts new calls, by its id
     */
    public void onServerList(boolean isComplete, Map<String, Boolean> ready) {
        if (isComplete) {
            servers.clear();
        }
        ready.forEach(
                (server, acceptsCalls) -> {
                    if (acceptsCalls) {
                        servers.add(server);
                    } else {
                        servers.remove(server);
                    }
                });
    }

    /** Number of servers that accept new calls, according to this process's own discovery. */
    public int servers() {
        return servers.size();
    }

    /**
     * Sets the tenants' quotas.
     *
     * @param newQuotas by tenant, in calls a second of all processes together; empty if quotas do
     *     not apply
     * @param processes number of processes that share the quotas
     */
    public void setQuotas(Map<String, Double> newQuotas, int processes) {
        quotas = Map.copyOf(newQuotas);
        sharingProcesses = processes;
        shares.retainTenants(List.copyOf(quotas.keySet()));
    }

    /** Records the outcome of a call by this process. */
    public void onCallEnded(String server, OutcomeRecorder.CallOutcome outcome) {
        outcomeRecorder.onCallEnded(server, outcome);
    }

    /** Records that a call of a tenant arrived at this process. */
    public void onCall(String tenant) {
        shares.onCall(tenant);
    }

    /** The store of observations, which are sent to other processes and received from them. */
    public ObservationStore observations() {
        return store;
    }

    /** The quota shares, from which other processes' requests for loans are answered. */
    public QuotaShares shares() {
        return shares;
    }

    /**
     * Makes the current advice; to be called every {@link #ADVICE_INTERVAL_MS}.
     *
     * @param view supplies the membership
     * @param sender sends a request for a loan; returns its sequence number, or a negative number
     *     if it was not sent
     */
    public Advice advance(
            double now,
            Supplier<MembershipView> view,
            ToLongFunction<QuotaShares.LoanRequest> sender) {
        boolean isFirst = lastAdviceMs <= 0;
        missedAdvices += now - lastAdviceMs > ADVICE_VALIDITY_MS && !isFirst ? 1 : 0;
        lastAdviceMs = now;
        outcomeRecorder.advance(now);
        if (now >= nextMembershipMs) {
            nextMembershipMs = now + MEMBERSHIP_INTERVAL_MS;
            readMembership(view.get());
        }
        if (now >= nextConsensusMs) {
            nextConsensusMs = now + CONSENSUS_INTERVAL_MS;
            updateUnhealthyServers(now);
        }
        quotas.forEach(
                (tenant, quota) ->
                        shares.setEvenShare(
                                now, tenant, quota / sharingProcesses * inheritanceFactor));
        shares.advance(now, lenders, sender);
        double untilMs = now + ADVICE_VALIDITY_MS;
        Map<String, Double> rates = new LinkedHashMap<>();
        for (String tenant : quotas.keySet()) {
            rates.put(tenant, shares.rate(now, tenant));
            untilMs = shares.rateValidUntil(now, tenant, untilMs);
        }
        return new Advice(untilMs, Set.copyOf(unhealthyServers), rates);
    }

    private void updateUnhealthyServers(double now) {
        store.removeExpired(now);
        unhealthyServers =
                new HashSet<>(
                        HealthConsensus.unhealthyServers(
                                now, store, servers, name, sameZoneProcesses));
        unhealthyServers.removeIf(server -> HealthConsensus.isTester(now, store, server, name));
    }

    /** Updates the sets of processes that share quotas with this one, and that are in its zone. */
    private void readMembership(MembershipView view) {
        MemberUpdate self = self(view);
        if (self == null || self.profile() == null || view.superseded()) {
            lenders = List.of();
            inheritanceFactor = 1;
            return;
        }
        List<String> sameTier = new ArrayList<>();
        Set<String> sameZone = new HashSet<>();
        int goneCount = 0;
        for (MembershipView.Member member : view.members()) {
            MemberUpdate update = member.update();
            if (update.profile() == null) {
                continue;
            }
            if (update.profile().zone().equals(self.profile().zone())) {
                sameZone.add(update.name());
            }
            if (!isOfSameTier(update, self)) {
                continue;
            }
            if (update.state() == MemberState.ALIVE) {
                sameTier.add(update.name());
            } else if (isGone(member)) {
                goneCount++;
            }
        }
        lenders = sameTier;
        sameZoneProcesses = sameZone;
        inheritanceFactor = inheritanceFactor(view, sameTier.size() + 1.0, goneCount);
    }

    private MemberUpdate self(MembershipView view) {
        return view.members().stream()
                .map(MembershipView.Member::update)
                .filter(update -> update.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    /** Whether a member is another process that sends to the same tier as this one. */
    private static boolean isOfSameTier(MemberUpdate member, MemberUpdate self) {
        return member.profile().tier().equals(self.profile().tier())
                && !member.name().equals(self.name());
    }

    private static boolean isGone(MembershipView.Member member) {
        return !member.update().state().isPresent() && member.sinceMs() > INHERIT_DELAY_MS;
    }

    /**
     * Returns the factor of the even shares. It stays 1 on the smaller side of a network partition,
     * as the processes on the other side are alive and use their shares.
     */
    private double inheritanceFactor(MembershipView view, double presentCount, int goneCount) {
        return view.majorityPresent()
                ? Math.max(1, Math.min(sharingProcesses, presentCount + goneCount) / presentCount)
                : 1;
    }

    /** Returns the state for operators, by the keys of the admin server's status. */
    public Map<String, Object> status(double now) {
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("advice_age_ms", (long) (now - lastAdviceMs));
        status.put("advice_bound_ms", (long) ADVICE_VALIDITY_MS);
        status.put("advice_missed", missedAdvices);
        status.put("ailing", new ArrayList<>(new TreeSet<>(unhealthyServers)));
        status.put("sightings", observationStatus());
        status.put("allowances", quotaStatus(now));
        status.put("loan_bound_ms", (long) QuotaShares.LOAN_MS);
        status.put("inherited", inheritanceFactor);
        status.put("loans_refused", shares.rejected());
        return status;
    }

    private Map<String, Object> observationStatus() {
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("held", store.size());
        status.put("bound_ms", (long) MAX_OBSERVATION_AGE_MS);
        status.put("oldest_used_ms", (long) store.oldestUsedMs());
        status.put("past_bound", store.expiredOnArrival());
        status.put("fallen_out", store.evicted());
        status.put("refused", store.rejected());
        return status;
    }

    private Map<String, Object> quotaStatus(double now) {
        Map<String, Object> statusByTenant = new LinkedHashMap<>();
        for (String tenant : shares.tenants()) {
            Map<String, Object> status = new LinkedHashMap<>();
            status.put("rate", shares.rate(now, tenant));
            status.put("even", quotas.getOrDefault(tenant, 0.0) / sharingProcesses);
            status.put("lent", shares.lent(now, tenant));
            status.put("borrowed", shares.borrowed(now, tenant));
            statusByTenant.put(tenant, status);
        }
        return statusByTenant;
    }
}
