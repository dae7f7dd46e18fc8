package poppynotch.fleet.sharing;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Loans of one tenant's quota: either all that this process granted, by borrower, or all that it
 * received, by lender. Of several loans with the same process the highest one counts.
 *
 * <p>Owned by {@link TenantShare} and confined to the thread of {@link QuotaShares}.
 */
final class QuotaLoans {

    /**
     * One loan.
     *
     * @param ratePerS lent quota, in calls a second
     * @param untilMs when the loan expires, on this process's clock
     */
    record Loan(double ratePerS, double untilMs) {}

    private final Map<String, List<Loan>> loansByProcess = new TreeMap<>();

    /**
     * Adds a loan. Earlier loans with the same process that are no higher and expire no later are
     * removed, so that few are stored.
     */
    void add(String process, Loan loan) {
        List<Loan> loans = loansByProcess.computeIfAbsent(process, name -> new ArrayList<>());
        loans.removeIf(
                earlier ->
                        earlier.ratePerS() <= loan.ratePerS()
                                && earlier.untilMs() <= loan.untilMs());
        loans.add(loan);
    }

    /** Removes expired loans, and returns the sum of the others in calls a second. */
    double currentRate(double now) {
        double sum = 0;
        Iterator<List<Loan>> iterator = loansByProcess.values().iterator();
        while (iterator.hasNext()) {
            List<Loan> loans = iterator.next();
            loans.removeIf(loan -> now >= loan.untilMs());
            if (loans.isEmpty()) {
                iterator.remove();
            }
            sum += maxRate(loans);
        }
        return sum;
    }

    /** The processes with which there are loans, ordered by name. */
    List<String> processes() {
        return List.copyOf(loansByProcess.keySet());
    }

    /** The highest loan with a process, in calls a second; 0 if there is none. */
    double rateWith(String process) {
        return maxRate(loansByProcess.getOrDefault(process, List.of()));
    }

    /** When the last loan with a process expires; 0 if there is none. */
    double lastExpiryMs(String process) {
        return loansByProcess.getOrDefault(process, List.of()).stream()
                .mapToDouble(Loan::untilMs)
                .max()
                .orElse(0);
    }

    /** When the first unexpired loan expires, or {@code latestMs} if that is sooner. */
    double firstExpiryMs(double now, double latestMs) {
        return loans().filter(loan -> loan.untilMs() > now)
                .mapToDouble(Loan::untilMs)
                .reduce(latestMs, Math::min);
    }

    private Stream<Loan> loans() {
        return loansByProcess.values().stream().flatMap(List::stream);
    }

    private static double maxRate(List<Loan> loans) {
        return loans.stream().mapToDouble(Loan::ratePerS).max().orElse(0);
    }
}
