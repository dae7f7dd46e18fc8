package poppynotch.lab.world;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import poppynotch.balancer.Server;
import poppynotch.balancer.ServerState;

/**
 * The simulated discovery service of one tier: it notices changes late, publishes them at
 * intervals, serves calls one after the other, and fails calls that waited too long.
 *
 * <p>Owned by {@link SimulatedDay}; all of it runs on the day's thread.
 */
public final class Discovery {

    /** Changes that are remembered; a caller that is further behind gets the full list. */
    private static final int MAX_REMEMBERED_CHANGES = 4096;

    /** The longest wait that a caller may ask for. */
    private static final double MAX_WAIT_MS = 60_000;

    /** The full list at a version, or the servers that changed since the caller's version. */
    public record Listing(long version, boolean full, List<Server> servers) {}

    /** A call without an answer so far. Its caller cancels it when it stops waiting. */
    public final class PendingCall {
        private final long knownVersion;
        private final double waitMs;
        private final Consumer<Listing> answer;
        private final double receivedAtMs;
        private boolean completed;
        private SimulationClock.Timer waitTimer;

        private PendingCall(
                long knownVersion, double waitMs, Consumer<Listing> answer, double receivedAtMs) {
            this.knownVersion = knownVersion;
            this.waitMs = waitMs;
            this.answer = answer;
            this.receivedAtMs = receivedAtMs;
        }

        /** Cancels the call: it gets no answer. */
        public void cancel() {
            completed = true;
            watches.remove(this);
            if (waitTimer != null) {
                waitTimer.cancel();
            }
        }

        private void answer(Listing listing) {
            if (!completed) {
                cancel();
                answer.accept(listing);
            }
        }
    }

    private record Change(long version, String id) {}

    private final SimulatedDay day;
    private final Map<String, Server> serversById = new LinkedHashMap<>();
    private final Map<String, Server> removedById = new LinkedHashMap<>();
    private final Deque<Change> changes = new ArrayDeque<>();
    private final Set<PendingCall> watches = new LinkedHashSet<>();
    private final Deque<PendingCall> queue = new ArrayDeque<>();

    /** Changes that the next publication applies. */
    private final List<Server> pendingUpdates = new ArrayList<>();

    private boolean publishScheduled;
    private final double publishIntervalMs;
    private long version = 1;
    private boolean down;
    private double slowdownFactor = 1;
    private double extraDelayMs;
    private boolean processing;
    private long calls;
    private long failures;

    Discovery(SimulatedDay day) {
        this.day = day;
        publishIntervalMs = day.draw(day.experiment().world().discovery().periodMs());
    }

    /** Adds a server immediately, before the day starts. */
    void addInitialServer(Server server) {
        serversById.put(server.id(), server);
    }

    /** The full list as it is published now. */
    public Listing fullListing() {
        return new Listing(version, true, List.copyOf(serversById.values()));
    }

    /** Reports a server's new state, which is noticed here after a delay. */
    void reportChange(Server server) {
        day.time()
                .schedule(
                        day.draw(day.experiment().world().discovery().noticeMs()) + extraDelayMs,
                        () -> onChangeNoticed(server));
    }

    /** Queues a change: those noticed within one interval are published together. */
    private void onChangeNoticed(Server server) {
        pendingUpdates.add(server);
        if (!publishScheduled) {
            publishScheduled = true;
            day.time().schedule(publishIntervalMs, this::publishUpdates);
        }
    }

    private void publishUpdates() {
        publishScheduled = false;
        pendingUpdates.forEach(this::applyUpdate);
        pendingUpdates.clear();
        for (PendingCall watch : List.copyOf(watches)) {
            watch.answer(listingSince(watch.knownVersion));
        }
    }

    private void applyUpdate(Server server) {
        Server before = serversById.get(server.id());
        boolean unknown = before == null && server.state() == ServerState.GONE;
        if (unknown
                || server.equals(before)
                || (before != null && before.startedMs() > server.startedMs())) {
            // About an earlier process of the server, or one that is not listed any more.
            return;
        }
        version++;
        if (server.state() == ServerState.GONE) {
            serversById.remove(server.id());
            removedById.put(server.id(), server);
        } else {
            removedById.remove(server.id());
            serversById.put(server.id(), server);
        }
        changes.add(new Change(version, server.id()));
        if (changes.size() > MAX_REMEMBERED_CHANGES) {
            changes.poll();
        }
    }

    private Listing listingSince(long from) {
        if (from <= 0
                || from > version
                || (from < version && !changes.isEmpty() && changes.peek().version() > from + 1)) {
            return fullListing();
        }
        Set<String> ids = new LinkedHashSet<>();
        for (Change change : changes) {
            if (change.version() > from) {
                ids.add(change.id());
            }
        }
        List<Server> entries = new ArrayList<>();
        for (String id : ids) {
            entries.add(serversById.containsKey(id) ? serversById.get(id) : removedById.get(id));
        }
        return new Listing(version, false, entries);
    }

    /**
     * Asks for what is newer than a version.
     *
     * @param waitMs how long to wait for something newer at most
     * @param answer called once with the listing, or with null if the call failed
     */
    public PendingCall call(long knownVersion, double waitMs, Consumer<Listing> answer) {
        PendingCall pending =
                new PendingCall(knownVersion, Math.min(waitMs, MAX_WAIT_MS), answer, day.now());
        calls++;
        queue.add(pending);
        processNextCall();
        return pending;
    }

    private void processNextCall() {
        if (processing || queue.isEmpty()) {
            return;
        }
        processing = true;
        day.time()
                .schedule(
                        1000 * slowdownFactor / day.experiment().world().discovery().capacity(),
                        () -> {
                            processing = false;
                            PendingCall next = queue.poll();
                            if (next != null && !next.completed) {
                                serve(next);
                            }
                            processNextCall();
                        });
    }

    private void serve(PendingCall call) {
        double waited = day.now() - call.receivedAtMs;
        if (down || waited > day.experiment().world().discovery().timeoutMs()) {
            failures++;
            call.answer(null);
        } else if (call.knownVersion != version || call.waitMs <= 0) {
            call.answer(listingSince(call.knownVersion));
        } else {
            watches.add(call);
            call.waitTimer =
                    day.time()
                            .schedule(
                                    call.waitMs - waited,
                                    () -> call.answer(listingSince(call.knownVersion)));
        }
    }

    /** While down every call fails; going down also fails the calls that wait. */
    void setDown(boolean isDown) {
        down = isDown;
        if (down) {
            for (PendingCall watch : List.copyOf(watches)) {
                failures++;
                watch.answer(null);
            }
        }
    }

    void setSlowdownFactor(double factor) {
        slowdownFactor = factor;
    }

    void setExtraDelayMs(double ms) {
        extraDelayMs = ms;
    }

    /** Calls received so far, and how many of them failed. */
    public long[] counts() {
        return new long[] {calls, failures};
    }
}
