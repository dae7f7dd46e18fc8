package poppynotch.fleet.sharing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;

/**
 * A tenant's allowance held over a tier by shares that move to where demand is. Each process owns
 * an even part; what it does not need it lends, for a bounded time, to one that asks. The borrower
 * counts the time from before it asked and the lender from after it answered, each on its own
 * clock, so a share is never used at both ends, whatever is lost, late, cut off or paused in
 * between (escrow, as in the bounded counter of Balegas and others 2015, with expiry in place of a
 * return). It does no I/O and is told the time.
 */
public final class QuotaShares {

    /** A loan's time: so long the share of a borrower that dies is out of use. */
    public static final double LOAN_MS = 2000;

    /**
     * A process in need asks this often, so many others at a time: a tier of 80 within a second.
     */
    private static final double REQUEST_INTERVAL_MS = 100;

    private static final int MAX_LENDERS_PER_REQUEST = 8;

    /**
     * A loan is asked for again when so little of its time is left, that one answer may be lost.
     */
    private static final double RENEW_BEFORE_EXPIRY_MS = 700;

    /** Clocks run apart by less than this part: quartz does by a tenth of it. */
    private static final double MAX_CLOCK_DRIFT = 0.002;

    /** A lender keeps this part of its own in any case, for the first calls after a pause. */
    private static final double MIN_RESERVED_FRACTION = 0.1;

    /** A borrower asks for so much more than comes, as what comes grows. */
    private static final double DEMAND_HEADROOM_FACTOR = 1.1;

    /**
     * Demand is learned over two times. Few calls a second come unevenly: over the short one the
     * figure is believed only where it is this multiple of the even part, which chance alone makes
     * of few.
     */
    private static final double LONG_TERM_MS = 3000;

    private static final double SHORT_TERM_MS = 500;
    private static final double BURST_FACTOR = 1.5;

    /** Less than this many calls a second more is no need to ask for. */
    private static final double MIN_LOAN_PER_S = 0.5;

    /** Questions that nobody answers are forgotten after this. */
    private static final double REQUEST_TIMEOUT_MS = 1000;

    /** A question to another process: lend me so many calls a second of a tenant's allowance. */
    public record Question(String lender, String tenant, double wanted) {}

    private record Loan(double rate, double untilMs) {}

    private record PendingRequest(String lender, String tenant, double sentMs) {}

    private static final class TenantShare {
        double evenShare;
        double longTermRate;
        double shortTermRate;
        double lastUpdateMs;
        double nextRequestMs;
        int calls;

        /**
         * By the other process: what was lent, or borrowed; of several with one, the highest
         * counts.
         */
        final Map<String, List<Loan>> lent = new TreeMap<>();

        final Map<String, List<Loan>> borrowed = new TreeMap<>();

        void updateDemand(double now) {
            double elapsed = now - lastUpdateMs;
            double rate = calls * 1000 / elapsed;
            longTermRate += Math.min(1, elapsed / LONG_TERM_MS) * (rate - longTermRate);
            shortTermRate += Math.min(1, elapsed / SHORT_TERM_MS) * (rate - shortTermRate);
            lastUpdateMs = now;
            calls = 0;
        }

        /** Calls a second that come, as far as is known. */
        double demand() {
            return shortTermRate > BURST_FACTOR * evenShare
                    ? Math.max(longTermRate, shortTermRate)
                    : longTermRate;
        }

        /** What a lender keeps: what comes, and what it may be out by over that time by chance. */
        double reserved() {
            double demand = demand();
            return Math.max(
                    demand + Math.sqrt(demand * 1000 / LONG_TERM_MS),
                    evenShare * MIN_RESERVED_FRACTION);
        }
    }

    private final RandomGenerator random;
    private final Map<String, TenantShare> sharesByTenant = new TreeMap<>();
    private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
    private long rejected;

    /** No tenants yet. */
    public QuotaShares(RandomGenerator random) {
        this.random = random;
    }

