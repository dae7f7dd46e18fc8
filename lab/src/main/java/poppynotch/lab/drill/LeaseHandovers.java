package poppynotch.lab.drill;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import poppynotch.lab.drill.FleetProcesses.ManagedProcess;

/**
 * Measures how long a lease has no new holder when its holder loses it. Real processes of a fleet
 * compete for one lease, and it is handed over again and again, each time in another way. The same
 * seed gives the same order of hand-overs; times are real.
 *
 * <p>One thread plays it all. {@link #play} starts the processes in a temporary folder and ends
 * them.
 */
public final class LeaseHandovers {

    private static final String SERVER =
            "{\"id\":\"s1\",\"addr\":\"127.0.0.1:1\",\"zone\":\"a\",\"kind\":"
                    + "\"m1\",\"cell\":0,\"state\":\"in_service\",\"weight\":1.0,\"started_ms\":0}";

    private static final int SIGNIFICANT_DIGITS = 3;

    /** How a holder loses its lease. */
    public enum Way {
        /** Operators move it. */
        MOVE,
        /** SIGTERM. */
        TERM,
        /** SIGKILL. */
        KILL,
        /** SIGSTOP, and SIGCONT once another has it. */
        STOP,
        /** SIGTERM, while the leader of the Raft servers gets SIGKILL. */
        TERM_AND_LEADER;

        private boolean endsHolder() {
            return this != MOVE && this != STOP;
        }
    }

    /**
     * The results of all hand-overs.
     *
     * @param times by way, from the loss until another process holds the lease, in milliseconds
     * @param violations invariants that were violated, a line each
     */
    public record Outcome(Map<Way, Histogram> times, List<String> violations) {}

    private final Random random;
    private final List<ManagedProcess> raftServers;
    private final List<ManagedProcess> candidates = new ArrayList<>();
    private final Consumer<String> progress;
    private final Map<Way, Histogram> times = new EnumMap<>(Way.class);
    private final List<String> violations = new ArrayList<>();
    private long lastToken;

    private LeaseHandovers(
            FleetProcesses processes, int count, long seed, Consumer<String> progress)
            throws Exception {
        random = new Random(seed);
        this.progress = progress;
        raftServers = processes.startRaftServers();
        for (int i = 0; i < count; i++) {
            candidates.add(startCandidate(processes.newProcess("p" + i)));
        }
    }

    /**
     * Plays hand-overs of every way.
     *
     * @param root of the repository, with the programs built
     * @param raftServers three or five
     * @param count processes that compete for the lease
     * @param rounds hand-overs of each way
     * @param seed for the choice of new holders
     * @param progress is called with a line after each hand-over
     * @throws IOException if a process cannot be started, an expected state is not reached in time
     *     or the thread is interrupted
     */
    public static Outcome play(
            Path root, int raftServers, int count, int rounds, long seed, Consumer<String> progress)
            throws IOException {
        Path folder = Files.createTempDirectory("handovers");
        try (FleetProcesses processes = new FleetProcesses(folder, root, raftServers)) {
            return new LeaseHandovers(processes, count, seed, progress).play(rounds);
        } catch (IOException | RuntimeException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException("interrupted", e);
        }
    }

    private static ManagedProcess startCandidate(ManagedProcess process) throws IOException {
        return process.startSidecar(
                "\"keepers\":" + process.raftGroupJson() + ",\"duties\":{\"reader\":1}", SERVER);
    }

    private Outcome play(int rounds) throws Exception {
        for (int round = 0; round < rounds; round++) {
            for (Way way : Way.values()) {
                handOver(way);
            }
        }
        return new Outcome(times, violations);
    }

    private void handOver(Way way) throws Exception {
        ManagedProcess holder = awaitHolderOtherThan(null);
        awaitAllKnowHolder();
        checkTokenGrows(holder);
        ManagedProcess leader = awaitLeader();
        ManagedProcess successor = chooseSuccessor(holder);
        long startNanos = System.nanoTime();
        takeLease(way, holder, leader, successor);
        ManagedProcess next = awaitHolderOtherThan(holder);
        long ms = (System.nanoTime() - startNanos) / 1_000_000;
        times.computeIfAbsent(way, w -> new Histogram(SIGNIFICANT_DIGITS)).recordValue(ms);
        progress.accept(way + ": from " + holder.name + " to " + next.name + " in " + ms + " ms");
        restore(way, holder, leader);
    }

    private ManagedProcess awaitHolderOtherThan(ManagedProcess previous) throws Exception {
        return awaitFound(
                "somebody has the duty",
                () -> {
                    for (ManagedProcess each : candidates) {
                        if (each != previous && each.process.isAlive() && each.holdsLease()) {
                            return Optional.of(each);
                        }
                    }
                    return Optional.empty();
                });
    }

    private ManagedProcess awaitLeader() throws Exception {
        return awaitFound(
                "a keeper leads",
                () -> {
                    for (ManagedProcess server : raftServers) {
                        if (server.process.isAlive()
                                && server.askAdmin("duties").contains("\"leads\":true")) {
                            return Optional.of(server);
                        }
                    }
                    return Optional.empty();
                });
    }

    private static ManagedProcess awaitFound(String what, Callable<Optional<ManagedProcess>> search)
            throws Exception {
        AtomicReference<ManagedProcess> found = new AtomicReference<>();
        FleetProcesses.awaitCondition(
                what,
                () -> {
                    search.call().ifPresent(found::set);
                    return found.get() != null;
                });
        return found.get();
    }

    /**
     * Waits until all candidates are up and have asked for the lease; or the start of a process
     * would be measured as part of a hand-over.
     */
    private void awaitAllKnowHolder() throws Exception {
        for (ManagedProcess each : candidates) {
            FleetProcesses.awaitCondition(
                    each.name + " knows who has it", () -> each.leaseToken() > 0);
        }
    }

    private void checkTokenGrows(ManagedProcess holder) throws IOException {
        long token = holder.leaseToken();
        if (token <= lastToken) {
            violations.add("tokens grow: " + token + " came after " + lastToken);
        }
        lastToken = token;
    }

    private ManagedProcess chooseSuccessor(ManagedProcess holder) {
        int distance = 1 + random.nextInt(candidates.size() - 1);
        return candidates.get((candidates.indexOf(holder) + distance) % candidates.size());
    }

    private static void takeLease(
            Way way, ManagedProcess holder, ManagedProcess leader, ManagedProcess successor)
            throws IOException, InterruptedException {
        switch (way) {
            case MOVE -> leader.askAdmin("duty-move reader " + successor.name);
            case TERM -> holder.process.destroy();
            case KILL -> holder.process.destroyForcibly();
            case STOP -> holder.signal("STOP");
            default -> {
                leader.process.destroyForcibly();
                holder.process.destroy();
            }
        }
    }

    /** Resumes or restarts what was stopped, and checks that a resumed holder knows of its loss. */
    private void restore(Way way, ManagedProcess holder, ManagedProcess leader)
            throws IOException, InterruptedException {
        if (way == Way.STOP) {
            holder.signal("CONT");
            if (holder.holdsLease()) {
                violations.add("never two: " + holder.name + " woke and believes to have it");
            }
        }
        if (way == Way.TERM_AND_LEADER) {
            leader.process.waitFor();
            leader.startRaftServer();
        }
        if (way.endsHolder()) {
            holder.process.waitFor();
            startCandidate(holder);
        }
    }
}
