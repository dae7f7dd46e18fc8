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
 * What one process shares with the others and takes from them: sightings of servers and the common
 * verdict on them, and the tenants' allowances. It does no I/O and is told the time. It only
 * advises: past its time an advice is none, and its process goes by its own eyes and its even
 * parts.
 */
public final class SharedState {

    /** A sighting older than this is not used. */
    public static final double MAX_OBSERVATION_AGE_MS = 15_000;

    /** An advice is good for so long: two of its makings may fail before it is missed. */
    public static final double ADVICE_VALIDITY_MS = 1500;

    /** It is made this often. */
    public static final double EVERY_MS = 100;

    /** Who is there is looked at this often, as that takes a walk over all members. */
    private static final double MEMBERSHIP_INTERVAL_MS = 1000;

    /**
     * Sightings held at most, in some 1.5 MB: 300 servers with 16 observers each, of which the
     * verdict needs a few. What falls out is counted.
     */
    private static final int MAX_OBSERVATIONS = 5000;

    /**
     * The share of one that is gone is the others' after this: a restart must not shift all shares
     * twice.
     */
    private static final double INHERIT_DELAY_MS = 5000;

    /**
     * What the fleet advises.
     *
     * @param untilMs when it is too old, on the clock that this process is told
     * @param ailing servers to hold back; not those that this process is to go on calling, so that
     *     somebody sees when they are well again
     * @param rates how many calls a second of each tenant this process may take for within its
     *     share
     */
    public record Advice(double untilMs, Set<String> ailing, Map<String, Double> rates) {}

    /**
     * What this process shares allowances by: each tenant's, in calls a second, over so many
     * processes.
     */
    private Map<String, Double> allowances = Map.of();

    private int sharingProcesses = 1;

    private final String name;
    private final ObservationStore store;
    private final OutcomeRecorder outcomeRecorder;
    private final QuotaShares shares;
    private final Set<String> servers = new HashSet<>();
    private Set<String> ailing = Set.of();
    private List<String> lenders = List.of();
    private Set<String> nearby = Set.of();
    private double inheritanceFactor = 1;
    private double nextMembershipMs;
    private double nextConsensusMs;
    private double lastAdviceMs = Double.NEGATIVE_INFINITY;
    private long missedAdvices;

    /**
     * Begins with nothing.
     *
     * @param name of this process in the fleet
     * @param run which process of that name, drawn at its start
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
     * The servers that this process's own discovery names; of others nothing is advised.
     *
     * @param whole whether these are all, or changes
     * @param ready by a server's id, whether it takes new calls
     */
    public void listed(boolean whole, Map<String, Boolean> ready) {
        if (whole) {
            servers.clear();
        }
        ready.forEach(
                (server, takes) -> {
                    if (takes) {
                        servers.add(server);
                    } else {
                        servers.remove(server);
                    }
                });
    }

    /** How many servers this process's own discovery names that take new calls. */
    public int servers() {
        return servers.size();
    }

    /**
     * The tenants' allowances, in calls a second over so many processes; none where they do not
     * bind.
     */
    public void allowances(Map<String, Double> all, int processes) {
        allowances = Map.copyOf(all);
        sharingProcesses = processes;
        shares.retainTenants(List.copyOf(allowances.keySet()));
    }

    /** A call of this process has ended. */
    public void saw(String server, OutcomeRecorder.CallOutcome fate) {
        outcomeRecorder.onCallEnded(server, fate);
    }

    /** A call of a tenant has come to this process. */
    public void called(String tenant) {
        shares.called(tenant);
    }

    /** What it holds of sightings, to be carried to others and from them. */
    public ObservationStore sightings() {
        return store;
    }

    /** Its shares of allowances, to answer others' questions from. */
    public QuotaShares shares() {
        return shares;
    }