    /**
     * A tenant's even part at this process, in calls a second; called again when it changes. What
     * was lent before stays lent.
     */
    public void own(double now, String tenant, double even) {
        TenantShare account =
                sharesByTenant.computeIfAbsent(
                        tenant,
                        t -> {
                            TenantShare fresh = new TenantShare();
                            fresh.lastUpdateMs = now;
                            return fresh;
                        });
        account.evenShare = even;
    }

    /** Tenants that no longer are. */
    public void retainTenants(List<String> tenants) {
        sharesByTenant.keySet().retainAll(tenants);
    }

    /** A call of a tenant has come here. */
    public void called(String tenant) {
        TenantShare account = sharesByTenant.get(tenant);
        if (account != null) {
            account.calls++;
        }
    }

    /** How many calls a second of a tenant this process may take now. */
    public double rate(double now, String tenant) {
        TenantShare account = sharesByTenant.get(tenant);
        return account == null
                ? 0
                : Math.max(0, account.evenShare - currentRate(now, account.lent))
                        + currentRate(now, account.borrowed);
    }

    /**
     * When the first loan that {@link #rate} counts runs out, or {@code latest} if that is sooner.
     */
    public double rateValidUntil(double now, String tenant, double latest) {
        TenantShare account = sharesByTenant.get(tenant);
        return account == null
                ? latest
                : account.borrowed.values().stream()
                        .flatMap(List::stream)
                        .filter(loan -> loan.untilMs() > now)
                        .mapToDouble(Loan::untilMs)
                        .reduce(latest, Math::min);
    }

    private static double currentRate(double now, Map<String, List<Loan>> loans) {
        double sum = 0;
        for (Iterator<List<Loan>> all = loans.values().iterator(); all.hasNext(); ) {
            List<Loan> each = all.next();
            each.removeIf(loan -> now >= loan.untilMs());
            if (each.isEmpty()) {
                all.remove();
            }
            sum += each.stream().mapToDouble(Loan::rate).max().orElse(0);
        }
        return sum;
    }

    /**
     * Learns demand, and asks where that is above what there is.
     *
     * @param others the processes that share these tenants' allowances with this one
     * @param ask sends a question; returns the number under which its answer comes, or below 0 for
     *     not sent
     */
    public void advance(double now, List<String> others, ToLongFunction<Question> ask) {
        pendingRequests.values().removeIf(each -> now - each.sentMs() > REQUEST_TIMEOUT_MS);
        sharesByTenant.forEach(
                (tenant, account) -> {
                    if (now <= account.lastUpdateMs) {
                        return;
                    }
                    account.updateDemand(now);
                    if (now >= account.nextRequestMs) {
                        account.nextRequestMs = now + REQUEST_INTERVAL_MS;
                        planRequests(now, tenant, account, others)
                                .forEach(
                                        question -> {
                                            long sequence = ask.applyAsLong(question);
                                            if (sequence >= 0) {
                                                pendingRequests.put(
                                                        sequence,
                                                        new PendingRequest(
                                                                question.lender(), tenant, now));
                                            }
                                        });
                    }
                });
    }

