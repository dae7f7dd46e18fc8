package poppynotch.simulation;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/** A server that registers, drains and ends, each at whichever core process it finds. */
final class VirtualServer {

    private static final long HEARTBEAT_MS = 1200;
    private static final long ANSWER_LIMIT_MS = 1000;
    private static final long RETRY_MS = 150;

    private final SimulatedFleet world;
    private final SplittableRandom random;
    private final String id;
    private ServerState state = ServerState.READY;
    private long sequence;
    private long acknowledgedMs = Long.MAX_VALUE;
    private String core = "";

    VirtualServer(String id, SimulatedFleet world, SplittableRandom random) {
        this.id = id;
        this.world = world;
        this.random = random;
    }

    String id() {
        return id;
    }

    /** When its drain or its end was first acknowledged. */
    long acknowledgedMs() {
        return acknowledgedMs;
    }

    boolean isReady() {
        return state == ServerState.READY;
    }

    /** Begins to register. */
    void begin() {
        beat();
    }

    private void beat() {
        if (state != ServerState.READY) {
            return;
        }
        put(done -> {});
        world.time().after(HEARTBEAT_MS, this::beat);
    }

    /** Says that it drains, until that is acknowledged. */
    void drain() {
        state = ServerState.DRAINING;
        put(
                done -> {
                    if (done) {
                        acknowledgedMs = Math.min(acknowledgedMs, world.time().getAsLong());
                    } else {
                        world.time().after(RETRY_MS, this::drain);
                    }
                });
    }

    /** Says that it ends, without a drain before, until that is acknowledged. */
    void end() {
        state = ServerState.LEFT;
        call(
                (at, answer) -> at.core().serverLeaves(id, answer),
                done -> {
                    if (done) {
                        acknowledgedMs = Math.min(acknowledgedMs, world.time().getAsLong());
                    } else {
                        world.time().after(RETRY_MS, this::end);
                    }
                });
    }

    private void put(Consumer<Boolean> end) {
        ServerRecord record = new ServerRecord(id, "s", id + ":80", "z", 4, state, ++sequence);
        call((at, answer) -> at.core().register(record, answer), end);
    }

    /** One call at a core process. */
    private interface Call {
        void make(VirtualControlPlane at, Consumer<Boolean> answer);
    }

    private void call(Call call, Consumer<Boolean> end) {
        List<VirtualControlPlane> cores = world.cores();
        VirtualControlPlane at =
                world.core(core)
                        .filter(VirtualControlPlane::isUp)
                        .orElse(cores.get(random.nextInt(cores.size())));
        core = at.name();
        new ExternalCall<Boolean>(
                        world,
                        at,
                        ANSWER_LIMIT_MS,
                        VirtualServer.class,
                        done -> done && state == ServerState.LEFT)
                .make(
                        answer -> call.make(at, answer),
                        answer -> {
                            boolean done = answer.orElse(false);
                            if (!done) {
                                core = "";
                            }
                            end.accept(done);
                        });
    }
}
