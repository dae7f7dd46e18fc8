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
    private static final double ASK_EVERY_MS = 100;

    private static final int ASKED = 8;

    /**
     * A loan is asked for again when so little of its time is left, that one answer may be lost.
     */
    private static final double RENEW_MS = 700;

    /** Clocks run apart by less than this part: quartz does by a tenth of it. */
    private static final double DRIFT = 0.002;

    /** A lender keeps this part of its own in any case, for the first calls after a pause. */
    private static final double KEEP_LEAST = 0.1;

    /** A borrower asks for so much more than comes, as what comes grows. */
    private static final double WANT = 1.1;

    /**
     * Demand is learned over two times. Few calls a second come unevenly: over the short one the
     * figure is believed only where it is this multiple of the even part, which chance alone makes
     * of few.
     */
    private static final double USUAL_MS = 3000;

    private static final double SUDDEN_MS = 500;
    private static final double SUDDEN = 1.5;

    /** Less than this many calls a second more is no need to ask for. */
    private static final double WORTH_ASKING = 0.5;

    /** Questions that nobody answers are forgotten after this. */
    private static final double UNANSWERED_MS = 1000;

    /** A question to another process: lend me so many calls a second of a tenant's allowance. */
    public record Question(String lender, String tenant, double wanted) {}

    private record Loan(double rate, double untilMs) {}

    private record Asked(String lender, String tenant, double sentMs) {}

    private static final class Account {
        double even;
        double usual;
        double sudden;
        double countedMs;
        double askMs;
        int calls;

        /**
         * By the other process: what was lent, or borrowed; of several with one, the highest
         * counts.
         */
        final Map<String, List<Loan>> lent = new TreeMap<>();

        final Map<String, List<Loan>> borrowed = new TreeMap<>();

        void learn(double now) {
            double elapsed = now - countedMs;
            double rate = calls * 1000 / elapsed;
            usual += Math.min(1, elapsed / USUAL_MS) * (rate - usual);
            sudden += Math.min(1, elapsed / SUDDEN_MS) * (rate - sudden);
            countedMs = now;
            calls = 0;
        }

        /** Calls a second that come, as far as is known. */
        double demand() {
            return sudden > SUDDEN * even ? Math.max(usual, sudden) : usual;
        }

        /** What a lender keeps: what comes, and what it may be out by over that time by chance. */
        double kept() {
            double demand = demand();
            return Math.max(demand + Math.sqrt(demand * 1000 / USUAL_MS), even * KEEP_LEAST);
        }
    }

    private final RandomGenerator random;
    private final Map<String, Account> accounts = new TreeMap<>();
    private final Map<Long, Asked> asked = new HashMap<>();
    private long refused;

    /** No tenants yet. */
    public QuotaShares(RandomGenerator random) {
        this.random = random;
    }

    /**
     * A tenant's even part at this process, in calls a second; called again when it changes. What
     * was lent before stays lent.
     */
    public void own(double now, String tenant, double even) {
        Account account =
                accounts.computeIfAbsent(
                        tenant,
                        t -> {
                            Account fresh = new Account();
                            fresh.countedMs = now;
                            return fresh;
                        });
        account.even = even;
    }

    /** Tenants that no longer are. */
    public void retain(List<String> tenants) {
        accounts.keySet().retainAll(tenants);
    }

    /** A call of a tenant has come here. */
    public void called(String tenant) {
        Account account = accounts.get(tenant);
        if (account != null) {
            account.calls++;
        }
    }

    /** How many calls a second of a tenant this process may take now. */
    public double rate(double now, String tenant) {
        Account account = accounts.get(tenant);
        return account == null
                ? 0
                : Math.max(0, account.even - sum(now, account.lent)) + sum(now, account.borrowed);
    }

    /**
     * When the first loan that {@link #rate} counts runs out, or {@code latest} if that is sooner.
     */
    public double steadyUntil(double now, String tenant, double latest) {
        Account account = accounts.get(tenant);
        return account == null
                ? latest
                : account.borrowed.values().stream()
                        .flatMap(List::stream)
                        .filter(loan -> loan.untilMs() > now)
                        .mapToDouble(Loan::untilMs)
                        .reduce(latest, Math::min);
    }

    private static double sum(double now, Map<String, List<Loan>> loans) {
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
        asked.values().removeIf(each -> now - each.sentMs() > UNANSWERED_MS);
        accounts.forEach(
                (tenant, account) -> {
                    if (now <= account.countedMs) {
                        return;
                    }
                    account.learn(now);
                    if (now >= account.askMs) {
                        account.askMs = now + ASK_EVERY_MS;
                        questions(now, tenant, account, others)
                                .forEach(
                                        question -> {
                                            long sequence = ask.applyAsLong(question);
                                            if (sequence >= 0) {
                                                asked.put(
                                                        sequence,
                                                        new Asked(question.lender(), tenant, now));
                                            }
                                        });
                    }
                });
    }

    private List<Question> questions(
            double now, String tenant, Account account, List<String> others) {
        double wanted = account.demand() * WANT;
        double lasting = Math.max(0, account.even - sum(now, account.lent));
        List<Question> questions = new ArrayList<>();
        Map<String, Double> held = new HashMap<>();
        for (Map.Entry<String, List<Loan>> each : account.borrowed.entrySet()) {
            double until = each.getValue().stream().mapToDouble(Loan::untilMs).max().orElse(0);
            double rate = each.getValue().stream().mapToDouble(Loan::rate).max().orElse(0);
            held.put(each.getKey(), rate);
            if (until - now <= RENEW_MS && lasting + WORTH_ASKING < wanted) {
                questions.add(
                        new Question(
                                each.getKey(), tenant, Math.min(account.even, wanted - lasting)));
                held.put(each.getKey(), account.even);
            }
            lasting += rate;
        }
        double missing = wanted - lasting;
        List<String> open = new ArrayList<>(others);
        for (int i = 0; i < ASKED && missing > WORTH_ASKING && !open.isEmpty(); i++) {
            // Who says no is made up for by others in the next round; too much would be kept from
            // all.
            String lender = open.remove(random.nextInt(open.size()));
            double has = held.getOrDefault(lender, 0.0);
            double more = Math.min(missing, account.even - has);
            if (more > WORTH_ASKING) {
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
    public double lend(double now, String borrower, String tenant, double wanted) {
        Account account = accounts.get(tenant);
        if (account == null || !(wanted > 0) || wanted == Double.POSITIVE_INFINITY) {
            refused++;
            return 0;
        }
        double all = sum(now, account.lent);
        double had =
                account.lent.getOrDefault(borrower, List.of()).stream()
                        .mapToDouble(Loan::rate)
                        .max()
                        .orElse(0);
        double spare = account.even - account.kept() - (all - had);
        double rate = Math.min(wanted, spare);
        if (rate < WORTH_ASKING / 2) {
            return 0;
        }
        add(account.lent, borrower, new Loan(rate, now + LOAN_MS * (1 + DRIFT)));
        return rate;
    }

    /** A question was answered; an answer that fits no question, or comes twice, is nothing. */
    public void borrowed(double now, long sequence, String lender, double rate) {
        Asked question = asked.get(sequence);
        Account account = question == null ? null : accounts.get(question.tenant());
        if (account == null || !question.lender().equals(lender)) {
            refused++;
            return;
        }
        asked.remove(sequence);
        double untilMs = question.sentMs() + LOAN_MS * (1 - DRIFT);
        // Nobody owns more than its even part, so more than that is a fault of whoever says so.
        boolean plausible = rate > 0 && rate <= account.even * (1 + DRIFT);
        if (plausible && untilMs > now) {
            add(account.borrowed, lender, new Loan(rate, untilMs));
        } else if (rate != 0 && !plausible) {
            refused++;
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
        return accounts.containsKey(tenant) ? sum(now, accounts.get(tenant).lent) : 0;
    }

    /** What is borrowed of a tenant now, in calls a second. */
    public double borrowed(double now, String tenant) {
        return accounts.containsKey(tenant) ? sum(now, accounts.get(tenant).borrowed) : 0;
    }

    /** The tenants. */
    public List<String> tenants() {
        return List.copyOf(accounts.keySet());
    }

    /** Questions and answers that could not be true. */
    public long refused() {
        return refused;
    }
}