    private List<Question> planRequests(
            double now, String tenant, TenantShare account, List<String> others) {
        double wanted = account.demand() * DEMAND_HEADROOM_FACTOR;
        double lasting = Math.max(0, account.evenShare - currentRate(now, account.lent));
        List<Question> questions = new ArrayList<>();
        Map<String, Double> held = new HashMap<>();
        for (Map.Entry<String, List<Loan>> each : account.borrowed.entrySet()) {
            double until = each.getValue().stream().mapToDouble(Loan::untilMs).max().orElse(0);
            double rate = each.getValue().stream().mapToDouble(Loan::rate).max().orElse(0);
            held.put(each.getKey(), rate);
            if (until - now <= RENEW_BEFORE_EXPIRY_MS && lasting + MIN_LOAN_PER_S < wanted) {
                questions.add(
                        new Question(
                                each.getKey(),
                                tenant,
                                Math.min(account.evenShare, wanted - lasting)));
                held.put(each.getKey(), account.evenShare);
            }
            lasting += rate;
        }
        double missing = wanted - lasting;
        List<String> open = new ArrayList<>(others);
        for (int i = 0;
                i < MAX_LENDERS_PER_REQUEST && missing > MIN_LOAN_PER_S && !open.isEmpty();
                i++) {
            // Who says no is made up for by others in the next round; too much would be kept from
            // all.
            String lender = open.remove(random.nextInt(open.size()));
            double has = held.getOrDefault(lender, 0.0);
            double more = Math.min(missing, account.evenShare - has);
            if (more > MIN_LOAN_PER_S) {
                questions.add(new Question(lender, tenant, has + more));
                missing -= more;
            }
        }
        return questions;
    }

    /**
     * Another process asks for a loan.
     *
     * @return what it is lent, in calls a second; 0 for nothing
     */
    public double grantLoan(double now, String borrower, String tenant, double wanted) {
        TenantShare account = sharesByTenant.get(tenant);
        if (account == null || !(wanted > 0) || wanted == Double.POSITIVE_INFINITY) {
            rejected++;
            return 0;
        }
        double all = currentRate(now, account.lent);
        double had =
                account.lent.getOrDefault(borrower, List.of()).stream()
                        .mapToDouble(Loan::rate)
                        .max()
                        .orElse(0);
        double spare = account.evenShare - account.reserved() - (all - had);
        double rate = Math.min(wanted, spare);
        if (rate < MIN_LOAN_PER_S / 2) {
            return 0;
        }
        add(account.lent, borrower, new Loan(rate, now + LOAN_MS * (1 + MAX_CLOCK_DRIFT)));
        return rate;
    }

    /** A question was answered; an answer that fits no question, or comes twice, is nothing. */
    public void onLoanAnswer(double now, long sequence, String lender, double rate) {
        PendingRequest question = pendingRequests.get(sequence);
        TenantShare account = question == null ? null : sharesByTenant.get(question.tenant());
        if (account == null || !question.lender().equals(lender)) {
            rejected++;
            return;
        }
        pendingRequests.remove(sequence);
        double untilMs = question.sentMs() + LOAN_MS * (1 - MAX_CLOCK_DRIFT);
        // Nobody owns more than its even part, so more than that is a fault of whoever says so.
        boolean plausible = rate > 0 && rate <= account.evenShare * (1 + MAX_CLOCK_DRIFT);
        if (plausible && untilMs > now) {
            add(account.borrowed, lender, new Loan(rate, untilMs));
        } else if (rate != 0 && !plausible) {
            rejected++;
        }
    }

    /** Loans before it that are no higher and end no later no longer count, so few are held. */
    private static void add(Map<String, List<Loan>> loans, String other, Loan loan) {
        List<Loan> each = loans.computeIfAbsent(other, o -> new ArrayList<>());
        each.removeIf(old -> old.rate() <= loan.rate() && old.untilMs() <= loan.untilMs());
        each.add(loan);
    }

    /** What is lent of a tenant now, in calls a second. */
    public double lent(double now, String tenant) {
        return sharesByTenant.containsKey(tenant)
                ? currentRate(now, sharesByTenant.get(tenant).lent)
                : 0;
    }

    /** What is borrowed of a tenant now, in calls a second. */
    public double onLoanAnswer(double now, String tenant) {
        return sharesByTenant.containsKey(tenant)
                ? currentRate(now, sharesByTenant.get(tenant).borrowed)
                : 0;
    }

    /** The tenants. */
    public List<String> tenants() {
        return List.copyOf(sharesByTenant.keySet());
    }

    /** Questions and answers that could not be true. */
    public long rejected() {
        return rejected;
    }
}
