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
 * The service that lists the nodos of one tier: it learns of changes late, works through calls in
 * turn, and fails those that have waited too long.
 */
public final class Discovery {

    /** Changes that it remembers; a caller that is further behind gets the whole list. */
    private static final int MOST_CHANGES = 4096;

    /** No watch waits longer. */
    private static final double MOST_WAIT_MS = 60_000;

    /** A list, or changes to one. */
    public record Listing(long version, boolean full, List<Server> servers) {}

    /** A call that waits for its answer. */
    public final class Pending {
        private final long from;
        private final double waitMs;
        private final Consumer<Listing> answer;
        private final double askedAt;
        private boolean over;
        private Time.Alarm alarm;

        private Pending(long from, double waitMs, Consumer<Listing> answer, double askedAt) {
            this.from = from;
            this.waitMs = waitMs;
            this.answer = answer;
            this.askedAt = askedAt;
        }

        /** The caller is gone. */
        public void cancel() {
            over = true;
            watches.remove(this);
            if (alarm != null) {
                alarm.cancel();
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

    private final SimulatedDay scene;
    private final Map<String, Server> listed = new LinkedHashMap<>();
    private final Map<String, Server> gone = new LinkedHashMap<>();
    private final Deque<Change> changes = new ArrayDeque<>();
    private final Set<Pending> watches = new LinkedHashSet<>();
    private final Deque<Pending> queue = new ArrayDeque<>();

    /** News that the next round will tell. */
    private final List<Server> news = new ArrayList<>();

    private boolean roundComes;
    private final double periodMs;
    private long version = 1;
    private boolean down;
    private double slowness = 1;
    private double lateMs;
    private boolean working;
    private long calls;
    private long failures;

    Discovery(SimulatedDay scene) {
        this.scene = scene;
        periodMs = scene.draw(scene.experiment().world().discovery().periodMs());
    }

    /** Lists a nodo at once, as before the day. */
    void list(Server server) {
        listed.put(server.id(), server);
    }

    /** The whole list as it is told now. */
    public Listing whole() {
        return new Listing(version, true, List.copyOf(listed.values()));
    }

    /** What has become of a nodo is known here after a while. */
    void learn(Server server) {
        scene.time()
                .after(
                        scene.draw(scene.experiment().world().discovery().noticeMs()) + lateMs,
                        () -> hear(server));
    }

    /** Changes are told in rounds: those that are heard of within one come together. */
    private void hear(Server server) {
        news.add(server);
        if (!roundComes) {
            roundComes = true;
            scene.time().after(periodMs, this::tellRound);
        }
    }

    private void tellRound() {
        roundComes = false;
        news.forEach(this::enter);
        news.clear();
        for (Pending watch : List.copyOf(watches)) {
            watch.answer(since(watch.from));
        }
    }

    private void enter(Server server) {
        Server before = listed.get(server.id());
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
            listed.remove(server.id());
            gone.put(server.id(), server);
        } else {
            gone.remove(server.id());
            listed.put(server.id(), server);
        }
        changes.add(new Change(version, server.id()));
        if (changes.size() > MOST_CHANGES) {
            changes.poll();
        }
    }

    private Listing since(long from) {
        if (from <= 0
                || from > version
                || from < version && !changes.isEmpty() && changes.peek().version() > from + 1) {
            return whole();
        }
        Set<String> ids = new LinkedHashSet<>();
        for (Change change : changes) {
            if (change.version() > from) {
                ids.add(change.id());
            }
        }
        List<Server> entries = new ArrayList<>();
        for (String id : ids) {
            entries.add(listed.containsKey(id) ? listed.get(id) : gone.get(id));
        }
        return new Listing(version, false, entries);
    }

    /**
     * A sidecar asks what is newer than a version, and waits for it so long at most; the answer is
     * null where the call has failed.
     */
    public Pending call(long from, double waitMs, Consumer<Listing> answer) {
        Pending pending = new Pending(from, Math.min(waitMs, MOST_WAIT_MS), answer, scene.now());
        calls++;
        queue.add(pending);
        work();
        return pending;
    }

    private void work() {
        if (working || queue.isEmpty()) {
            return;
        }
        working = true;
        scene.time()
                .after(
                        1000 * slowness / scene.experiment().world().discovery().capacity(),
                        () -> {
                            working = false;
                            Pending next = queue.poll();
                            if (next != null && !next.over) {
                                serve(next);
                            }
                            work();
                        });
    }

    private void serve(Pending call) {
        double waited = scene.now() - call.askedAt;
        if (down || waited > scene.experiment().world().discovery().timeoutMs()) {
            failures++;
            call.answer(null);
        } else if (call.from != version || call.waitMs <= 0) {
            call.answer(since(call.from));
        } else {
            watches.add(call);
            call.alarm =
                    scene.time().after(call.waitMs - waited, () -> call.answer(since(call.from)));
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

    void setSlowness(double factor) {
        slowness = factor;
    }

    void setLate(double ms) {
        lateMs = ms;
    }

    /** Calls that it got so far, and how many of them failed. */
    public long[] counts() {
        return new long[] {calls, failures};
    }
}
