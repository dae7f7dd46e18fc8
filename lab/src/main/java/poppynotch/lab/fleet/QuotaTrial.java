package poppynotch.lab.fleet;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.apache.commons.math3.random.RandomDataGenerator;
import org.apache.commons.math3.random.Well19937c;
import poppynotch.fleet.membership.PiggybackPayload;
import poppynotch.fleet.membership.SwimSettings;
import poppynotch.fleet.sharing.QuotaShares;
import poppynotch.fleet.wire.CompositePayload;
import poppynotch.fleet.wire.QuotaLoanPayload;

/**
 * Trial of quota sharing on virtual time: one tenant's calls arrive at several processes, each of
 * which admits them by its share of the quota, an even one or one that moves to where demand is. An
 * ideal limiter that sees every call at once and no faults is the reference. Shares and messages
 * are the product's; the token buckets match those of the load balancer: a rate, and two seconds of
 * it as burst.
 */
public final class QuotaTrial {

    private static final String TENANT = "north";
    private static final double STEP_MS = 100;
    private static final double BURST_S = 2;

    /** The fleet has converged by then, and demand starts. */
    private static final double DEMAND_START_MS = 20_000;

    private static final double DEMAND_DURATION_MS = 40_000;

    /**
     * The settings of a trial.
     *
     * @param processes how many
     * @param allowance of the tenant, in calls a second over all
     * @param demand calls a second that come, over all
     * @param hot the part of them that comes to one process alone; the rest comes evenly
     * @param moves whether that process is another one every ten seconds
     * @param shared whether shares move
     * @param liars how many processes request absurd loans and answer every request with absurd
     *     ones
     * @param faults what goes wrong, from the start of the fleet on
     */
    public record Setting(
            int processes,
            double allowance,
            double demand,
            double hot,
            boolean moves,
            boolean shared,
            int liars,
            long seed,
            List<Fault> faults) {}

    /**
     * The outcome of a trial.
     *
     * @param granted calls let through within the share
     * @param ideal what the limiter that sees all let through
     * @param overshoot the most by which any ten seconds exceeded the allowance, as a part of it
     * @param nearlyWholeMs from the first demand until the hot process has nine tenths of what it
     *     could have, or below 0
     */
    public record Outcome(long granted, long ideal, double overshoot, double nearlyWholeMs) {}

    private static final class TokenBucket {
        double tokens;
        boolean full = true;

        boolean refill(double rate, double elapsedMs) {
            double most = 1 + BURST_S * rate;
            tokens = full ? most : Math.min(most, tokens + rate * elapsedMs / 1000);
            full = false;
            return tokens >= 1;
        }
    }

    private final class TrialProcess {
        final VirtualFleet.Node node;
        final QuotaShares shares;
        final CompositePayload payloads;
        final TokenBucket bucket = new TokenBucket();
        double rate;

        TrialProcess(VirtualFleet.Node node) {
            this.node = node;
            shares = new QuotaShares(random.split());
            QuotaLoanPayload desk = new QuotaLoanPayload(shares);
            payloads =
                    new CompositePayload()
                            .with(
                                    "l",
                                    node.number >= setting.liars()
                                            ? desk
                                            : new PiggybackPayload() {
                                                @Override
                                                public ByteBuffer onQuestion(
                                                        double now,
                                                        String from,
                                                        long sequence,
                                                        ByteBuffer question) {
                                                    return QuotaLoanPayload.encodeAnswer(1e12);
                                                }

                                                @Override
                                                public void onAnswer(
                                                        double now,
                                                        String from,
                                                        long sequence,
                                                        ByteBuffer answer) {
                                                    desk.onAnswer(now, from, sequence, answer);
                                                }
                                            });
            rate = setting.allowance() / setting.processes();
        }

