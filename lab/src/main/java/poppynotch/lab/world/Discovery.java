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
 * The service that lists the model servers of one tier: it learns of changes late, works through
 * calls in turn, and fails those that have waited too long.
 */
public final class Discovery {

    /** Changes that it remembers; a caller that is further behind gets the whole list. */
    private static final int MAX_REMEMBERED_CHANGES = 4096;

    /** No watch waits longer. */
    private static final double MAX_WAIT_MS = 60_000;

    /** A list, or changes to one. */
    public record Listing(long version, boolean full, List<Server> servers) {}

    /** A call that waits for its answer. */
    public final class Pending {
        private final long knownVersion;
        private final double waitMs;
        private final Consumer<Listing> answer;
        private final double receivedAtMs;
        private boolean over;
        private Time.Alarm waitTimer;

        private Pending(long from, double waitMs, Consumer<Listing> answer, double askedAt) {
            this.knownVersion = from;
            this.waitMs = waitMs;
            this.answer = answer;
            this.receivedAtMs = askedAt;
        }

        /** The caller is gone. */
        public void cancel() {
            over = true;
            watches.remove(this);
            if (waitTimer != null) {
                waitTimer.cancel();
            }
        }

        private void answer(Listing listing) {
            if (!over) {
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
    private final Set<Pending> watches = new LinkedHashSet<>();
    private final Deque<Pending> queue = new ArrayDeque<>();

    /** News that the next round will tell. */
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

    /** Lists a model server at once, as before the day. */
    void addInitialServer(Server server) {
        serversById.put(server.id(), server);
    }

    /** The whole list as it is told now. */
    public Listing fullListing() {
        return new Listing(version, true, List.copyOf(serversById.values()));
    }

    /** What has become of a model server is known here after a while. */
    void reportChange(Server server) {
        day.time()
                .after(
                        day.draw(day.experiment().world().discovery().noticeMs()) + extraDelayMs,
                        () -> onChangeNoticed(server));
    }

    /** Changes are told in rounds: those that are heard of within one come together. */
    private void onChangeNoticed(Server server) {
        pendingUpdates.add(server);
        if (!publishScheduled) {
            publishScheduled = true;
            day.time().after(publishIntervalMs, this::publishUpdates);
        }
    }

    private void publishUpdates() {
        publishScheduled = false;
        pendingUpdates.forEach(this::applyUpdate);
        pendingUpdates.clear();
        for (Pending watch : List.copyOf(watches)) {
            watch.answer(listingSince(watch.knownVersion));
        }
    }

    private void applyUpdate(Server server) {
        Server before = serversById.get(server.id());
        boolean unknown = before == null && server.state() == ServerState.GONE;
        if (unknown
                || server.equals(before)
                || before != null && before.startedMs() > server.startedMs()) {
            // News of a process that another has taken the place of, or of one that is listed no
            // more.
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
                || from < version && !changes.isEmpty() && changes.peek().version() > from + 1) {
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
     * A sidecar asks what is newer than a version, and waits for it so long at most; the answer is
     * null where the call has failed.
     */
    public Pending call(long from, double waitMs, Consumer<Listing> answer) {
        Pending pending = new Pending(from, Math.min(waitMs, MAX_WAIT_MS), answer, day.now());
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
                .after(
                        1000 * slowdownFactor / day.experiment().world().discovery().capacity(),
                        () -> {
                            processing = false;
                            Pending next = queue.poll();
                            if (next != null && !next.over) {
                                serve(next);
                            }
                            processNextCall();
                        });
    }

    private void serve(Pending call) {
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
                            .after(
                                    call.waitMs - waited,
                                    () -> call.answer(listingSince(call.knownVersion)));
        }
    }

    /** It fails every call, and the watches that were on end. */
    void setDown(boolean isDown) {
        down = isDown;
        if (down) {
            for (Pending watch : List.copyOf(watches)) {
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

    /** Calls that it got so far, and how many of them failed. */
    public long[] counts() {
        return new long[] {calls, failures};
    }
}
