package poppynotch.lab.added;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Plays blocks of calls and waits for their end: at a constant rate, straight to a server and by a
 * sidecar in turn. For the thread of the trial.
 */
final class BlockPlayer {

    private static final long TIMEOUT_NANOS =
            TimeUnit.MILLISECONDS.toNanos(ServeConfig.DEADLINE_MS);

    /** Time from the making of a schedule to its first call, so that this is not late already. */
    private static final long LEAD_NANOS = 20_000_000;

    /**
     * The two ways to compare.
     *
     * @param direct without sidecars
     * @param by through sidecars
     * @param sidecars that calls go through, the first one first
     */
    record Ways(HttpPool direct, HttpPool by, List<MeasuredSidecar> sidecars) {}

    private final TrialEnvironment env;

    BlockPlayer(TrialEnvironment env) {
        this.env = env;
    }

    /**
     * Plays a warm-up, which does not count, and as many pairs as the plan has.
     *
     * @param ways to compare; which one of a pair comes first is drawn
     * @param rate calls a second
     * @param key of the figures, for progress and notes
     * @throws IOException if the sidecar ends by itself
     */
    List<Block.Pair> playPairs(Ways ways, double rate, String key) throws IOException {
        Block.Pair warmUp = playPair(ways, rate, env.plan().warmUpSeconds());
        Estimate.added(List.of(warmUp.calls()), AddedTimeFigures.MEDIAN)
                .ifPresent(
                        added ->
                                env.outcome()
                                        .note(
                                                String.format(
                                                        Locale.ROOT,
                                                        "%s: the warm-up of %.1f s, which does not"
                                                                + " count, had p50 added %.3f ms",
                                                        key,
                                                        env.plan().warmUpSeconds(),
                                                        added.value())));
        List<Block.Pair> pairs = new ArrayList<>();
        for (int i = 0; i < env.plan().pairs(); i++) {
            env.reportProgress("%s: %d of %d", key, i + 1, env.plan().pairs());
            Block.Pair pair = playPair(ways, rate, env.plan().blockSeconds());
            countLost(pair.direct());
            countLost(pair.by());
            pairs.add(pair);
        }
        return pairs;
    }

    /** Counts the calls of a block that were not served. */
    void countLost(Block block) {
        env.outcome().unservedCalls(block.calls().refused() + block.calls().failed());
    }

    /** Plays one block each way, with the same calls. */
    Block.Pair playPair(Ways ways, double rate, double seconds) throws IOException {
        long mix = env.random().nextLong();
        MeasuredSidecar subject = ways.sidecars().get(0);
        if (env.random().nextBoolean()) {
            Block direct = playBlock(ways.direct(), subject, rate, seconds, mix);
            return new Block.Pair(direct, playBlock(ways.by(), subject, rate, seconds, mix));
        }
        Block by = playBlock(ways.by(), subject, rate, seconds, mix);
        return new Block.Pair(playBlock(ways.direct(), subject, rate, seconds, mix), by);
    }

    /**
     * Plays a block.
     *
     * @param pool by which calls go
     * @param watched the sidecar whose threads' times are measured, or null for none
     * @param rate calls a second
     * @param seconds how long calls are sent
     * @param mix seed of the calls
     * @throws IOException if the sidecar ended by itself
     */
    Block playBlock(HttpPool pool, MeasuredSidecar watched, double rate, double seconds, long mix)
            throws IOException {
        if (watched != null && !watched.isAlive()) {
            throw new IOException("the sidecar ended by itself");
        }
        ThreadTimes before = watched == null ? ThreadTimes.none() : watched.threads();
        Schedule schedule = Schedule.lasting(System.nanoTime() + LEAD_NANOS, rate, seconds);
        Recorder calls =
                OpenLoop.play(
                        schedule,
                        new CallMix(mix),
                        TIMEOUT_NANOS,
                        OpenLoop.Pace.REAL,
                        (call, deadline, ended) ->
                                pool.loop().execute(() -> pool.send(call, deadline, ended)));
        await(calls, pool);
        long over = System.nanoTime();
        ThreadTimes after = watched == null ? ThreadTimes.none() : watched.threads();
        return new Block(calls, after.since(before), schedule.at(0), over);
    }

    private static void await(Recorder calls, HttpPool pool) throws IOException {
        try {
            try {
                calls.done().get(TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
            } catch (TimeoutException e) {
                // What is not answered by now has failed; its connections are of no use any more.
                pool.loop().submit(pool::reset).awaitUninterruptibly();
                calls.done().get(TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
            }
        } catch (TimeoutException e) {
            throw new IOException("calls did not end with their connections", e);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}
