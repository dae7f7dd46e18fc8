package poppynotch.fleet.sharing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.DoubleConsumer;
import org.junit.jupiter.api.Test;

/**
 * Tests loans between processes whose requests and answers are late, duplicated or lost. Guards
 * against quota that lender and borrower use at the same time.
 */
class QuotaSharesTest {

    private static final int PROCESSES = 4;
    private static final double EVEN_SHARE = 10;

    /**
     * Whatever messages are lost or late, no share is used by both lender and borrower: the sum of
     * the rates never exceeds the sum of the even shares.
     */
    @Test
    void neverExceedsQuotaWhenMessagesAreLostLateOrDuplicated() {
        for (int seed = 0; seed < 200; seed++) {
            assertTrue(maxRateInUse(seed, 0.001) <= PROCESSES * EVEN_SHARE + 1e-6, "seed " + seed);
        }
    }

    /** Checks the test above: it must detect clocks that drift by far more than the bound. */
    @Test
    void exceedsQuotaWhenClocksDriftBeyondTheBound() {
        int violations = 0;
        for (int seed = 0; seed < 200; seed++) {
            violations += maxRateInUse(seed, 1) > PROCESSES * EVEN_SHARE + 1e-6 ? 1 : 0;
        }
        assertTrue(violations > 20, violations + " of 200");
    }

    private static double maxRateInUse(int seed, double drift) {
        Random random = new Random(seed);
        List<QuotaShares> shares = new ArrayList<>();
        for (int i = 0; i < PROCESSES; i++) {
            shares.add(new QuotaShares(new SplittableRandom(seed * 10L + i)));
            shares.get(i).setEvenShare(0, "t", EVEN_SHARE);
        }
        List<DoubleConsumer> answers = new ArrayList<>();
        long[] sequences = new long[1];
        double maxInUse = 0;
        for (double timeMs = 100; timeMs < 16_000; timeMs += 50) {
            double now = timeMs;
            for (int i = 0; i < PROCESSES; i++) {
                int self = i;
                // Calls arrive at the first process, whose clock is the slowest, and pause for a
                // while.
                for (int call = 0; i == 0 && call < (timeMs % 8000 < 3000 ? 3 : 0); call++) {
                    shares.get(i).onCall("t");
                }
                List<String> others =
                        List.of("0", "1", "2", "3").stream()
                                .filter(name -> !name.equals("" + self))
                                .toList();
                shares.get(i)
                        .advance(
                                clockMs(i, now, drift),
                                others,
                                question -> {
                                    long sequence = ++sequences[0];
                                    int lender = Integer.parseInt(question.lender());
                                    if (random.nextInt(4) > 0) {
                                        double rate =
                                                shares.get(lender)
                                                        .grantLoan(
                                                                clockMs(lender, now, drift),
                                                                "" + self,
                                                                "t",
                                                                question.wanted());
                                        for (int copy = 0; copy < 1 + random.nextInt(2); copy++) {
                                            answers.add(
                                                    answeredMs ->
                                                            shares.get(self)
                                                                    .onLoanAnswer(
                                                                            clockMs(
                                                                                    self,
                                                                                    answeredMs,
                                                                                    drift),
                                                                            sequence,
                                                                            question.lender(),
                                                                            rate));
                                        }
                                    }
                                    return sequence;
                                });
            }
            while (!answers.isEmpty() && random.nextInt(4) > 0) {
                answers.remove(random.nextInt(answers.size())).accept(now);
            }
            double sum = 0;
            for (int i = 0; i < PROCESSES; i++) {
                sum += shares.get(i).rate(clockMs(i, now, drift), "t");
            }
            maxInUse = Math.max(maxInUse, sum);
        }
        return maxInUse;
    }

    /** The time on the clock of a process; processes with higher numbers have faster clocks. */
    private static double clockMs(int process, double now, double drift) {
        return now * (1 + drift * process / PROCESSES);
    }

    @Test
    void rejectsImplausibleLoanRequestsAndAnswers() {
        QuotaShares shares = new QuotaShares(new SplittableRandom(1));
        shares.setEvenShare(0, "t", EVEN_SHARE);
        assertEquals(0, shares.grantLoan(10, "x", "t", Double.NaN));
        assertEquals(0, shares.grantLoan(10, "x", "t", Double.POSITIVE_INFINITY));
        assertEquals(0, shares.grantLoan(10, "x", "t", -5));
        assertEquals(0, shares.grantLoan(10, "x", "none", 5));
        shares.onLoanAnswer(10, 77, "x", 5);
        assertEquals(5, shares.rejected());
        for (int i = 0; i < 50; i++) {
            shares.onCall("t");
        }
        List<QuotaShares.LoanRequest> asked = new ArrayList<>();
        shares.advance(
                1000,
                List.of("x", "y"),
                question -> {
                    asked.add(question);
                    return asked.size();
                });
        assertEquals(2, asked.size(), asked.toString());
        shares.onLoanAnswer(1100, 1, asked.get(0).lender(), 1e12);
        shares.onLoanAnswer(1100, 2, "another lender than was asked", 5);
        assertEquals(EVEN_SHARE, shares.rate(1100, "t"));
        shares.onLoanAnswer(1100, 2, asked.get(1).lender(), 5);
        assertEquals(EVEN_SHARE + 5, shares.rate(1100, "t"));
        assertEquals(
                EVEN_SHARE, shares.rate(1000 + QuotaShares.LOAN_MS, "t"), "the loan has expired");
    }

    /** A lender reserves what it needs, and never lends the same share twice. */
    @Test
    void lendsAtMostUnreservedShare() {
        QuotaShares shares = new QuotaShares(new SplittableRandom(1));
        shares.setEvenShare(0, "t", EVEN_SHARE);
        double first = shares.grantLoan(10, "x", "t", 100);
        assertEquals(EVEN_SHARE * 0.9, first, 1e-9);
        assertEquals(0, shares.grantLoan(20, "y", "t", 100));
        assertEquals(first, shares.grantLoan(30, "x", "t", 100), 1e-9, "the renewed loan");
        assertEquals(EVEN_SHARE - first, shares.rate(40, "t"), 1e-9);
        assertEquals(EVEN_SHARE, shares.rate(30 + QuotaShares.LOAN_MS * 1.01, "t"), 1e-9);
    }
}