        void advance(double now) {
            shares.setEvenShare(now, TENANT, setting.allowance() / setting.processes());
            List<String> others =
                    processes.stream()
                            .filter(other -> other != this)
                            .map(other -> other.node.name)
                            .toList();
            if (node.number < setting.liars()) {
                others.forEach(
                        other ->
                                node.membership.sendQuestion(
                                        now,
                                        other,
                                        CompositePayload.encodeSingle(
                                                "l",
                                                QuotaLoanPayload.encodeQuestion(
                                                        new QuotaShares.LoanRequest(
                                                                other, TENANT, 1e12)))));
            }
            shares.advance(
                    now,
                    others,
                    question ->
                            node.membership.sendQuestion(
                                    now,
                                    question.lender(),
                                    CompositePayload.encodeSingle(
                                            "l", QuotaLoanPayload.encodeQuestion(question))));
            node.scheduleTimer();
            rate = shares.rate(now, TENANT);
        }
    }

    private final Setting setting;
    private final SplittableRandom random;
    private final VirtualFleet fleet;
    private final List<TrialProcess> processes = new ArrayList<>();

    /** How many calls were admitted in each step. */
    private final List<Long> grantedBySteps = new ArrayList<>();

    private QuotaTrial(Setting setting) {
        this.setting = setting;
        random = new SplittableRandom(setting.seed() * 131 + 5);
        fleet =
                new VirtualFleet(
                        new FleetPlan(
                                setting.processes(), setting.seed(), 3000, 2, 0, setting.faults()),
                        SwimSettings.DEFAULT,
                        true,
                        Interposer.NONE,
                        (now, at, before, is) -> {},
                        node -> {
                            TrialProcess process = new TrialProcess(node);
                            processes.removeIf(old -> old.node == node);
                            processes.add(process);
                            return process.payloads;
                        });
    }

    /** Runs one trial on the calling thread. */
    public static Outcome play(Setting setting) {
        return new QuotaTrial(setting).play();
    }

    private Outcome play() {
        fleet.runUntil(DEMAND_START_MS);
        TokenBucket central = new TokenBucket();
        long granted = 0;
        long ideal = 0;
        double nearly = -1;
        RandomDataGenerator demand = new RandomDataGenerator(new Well19937c(setting.seed()));
        for (double at = 0; at < DEMAND_DURATION_MS; at += STEP_MS) {
            fleet.runUntil(DEMAND_START_MS + at + STEP_MS);
            int hot = setting.moves() ? (int) (at / 10_000) * 3 % setting.processes() : 0;
            long let = 0;
            long asked = 0;
            for (TrialProcess process : List.copyOf(processes)) {
                double part =
                        (1 - setting.hot()) / setting.processes()
                                + (process.node.number == hot ? setting.hot() : 0);
                double mean = setting.demand() * part * STEP_MS / 1000;
                int calls = mean > 0 ? (int) demand.nextPoisson(mean) : 0;
                asked += calls;
                if (!process.node.isRunning() || process.node.paused) {
                    continue;
                }
                if (setting.shared()) {
                    for (int i = 0; i < calls; i++) {
                        process.shares.onCall(TENANT);
                    }
                    process.advance(process.node.localTimeMs());
                }
                process.bucket.refill(process.rate, STEP_MS);
                for (int i = 0; i < calls && process.bucket.tokens >= 1; i++) {
                    process.bucket.tokens--;
                    let++;
                }
                double whole = Math.min(setting.allowance(), setting.demand() * part);
                if (process.node.number == hot && nearly < 0 && process.rate >= 0.9 * whole) {
                    nearly = at + STEP_MS;
                }
            }
            central.refill(setting.allowance(), STEP_MS);
            long could = Math.min(asked, (long) central.tokens);
            central.tokens -= could;
            ideal += could;
            granted += let;
            grantedBySteps.add(let);
        }
        return new Outcome(granted, ideal, overshoot(), nearly);
    }

    private double overshoot() {
        int window = (int) (10_000 / STEP_MS);
        double worst = 0;
        // The first savings are full at every process and at the limiter alike.
        for (int from = window / 2; from + window <= grantedBySteps.size(); from++) {
            long sum =
                    grantedBySteps.subList(from, from + window).stream()
                            .mapToLong(Long::longValue)
                            .sum();
            worst = Math.max(worst, sum / (setting.allowance() * 10) - 1);
        }
        return worst;
    }
}
