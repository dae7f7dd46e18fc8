package poppynotch.fleet.sharing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;

/**
 * Distributes tenants' quotas over the processes of a tier, by shares that move to where the demand
 * is. Each process owns an even share of each quota. It lends what it does not need, for a bounded
 * time, to processes that request it.
 *
 * <p>The borrower counts a loan's duration from when it sent the request, and the lender from when
 * it granted the loan, each on its own clock. So no share is used by both at once, even if messages
 * are lost or late, the network is partitioned, or a process pauses in between (escrow, as in the
 * bounded counter of Balegas et al. 2015, with expiry in place of a return).
 *
 * <p>A state machine without I/O and without a clock: it is passed the time, in milliseconds. Not
 * thread-safe. Rates are in calls a second.
 */
public final class QuotaShares {

    /** Duration of a loan. The loan of a borrower that dies stays unused until its end. */
    public static final double LOAN_MS = 2000;

    /**
     * Interval between requests of a process that needs loans of a tenant's quota. Each time it
     * asks at most {@link #MAX_LENDERS_PER_REQUEST} others, chosen at random, so within a second it
     * asks most of a tier of 80 processes.
     */
    private static final double REQUEST_INTERVAL_MS = 100;

    private static final int MAX_LENDERS_PER_REQUEST = 8;

    /** A loan is renewed this long before it expires, so that one answer may be lost. */
    private static final double RENEW_BEFORE_EXPIRY_MS = 700;

    /** Upper bound of the relative drift of two clocks; that of quartz clocks is a tenth of it. */
    private static final double MAX_CLOCK_DRIFT = 0.002;

    /** A borrower requests this multiple of its demand, as the demand may grow. */
    private static final double DEMAND_HEADROOM_FACTOR = 1.1;

    /** A shortfall of at most this many calls a second is not worth a request. */
    private static final double MIN_LOAN_PER_S = 0.5;

    /** Requests without an answer are forgotten after this time. */
    private static final double REQUEST_TIMEOUT_MS = 1000;

    /**
     * A request for a loan, to be sent to another process.
     *
     * @param lender the process that is asked
     * @param wanted calls a second of the tenant's quota
     */
    public record LoanRequest(String lender, String tenant, double wanted) {}

    private record PendingRequest(String lender, String tenant, double sentMs) {}

    private final RandomGenerator random;
    private final Map<String, TenantShare> sharesByTenant = new TreeMap<>();

    /** Requests without an answer yet, by sequence number. */
    private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();

    private long rejected;