    /**
     * Makes the advice of now; called every {@link #EVERY_MS}.
     *
     * @param view tells who is there
     * @param ask sends a question for a loan; returns its number, or below 0
     */
    public Advice advance(
            double now, Supplier<MembershipView> view, ToLongFunction<QuotaShares.Question> ask) {
        missedAdvices += now - lastAdviceMs > ADVICE_VALIDITY_MS && lastAdviceMs > 0 ? 1 : 0;
        lastAdviceMs = now;
        outcomeRecorder.advance(now);
        if (now >= nextMembershipMs) {
            nextMembershipMs = now + MEMBERSHIP_INTERVAL_MS;
            readMembership(view.get());
        }
        if (now >= nextConsensusMs) {
            nextConsensusMs = now + OutcomeRecorder.WINDOW_MS / 2;
            store.removeExpired(now);
            ailing = new HashSet<>(HealthConsensus.held(now, store, servers, name, nearby));
            double at = now;
            ailing.removeIf(server -> HealthConsensus.isTester(at, store, server, name));
        }
        allowances.forEach(
                (tenant, allowance) ->
                        shares.own(now, tenant, allowance / sharingProcesses * inheritanceFactor));
        shares.advance(now, lenders, ask);
        double until = now + ADVICE_VALIDITY_MS;
        Map<String, Double> rates = new LinkedHashMap<>();
        for (String tenant : allowances.keySet()) {
            rates.put(tenant, shares.rate(now, tenant));
            until = shares.rateValidUntil(now, tenant, until);
        }
        return new Advice(until, Set.copyOf(ailing), rates);
    }

    private void readMembership(MembershipView view) {
        MemberUpdate self =
                view.members().stream()
                        .map(MembershipView.Member::held)
                        .filter(held -> held.name().equals(name))
                        .findFirst()
                        .orElse(null);
        if (self == null || self.profile() == null || view.superseded()) {
            lenders = List.of();
            inheritanceFactor = 1;
            return;
        }
        List<String> present = new ArrayList<>();
        Set<String> zone = new HashSet<>();
        int gone = 0;
        for (MembershipView.Member member : view.members()) {
            MemberUpdate held = member.held();
            if (held.profile() == null) {
                continue;
            }
            if (held.profile().zone().equals(self.profile().zone())) {
                zone.add(held.name());
            }
            if (held.profile().tier().equals(self.profile().tier()) && !held.name().equals(name)) {
                if (held.state() == MemberState.ALIVE) {
                    present.add(held.name());
                } else if (!held.state().isPresent() && member.sinceMs() > INHERIT_DELAY_MS) {
                    gone++;
                }
            }
        }
        lenders = present;
        nearby = zone;
        // The smaller side of a cut inherits nothing: the other side lives, and uses what it has.
        double here = present.size() + 1.0;
        inheritanceFactor =
                view.majority() ? Math.max(1, Math.min(sharingProcesses, here + gone) / here) : 1;
    }

    /** The state for operators: by kind its age now, its bound, and what was passed over. */
    public Map<String, Object> status(double now) {
        Map<String, Object> sightings = new LinkedHashMap<>();
        sightings.put("held", store.size());
        sightings.put("bound_ms", (long) MAX_OBSERVATION_AGE_MS);
        sightings.put("oldest_used_ms", (long) store.oldestUsedMs());
        sightings.put("past_bound", store.expiredOnArrival());
        sightings.put("fallen_out", store.evicted());
        sightings.put("refused", store.rejected());
        Map<String, Object> loans = new LinkedHashMap<>();
        for (String tenant : shares.tenants()) {
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("rate", shares.rate(now, tenant));
            one.put("even", allowances.getOrDefault(tenant, 0.0) / sharingProcesses);
            one.put("lent", shares.lent(now, tenant));
            one.put("borrowed", shares.onLoanAnswer(now, tenant));
            loans.put(tenant, one);
        }
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("advice_age_ms", (long) (now - lastAdviceMs));
        all.put("advice_bound_ms", (long) ADVICE_VALIDITY_MS);
        all.put("advice_missed", missedAdvices);
        all.put("ailing", new ArrayList<>(new TreeSet<>(ailing)));
        all.put("sightings", sightings);
        all.put("allowances", loans);
        all.put("loan_bound_ms", (long) QuotaShares.LOAN_MS);
        all.put("inherited", inheritanceFactor);
        all.put("loans_refused", shares.rejected());
        return all;
    }
}