    /** Creates shares without tenants. */
    public QuotaShares(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Sets a tenant's even share at this process; to be called again when it changes. Existing
     * loans stay in force.
     *
     * @param evenPerS even share, in calls a second
     */
    public void setEvenShare(double now, String tenant, double evenPerS) {
        sharesByTenant.computeIfAbsent(tenant, name -> new TenantShare(now)).setEvenShare(evenPerS);
    }

    /** Removes all tenants but these. */
    public void retainTenants(List<String> tenants) {
        sharesByTenant.keySet().retainAll(tenants);
    }

    /** Records that a call of a tenant arrived at this process. */
    public void onCall(String tenant) {
        TenantShare share = sharesByTenant.get(tenant);
        if (share != null) {
            share.onCall();
        }
    }

    /** The rate at which this process may admit calls of a tenant now. */
    public double rate(double now, String tenant) {
        TenantShare share = sharesByTenant.get(tenant);
        return share == null ? 0 : share.usableRate(now);
    }

    /**
     * When the first loan that {@link #rate} includes expires, or {@code latestMs} if it is sooner.
     */
    public double rateValidUntil(double now, String tenant, double latestMs) {
        TenantShare share = sharesByTenant.get(tenant);
        return share == null ? latestMs : share.borrowed.firstExpiryMs(now, latestMs);
    }

    /**
     * Measures demand, and requests loans for tenants whose demand exceeds their rate.
     *
     * @param others the processes that share these quotas with this one
     * @param sender sends a request; returns the sequence number of its answer, or a negative
     *     number if it was not sent
     */
    public void advance(double now, List<String> others, ToLongFunction<LoanRequest> sender) {
        pendingRequests.values().removeIf(request -> now - request.sentMs() > REQUEST_TIMEOUT_MS);
        sharesByTenant.forEach(
                (tenant, share) -> {
                    if (now <= share.lastUpdateMs()) {
                        return;
                    }
                    share.updateDemand(now);
                    if (now >= share.nextRequestMs) {
                        share.nextRequestMs = now + REQUEST_INTERVAL_MS;
                        planRequests(now, tenant, share, others)
                                .forEach(request -> send(now, request, sender));
                    }
                });
    }

    private void send(double now, LoanRequest request, ToLongFunction<LoanRequest> sender) {
        long sequence = sender.applyAsLong(request);
        if (sequence >= 0) {
            pendingRequests.put(
                    sequence, new PendingRequest(request.lender(), request.tenant(), now));
        }
    }

    /** Returns renewals of loans that expire soon, then requests for the rate still missing. */
    private List<LoanRequest> planRequests(
            double now, String tenant, TenantShare share, List<String> others) {
        double wantedRate = share.demand() * DEMAND_HEADROOM_FACTOR;
        double securedRate = share.unlentShare(now);
        List<LoanRequest> requests = new ArrayList<>();
        Map<String, Double> rateByLender = new HashMap<>();
        for (String lender : share.borrowed.processes()) {
            double loanRate = share.borrowed.rateWith(lender);
            rateByLender.put(lender, loanRate);
            boolean expiresSoon =
                    share.borrowed.lastExpiryMs(lender) - now <= RENEW_BEFORE_EXPIRY_MS;
            if (expiresSoon && securedRate + MIN_LOAN_PER_S < wantedRate) {
                double renewedRate = Math.min(share.evenShare(), wantedRate - securedRate);
                requests.add(new LoanRequest(lender, tenant, renewedRate));
                rateByLender.put(lender, share.evenShare());
            }
            securedRate += loanRate;
        }
        double missingRate = wantedRate - securedRate;
        List<String> candidates = new ArrayList<>(others);
        for (int i = 0;
                i < MAX_LENDERS_PER_REQUEST
                        && missingRate > MIN_LOAN_PER_S
                        && !candidates.isEmpty();
                i++) {
            // A rate that one lender refuses is requested of others in the next round. Requesting
            // more than is missing would withhold it from all other borrowers.
            String lender = candidates.remove(random.nextInt(candidates.size()));
            double loanRate = rateByLender.getOrDefault(lender, 0.0);
            double additionalRate = Math.min(missingRate, share.evenShare() - loanRate);
            if (additionalRate > MIN_LOAN_PER_S) {
                requests.add(new LoanRequest(lender, tenant, loanRate + additionalRate));
                missingRate -= additionalRate;
            }
        }
        return requests;
    }

    /**
     * Handles another process's request for a loan. An implausible request is counted as rejected.
     *
     * @param wanted requested rate
     * @return the lent rate; 0 for no loan
     */
    public double grantLoan(double now, String borrower, String tenant, double wanted) {
        TenantShare share = sharesByTenant.get(tenant);
        if (share == null || !(wanted > 0) || wanted == Double.POSITIVE_INFINITY) {
            rejected++;
            return 0;
        }
        double lentRate = share.lent.currentRate(now);
        double previousLoanRate = share.lent.rateWith(borrower);
        double spareRate = share.evenShare() - share.reserved() - (lentRate - previousLoanRate);
        double loanRate = Math.min(wanted, spareRate);
        if (loanRate < MIN_LOAN_PER_S / 2) {
            return 0;
        }
        double untilMs = now + LOAN_MS * (1 + MAX_CLOCK_DRIFT);
        share.lent.add(borrower, new QuotaLoans.Loan(loanRate, untilMs));
        return loanRate;
    }

    /**
     * Handles the answer to a request. An answer that matches no pending request, or that is
     * implausible, is counted as rejected.
     *
     * @param rate the lent rate; 0 for no loan
     */
    public void onLoanAnswer(double now, long sequence, String lender, double rate) {
        PendingRequest request = pendingRequests.get(sequence);
        TenantShare share = request == null ? null : sharesByTenant.get(request.tenant());
        if (share == null || !request.lender().equals(lender)) {
            rejected++;
            return;
        }
        pendingRequests.remove(sequence);
        double untilMs = request.sentMs() + LOAN_MS * (1 - MAX_CLOCK_DRIFT);
        // No process owns more than its even share, so a higher rate is an error of the lender.
        boolean isPlausible = rate > 0 && rate <= share.evenShare() * (1 + MAX_CLOCK_DRIFT);
        if (isPlausible && untilMs > now) {
            share.borrowed.add(lender, new QuotaLoans.Loan(rate, untilMs));
        } else if (rate != 0 && !isPlausible) {
            rejected++;
        }
    }

    /** The rate of a tenant's quota that is lent now. */
    public double lent(double now, String tenant) {
        TenantShare share = sharesByTenant.get(tenant);
        return share == null ? 0 : share.lent.currentRate(now);
    }

    /** The rate of a tenant's quota that is borrowed now. */
    public double borrowed(double now, String tenant) {
        TenantShare share = sharesByTenant.get(tenant);
        return share == null ? 0 : share.borrowed.currentRate(now);
    }

    /** The names of the tenants. */
    public List<String> tenants() {
        return List.copyOf(sharesByTenant.keySet());
    }

    /**
     * Number of rejected messages: implausible requests and answers, requests for unknown tenants,
     * and answers that match no pending request.
     */
    public long rejected() {
        return rejected;
    }
}
